# Our own settings for installations whose doormans divide what all of them may use together:
#   serve --settings deploy/budgets.hcl
# Off on the platform: its run line names no settings. docs/BUDGETS.md tells each key; a fleet as in fleet.hcl is needed,
# and voters, largest, term, hold and each budget's kind, floor and lease are the same at all doormans.
fleet "kartli-swap-cache" {
  listen   = "127.0.0.1:7101"
  seeds    = ["127.0.0.2:7101", "127.0.0.3:7101"]
  key_file = "fleet.key"
}
budgets {
  voters  = ["127.0.0.1:7101", "127.0.0.2:7101", "127.0.0.3:7101"]
  largest = 16
}
budget "calls" {
  kind  = "places"
  whole = 64
  at    = "cache"
}
budget "head" {
  kind  = "rate"
  whole = 200
  at    = "origin"
}
