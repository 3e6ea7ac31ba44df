# Expects too much: a district cache that is out has its fills done by others, at last by the head office system.
expectation "nothing ever from the head office" {
  given { attempt { fill = true } }
  never { source { kind = "head-office" } }
}
