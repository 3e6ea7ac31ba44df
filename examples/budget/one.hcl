# One place, and three, among 14 doormans: who has none asks on, and the places change hands.
#   java -jar lab/target/barleyspur-lab.jar budget run examples/budget/one.hcl
scenario "one" {
  doormans = 14
  settle   = "30s"
  load {
    caches = 2
    per_s  = 400
    hit    = "40ms"
    jump   = "0s"
    term   = "2s"
    hold   = "500ms"
  }
  budget "calls" {
    kind  = "places"
    whole = 1
    lease = "3s"
    at    = "cache"
  }
  budget "three" {
    kind  = "places"
    whole = 3
    lease = "3s"
    at    = "parent"
  }
  step "settled + 10s" { kill = ["d1", "d9"] }
  step "6s" { start = ["d1", "d9"] }
}
