# Nothing happens for half a minute: what the view costs.
scenario "calm" {
  doormans = 14
  settle   = "60s"
  step "settled + 30s" { heal = true }
}
