# Restarts under the same name: at once, with a clock that is an hour back, at another's former address, twice at once,
# and of all in turn with a newer format beside an older one.
scenario "lives" {
  doormans = 5
  slots    = 7
  settle   = "30s"

  # within the suspicion time
  step "settled" { kill = ["d2"] }
  step "100ms" { start = ["d2"] }

  # with the clock an hour back
  step "settled" { kill = ["d3"] }
  step "100ms" {
    start = ["d3"]
    clock = "-1h"
  }

  # d4 at d5's former address, d5 at another
  step "settled" { kill = ["d4", "d5"] }
  step "200ms" {
    start = ["d5"]
    as    = "d4"
  }
  step "200ms" {
    start = ["d6"]
    as    = "d5"
  }

  # a second d1 by mistake, which ends again
  step "settled" {
    start = ["d7"]
    as    = "d1"
  }
  step "settled + 3s" { term = ["d7"] }

  # who leaves says so; all in turn, the first ones with an older format
  step "settled" { term = ["d2"] }
  step "1500ms" {
    start  = ["d2"]
    format = 1
  }
  step "settled" { term = ["d3"] }
  step "1500ms" {
    start  = ["d3"]
    format = 1
  }
  step "settled" { quiesce = ["d1"] }
  step "settled" { resume = ["d1"] }
}
