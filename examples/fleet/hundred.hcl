# A hundred doormans: a third killed, halves cut apart and healed. Wants about 10 GB of memory.
scenario "a hundred" {
  doormans = 100
  settle   = "60s"
  step "settled + 20s" { kill = ["d41..d74"] }
  step "settled" {
    split { groups = ["d1..d40", "d75..d100"] }
  }
  step "settled + 5s" { heal = true }
}
