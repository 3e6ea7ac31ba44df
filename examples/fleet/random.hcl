# 14 doormans and 12 faults that only the seed tells; try --virtual --seeds 1000.
scenario "random" {
  doormans = 14
  settle   = "30s"
  seed     = 1
  random { faults = 12 }
}
