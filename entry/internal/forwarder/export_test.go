package forwarder

import "time"

// StartClock makes the time in a bubble the origin of Now.
func ResetClock() { clockOrigin = time.Now() }
