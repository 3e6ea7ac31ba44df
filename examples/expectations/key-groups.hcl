# Keyed requests under trouble at their caches: some turn attempts away, which never ran, and others fail them, which may
# have run. Each repeat has to stay in the group of the attempts that may have run.

load "many records" {
  utilisation = 0.6
  requests    = 1500
  class "swap-record" {
    share = "90%"
  }
}

case "full and failing caches" {
  event "full" {
    kind  = "cache"
    at    = "300ms"
    lasts = "6s"
  }
  event "fail" {
    kind  = "cache"
    at    = "300ms"
    lasts = "6s"
    size  = "50%"
  }
  event "full" {
    kind  = "cache"
    at    = "800ms"
    lasts = "3s"
  }
}

case "a full station and failing district caches" {
  event "full" {
    kind  = "cache"
    boxes = "all"
    at    = "300ms"
    lasts = "6s"
  }
  event "fail" {
    kind  = "district"
    boxes = "all"
    at    = "300ms"
    lasts = "6s"
    size  = "50%"
  }
}

expectation "repeats stay in their group" {
  about = "A keyed request goes only where the key of an earlier attempt that may have run is known."
  given { request { effect = "keyed" } }
  never { attempt { leaves_group = true } }
}
