# What a just-started box may be sent in all while it is young, with a divider killed meanwhile.
#   java -jar lab/target/barleyspur-lab.jar budget run examples/budget/cold.hcl
scenario "cold" {
  doormans = 4
  settle   = "30s"
  load {
    caches = 2
    per_s  = 400
    hit    = "20ms"
    cold   = "18s"
    term   = "1500ms"
    hold   = "500ms"
  }
  budget "cold" {
    kind  = "amount"
    whole = 60
    lease = "8s"
    at    = "cache"
  }
  step "settled + 17s" { kill = ["d3"] }
  step "500ms" { kill = ["d1"] }
  step "2s" { start = ["d1", "d3"] }
}
