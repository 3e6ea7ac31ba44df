# The whole is halved by a reload while all of it is in use, and doubled again; one doorman is of an older format.
#   java -jar lab/target/barleyspur-lab.jar budget run examples/budget/whole.hcl
scenario "whole" {
  doormans = 4
  settle   = "30s"
  load {
    caches = 2
    per_s  = 500
    hit    = "40ms"
    jump   = "0s"
    term   = "2s"
    hold   = "500ms"
  }
  budget "calls" {
    kind  = "places"
    whole = 12
    lease = "3s"
    at    = "cache"
  }
  step "settled + 8s" { kill = ["d4"] }
  step "100ms" {
    start  = ["d4"]
    format = 1
  }
  step "5s" {
    of    = "calls"
    whole = 6
  }
  step "8s" {
    of    = "calls"
    whole = 12
  }
  step "4s" { heal = true }
}
