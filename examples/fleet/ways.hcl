# One-way cuts, loss, garbage, and doormans that get a tenth of a core.
scenario "one-way cuts and bad ways" {
  doormans = 9
  settle   = "30s"

  # between two: the others help, nobody is given up
  step "settled" {
    cut {
      from = ["d3"]
      to   = ["d5"]
    }
  }
  step "6s" { heal = true }

  # one that hears all and is heard by none
  step "settled" {
    cut {
      from = ["d4"]
      to   = ["all"]
    }
  }
  step "8s" { heal = true }

  step "settled" {
    weather {
      loss    = 0.3
      delay   = "60ms"
      twice   = 0.1
      garbage = 0.05
    }
  }
  step "15s" {
    weather {
      loss = 0
    }
  }

  step "settled" {
    starve {
      who   = ["d7"]
      share = 0.1
    }
  }
  step "6s" {
    starve {
      who   = ["d7"]
      share = 1
    }
  }
}
