# Halves and thirds with demand that jumps, bad weather, and one way cut: never over the whole, divided anew when healed.
#   java -jar lab/target/barleyspur-lab.jar budget run examples/budget/parts.hcl
scenario "parts" {
  doormans = 9
  settle   = "30s"
  load {
    caches = 2
    per_s  = 600
    hit    = "40ms"
    jump   = "1s"
    term   = "2s"
    hold   = "500ms"
  }
  budget "calls" {
    kind  = "places"
    whole = 8
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
  step "settled + 7s" {
    split { groups = ["d1..d4", "d5..d9"] }
  }
  step "6s" { heal = true }
  step "4s" {
    split { groups = ["d1 d4 d5", "d2 d6 d7", "d3 d8 d9"] }
  }
  step "6s" {
    split { groups = ["d1 d2 d4..d7", "d3 d8 d9"] }
  }
  step "4s" { heal = true }
  step "2s" {
    weather {
      loss  = 0.3
      delay = "300ms"
      twice = 0.2
    }
  }
  step "6s" {
    cut {
      from = ["d1"]
      to   = ["d5..d9"]
    }
  }
  step "4s" { heal = true }
  step "1ms" {
    weather { }
  }
}
