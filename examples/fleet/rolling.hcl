# All are replaced one by one, by programs that speak an older format and a newer one in turn.
scenario "rolling restart" {
  doormans = 5
  settle   = "30s"
  step "settled" { term = ["d1"] }
  step "2500ms" {
    start  = ["d1"]
    format = 2
  }
  step "settled" { term = ["d2"] }
  step "2500ms" {
    start  = ["d2"]
    format = 1
  }
  step "settled" { term = ["d3"] }
  step "2500ms" {
    start  = ["d3"]
    format = 2
  }
  step "settled" { term = ["d4"] }
  step "2500ms" {
    start  = ["d4"]
    format = 1
  }
  step "settled" { term = ["d5"] }
  step "2500ms" {
    start  = ["d5"]
    format = 2
  }
}
