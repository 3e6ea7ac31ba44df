# All doormans are replaced one by one under load: nine tenths of the whole stay in use throughout.
#   java -jar lab/target/barleyspur-lab.jar budget run examples/budget/rolling.hcl
scenario "rolling" {
  doormans = 5
  settle   = "30s"
  load {
    caches = 2
    per_s  = 500
    hit    = "40ms"
    jump   = "0s"
    term   = "2s"
    hold   = "500ms"
  }
  budget "calls" {
    kind  = "places"
    whole = 20
    lease = "3s"
    at    = "cache"
  }
  step "settled + 8s" { term = ["d5"] }
  step "3s" { start = ["d5"] }
  step "5s" { term = ["d4"] }
  step "3s" { start = ["d4"] }
  step "5s" { term = ["d3"] }
  step "3s" { start = ["d3"] }
  step "5s" { term = ["d2"] }
  step "3s" { start = ["d2"] }
  step "5s" { term = ["d1"] }
  step "3s" { start = ["d1"] }
}
