# Who divides is killed, frozen past its term and continued, and cut off with a minority that it may think it divides for.
#   java -jar lab/target/barleyspur-lab.jar budget run examples/budget/dividers.hcl
scenario "dividers" {
  doormans = 5
  settle   = "30s"
  load {
    caches = 3
    per_s  = 500
    hit    = "40ms"
    jump   = "2s"
    term   = "2s"
    hold   = "500ms"
  }
  budget "calls" {
    kind  = "places"
    whole = 6
    lease = "3s"
    at    = "cache"
  }
  budget "head" {
    kind  = "rate"
    whole = 30
    burst = 16
    lease = "3s"
    at    = "origin"
  }
  step "settled + 7s" { kill = ["d1"] }
  step "6s" { start = ["d1"] }
  step "5s" { freeze = ["d2"] }
  step "6s" { thaw = ["d2"] }
  step "5s" { freeze = ["d1", "d2", "d3"] }
  step "4s" { thaw = ["d1", "d2", "d3"] }
  step "6s" {
    split { groups = ["d1 d4", "d2 d3 d5"] }
  }
  step "7s" { heal = true }
  step "5s" {
    split { groups = ["d2 d4", "d1 d3 d5"] }
  }
  step "7s" { heal = true }
}
