# What the deployment expects of routing: its five rules and the design's two claims. Checked without traffic:
#   barleyspur expect --config CONFIG.json deploy/expectations.hcl
# The figures (drain_grace, fall_span, ...) are the configuration's own. docs/EXPECTATIONS.md describes the language.

load "usual" {
  utilisation = 0.5
}

load "rush" {
  utilisation = 1.2
  requests    = 3000
  length      = "6s"
}

# ---- rule 1: every request gets one answer, in time ----

expectation "answered in time" {
  about = "No request is without an answer when its time and the slack are over."
  never { answer { outcome = "none" } }
}

expectation "nothing after the end" {
  about = "What had its final answer is not sent again."
  never { attempt { after_end = true } }
}

expectation "final answers at once" {
  about = "A refusal goes out when it is decided: with nothing changed since, only the request's own end may bring it."
  given {
    answer { outcome = ["refused", "failed"] }
  }
  must {
    either { answer { held = 0 } }
    either { answer { outstanding = "> 0" } }
  }
}

expectation "come back later" {
  about = "Who is refused is told when to return, within what clients honour."
  given { answer { outcome = "refused" } }
  must { answer { w = "1ms..longest_w" } }
}

# ---- rule 2: an effect happens once ----

expectation "an unsafe request goes out once" {
  about = "A swap-record that may have run is never sent again."
  given { request { effect = "unsafe" } }
  never { attempt { maybe_ran = true } }
}

expectation "an unsafe refusal means it never ran" {
  given {
    request { effect = "unsafe" }
    answer { outcome = "refused" }
  }
  must { answer { maybe_ran = false } }
}

expectation "an unsafe request runs once" {
  about = "Over all tries of a client, as counted where it runs."
  given { request { effect = "unsafe" } }
  never { answer { runs = "> 1" } }
}

expectation "no attempt leaves the group of one that may have run" {
  about = "A keyed request is repeated only where its key is known: at any box, in its zone or in its cell, by its class."
  never { attempt { leaves_group = true } }
}

# ---- rule 3: drains ----

expectation "no new work for a draining box" {
  about = "Neither as target nor as source, from the grace after the doorman was told."
  never {
    either { target {
      state    = ["terminating", "terminated", "missing"]
      told_for = "> drain_grace"
    } }
    either { source {
      state    = ["terminating", "terminated", "missing"]
      told_for = "> drain_grace"
    } }
  }
}

case "a cache drains and returns" {
  event "drain" {
    kind = "cache"
    at   = "500ms"
  }
  event "return" {
    kind = "cache"
    at   = "3s"
  }
}

expectation "a returned box gets work again" {
  cases = ["a cache drains and returns"]
  after {
    told   = "in_service"
    kind   = "cache"
    own    = true
    within = "3s"
    until  = ["terminating", "terminated", "missing"]
  }
  given { target { kind = "cache" } }
  eventually { target { same = true } }
}

# ---- rule 4: cold boxes ----

case "boxes restart in a rush" {
  event "restart" {
    kind = "cache"
    at   = "500ms"
    told = "100ms"
  }
  event "restart" {
    kind = "district"
    at   = "600ms"
    told = "100ms"
  }
}

expectation "no cold cache is pushed over" {
  about = "What all doormans that were told of its start send within the rule's span, over what the rule allows."
  given { target {
    kind = "cache"
    cold = true
  } }
  must { target { pressure = "<= 1" } }
}

expectation "no cold district cache is pushed over" {
  given { source {
    kind = "district"
    cold = true
  } }
  must { source { pressure = "<= 1" } }
}

# ---- rule 5: purges ----

expectation "no copy from before a purge is asked for" {
  never { attempt { takes_purged = true } }
}

expectation "no copy from before a purge is served" {
  never { answer { purged_copy = true } }
}

# ---- limits ----

expectation "attempts within the cap" {
  count {
    of      = "attempts"
    per     = "request"
    at_most = "most_attempts"
    attempt { number = ">= 1" }
  }
}

# ---- the design ----

case "calm" {
}

expectation "hot_spread" {
  about = "A hot object reaches more caches than one as its demand grows: over all, several caches serve it."
  given { request { objects = "hot" } }
  share {
    at_least = "1%"
    attempt { rank = 3 }
  }
}

expectation "ordinary objects keep to few" {
  about = "A file that is not hot stays at one cache or two of each station while all are well."
  cases = ["calm"]
  loads = ["usual"]
  given {
    request {
      class   = "small-files"
      objects = ["ordinary", "once"]
    }
    attempt { number = 1 }
  }
  count {
    of      = "targets"
    per     = "object"
    at_most = 6
    target { kind = "cache" }
  }
}

expectation "one home for an object" {
  about = "While all are well, an object's fills meet at one district cache, from all stations and doormans."
  cases = ["calm"]
  loads = ["usual"]
  given {
    request { write = false }
    attempt { number = 1 }
  }
  count {
    of      = "sources"
    per     = "object"
    at_most = 1
    attempt { fill = true }
    source { kind = "district" }
  }
}

expectation "parent_home" {
  about = "An object's fills meet at one district cache from all stations: the head office serves few of them by itself."
  given {
    request { write = false }
    attempt {
      fill   = true
      number = 1
    }
    target { kind = "cache" }
  }
  share {
    at_least = "50%"
    source { kind = "district" }
  }
}
