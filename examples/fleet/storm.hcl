# All start within 100 ms and know one seed, which is dead at first: they find each other as soon as it is there.
scenario "start storm with a dead seed" {
  doormans = 14
  seeds    = ["d1"]
  settle   = "30s"
  step "10ms" { kill = ["d1"] }
  step "4s" { start = ["d1"] }
  step "settled" { kill = ["all"] }
  step "500ms" { start = ["all"] }
}
