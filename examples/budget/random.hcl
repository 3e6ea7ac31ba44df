# 14 doormans, budgets of all kinds and 12 faults that only the seed tells; try --virtual --seeds 1000.
scenario "random budgets" {
  doormans = 14
  settle   = "15s"
  seed     = 1
  load {
    caches = 4
    per_s  = 600
    hit    = "40ms"
    jump   = "1s"
    term   = "2s"
    hold   = "500ms"
  }
  budget "calls" {
    kind  = "places"
    whole = 20
    lease = "3s"
    at    = "cache"
  }
  budget "head" {
    kind  = "rate"
    whole = 60
    burst = 20
    floor = 1
    lease = "3s"
    at    = "origin"
  }
  random { faults = 12 }
}
