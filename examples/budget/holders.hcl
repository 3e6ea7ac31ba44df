# Holders of shares are killed with them in full use, frozen past their leases with requests waiting, restarted ten times in a
# row faster than a lease, and killed all at once.
#   java -jar lab/target/barleyspur-lab.jar budget run examples/budget/holders.hcl
scenario "holders" {
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
  step "settled + 6s" { kill = ["d4"] }
  step "4s" { start = ["d4"] }
  step "3s" { freeze = ["d5", "d3"] }
  step "5s" { thaw = ["d5", "d3"] }
  step "3s" { kill = ["d4"] }
  step "1ms" { start = ["d4"] }
  step "900ms" { kill = ["d4"] }
  step "1ms" { start = ["d4"] }
  step "900ms" { kill = ["d4"] }
  step "1ms" { start = ["d4"] }
  step "900ms" { kill = ["d4"] }
  step "1ms" { start = ["d4"] }
  step "900ms" { kill = ["d4"] }
  step "1ms" { start = ["d4"] }
  step "900ms" { kill = ["d4"] }
  step "1ms" { start = ["d4"] }
  step "900ms" { kill = ["d4"] }
  step "1ms" { start = ["d4"] }
  step "900ms" { kill = ["d4"] }
  step "1ms" { start = ["d4"] }
  step "900ms" { kill = ["d4"] }
  step "1ms" { start = ["d4"] }
  step "900ms" { kill = ["d4"] }
  step "1ms" { start = ["d4"] }
  step "4s" { kill = ["d1..d5"] }
  step "100ms" { start = ["d1..d5"] }
}
