package forwarder

import "time"

// StartClock makes the time in a bubble the origin of Now.
func StartClock() { startOfClock = time.Now() }
