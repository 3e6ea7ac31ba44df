# Nobody is given up: one way between two is cut, one doorman gets a tenth of a core, and another a fifth.
scenario "one way cut, doormans starved" {
  doormans = 9
  settle   = "30s"
  step "settled" {
    cut {
      from = ["d3"]
      to   = ["d5"]
    }
  }
  step "5s" { heal = true }
  step "settled" {
    starve {
      who   = ["d7"]
      share = 0.1
    }
  }
  step "0ms" {
    starve {
      who   = ["d8"]
      share = 0.2
    }
  }
  step "5s" {
    starve {
      who   = ["d7", "d8"]
      share = 1
    }
  }
}
