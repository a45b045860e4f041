# What is the operators' own. Every key stands here; those in comments have the value that they have without being
# said. `fordrelay check --operator FILE` prints what is in force, `fordrelay levels --explain --operator FILE` says
# the conditions in words. SIGHUP reads the file again: levels and log.level count at once, all else from the next
# start. docs/operating-degradation.md explains the bounds.

log {
  format = "text"   # or "json": one object a line
  level  = "info"   # error, warn, info, debug, trace, or by part: "info,http1=debug"
}

# The operators' listener: GET /levels, GET /metrics, POST /levels/force. It asks nobody who they are: keep it where
# no client reaches it. Off unless it is set.
# admin {
#   listen      = "127.0.0.1:9901"
#   connections = 8      # 1 to 256, open together
#   request_ms  = 2000   # 1 to 60000, for a whole request
# }

# Watching the other dispatchers over the peers' datagrams: who of them is alive (docs/maintenance.md). To be set alike at
# all of them. Off unless it is set.
# membership {
#   period_ms = 500   # 50 to 60000; one of them is pinged in each
# }

# Where words on targets and what is known of them are kept for the next process of this dispatcher, if nobody hands
# the clients' socket on. A process that starts while another one lives waits 10 s for the clients' port. Off unless it
# is set; with an inherited socket the folder is $TMPDIR unless it is set.
# handover {
#   folder = "/var/lib/fordrelay"   # an absolute path that outlives the process
# }

levels {
  # enabled            = true
  # look_ms            = 100      # how often the figures are read
  # settle_in_ms       = 10000    # no change before a list of targets has been fresh for so long
  # usual_half_life_ms = 600000   # what is usual follows a lasting loss by half in this
  # short_ms           = 2000     # shares are taken over this ...
  # long_ms            = 8000     # ... and, to enter a level, over this as well
  # least_answers      = 20       # shares of fewer say nothing
  # step_ms            = 12000    # a level has so long to help before the next, unless capacity vanishes
  # relapse_ms         = 60000    # entered again within this after it was left: held twice as long
  # forgive_ms         = 300000   # half of that is forgiven in this
  # hold_most_ms       = 120000   # the longest that leave.for_ms becomes by that
  # history            = 32       # changes that are kept to be shown
  # force_most_ms      = 3600000  # the longest that a level can be forced for

  # At 1.4 times capacity: large reviews take a third of the work for a tenth of the worth, and what only gen-a runs
  # finds gen-a full.
  level "trim" {
    enter {
      for_ms  = 700
      wait_ms = 200    # at 0.6 of capacity it stays below 100 nine times in ten
      lost    = 0.15   # a quarter of the boxes is more, one of eight is less
    }
    leave {
      for_ms  = 22000
      wait_ms = 60
      lost    = 0.08
    }
    while_wait_ms  = 20     # with less work held nothing is turned away, so that a level still in force costs nothing
    retry_after_ms = 1000   # spread from half to one and a half times
    # open_flows   = no bound beside the program's own
    class "live-score" {
      headroom = 4          # slots left free at targets of a kind that another class is bound to
      # admit         = "all"   # "none", or a share from 0 to 1
      # largest_slots = no bound
      # attempts      = those that the platform allows
      # hold_ms       = no bound; turned away unless sent within this
    }
    class "review" {
      headroom      = 4
      largest_slots = 2
    }
  }

  # At 1.9 times capacity.
  level "narrow" {
    enter {
      for_ms = 1000
      late   = { live-score = 0.45 }
      lost   = 0.4
    }
    leave {
      for_ms = 22000
      late   = { live-score = 0.1 }
      lost   = 0.3
    }
    while_wait_ms = 20
    class "live-score" {
      headroom = 4
    }
    class "review" {
      headroom      = 4
      largest_slots = 1
    }
  }

  # At 3 times capacity.
  level "core" {
    enter {
      for_ms = 1000
      late   = { live-score = 0.5 }
      lost   = 0.6
    }
    leave {
      for_ms  = 22000
      late    = { live-score = 0.1 }
      lost    = 0.5
    }
    while_wait_ms = 20
    class "live-score" {
      admit = "none"
    }
    class "review" {
      headroom      = 4
      largest_slots = 1
    }
  }

  # What is left when hardly anything is, or when the program itself is at its limits.
  level "settle-only" {
    enter {
      for_ms      = 3000
      lost        = 0.8
      memory      = 0.9
      descriptors = 0.97
    }
    leave {
      for_ms      = 22000
      lost        = 0.7
      memory      = 0.8
      descriptors = 0.9
    }
    while_wait_ms = 20
    class "live-score" {
      admit = "none"
    }
    class "review" {
      admit = "none"
    }
  }
}
