# What a small operator expects of three stations: run
#   barleyspur expect --config examples/expectations/station.json examples/expectations/station.hcl
# The wrong-*.json beside it each break one of these; docs/EXPECTATIONS.md shows how that looks.

let {
  patience = "2s"
}

expectation "settings as agreed" {
  about = "What was agreed with those who run the boxes, whatever the configuration says."
  settings {
    drain_grace   = "<= patience"
    purge_grace   = "<= 1s"
    most_attempts = "<= 8"
  }
}

expectation "small files from the district caches" {
  about = "Small files are filled from a district cache, never from the head office system, while one is up."
  cases = ["an ordinary day"]
  given {
    request { class = "small-files" }
    attempt { fill = true }
  }
  must { source {
    kind = "district"
    box  = ["d-00000a01", "d-00000a02"]
  } }
}

case "an ordinary day" {
}

expectation "a draining box is named for no new work after 2 s" {
  never { target {
    state    = "terminating"
    told_for = "> patience"
  } }
}

expectation "a swap-record never goes out twice" {
  given { request { class = "swap-record" } }
  never { attempt { maybe_ran = true } }
}

expectation "a cold box gets no more than its budget" {
  given { target { cold = true } }
  must { target { pressure = "<= 1" } }
}

expectation "riders are served" {
  cases = ["an ordinary day"]
  share {
    at_least = "97%"
    answer { outcome = "served" }
  }
}
