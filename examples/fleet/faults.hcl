# Crashes, freezes, partitions and restarts of 14 doormans, one after another; each has to settle before the next.
#   java -jar lab/target/barleyspur-lab.jar fleet run examples/fleet/faults.hcl
scenario "crashes, freezes, partitions" {
  doormans = 14
  settle   = "30s"

  # one, a third, then all but one at the same moment
  step "settled" { kill = ["d4"] }
  step "settled" { kill = ["d5..d8"] }
  step "settled" { start = ["d4..d8"] }

  # frozen for less than the suspicion time, and for more
  step "settled" { freeze = ["d2"] }
  step "800ms" { thaw = ["d2"] }
  step "settled" { freeze = ["d2", "d3"] }
  step "settled" { thaw = ["d2", "d3"] }

  # halves, healed; thirds, of which two meet while the third is still away; healed
  step "settled" {
    split { groups = ["d1..d7", "d8..d14"] }
  }
  step "settled" { heal = true }
  step "settled" {
    split { groups = ["d1..d5", "d6..d10", "d11..d14"] }
  }
  step "3s" {
    split { groups = ["d1..d3 d11..d14", "d4..d10"] }
  }
  step "settled" { heal = true }

  step "settled" { kill = ["d2..d14"] }
  step "settled" { start = ["d2..d14"] }
}
