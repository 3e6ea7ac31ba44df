# One that hears all and is heard by none is given up; then a third of all datagrams is lost for a minute, and some are changed.
scenario "heard by none, a third lost" {
  doormans = 9
  settle   = "30s"
  step "settled" {
    cut {
      from = ["d4"]
      to   = ["all"]
    }
  }
  step "settled" { heal = true }
  step "settled" {
    weather {
      loss    = 0.3
      delay   = "60ms"
      twice   = 0.1
      garbage = 0.05
    }
  }
  step "60s" {
    weather {
      loss = 0
    }
  }
}
