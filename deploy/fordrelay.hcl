log {
  format = "text"
  level  = "info"
}

levels {
  level "trim" {
    enter {
      for_ms  = 500
      wait_ms = 250
    }
    leave {
      for_ms  = 15000
      wait_ms = 60
    }
    class "live-score" {
      hold_ms  = 100
      headroom = 1
      attempts = 2
    }
  }
  level "core" {
    enter {
      for_ms  = 700
      wait_ms = 500
      lost    = 0.2
    }
    leave {
      for_ms  = 15000
      wait_ms = 60
      lost    = 0.1
    }
    class "live-score" {
      hold_ms  = 50
      headroom = 2
      attempts = 1
    }
    class "review" {
      headroom = 1
    }
  }
}
