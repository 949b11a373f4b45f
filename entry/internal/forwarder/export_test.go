package forwarder

import "time"

// ResetClock makes the current time, in a synctest bubble too, the origin of Now.
func ResetClock() { clockOrigin = time.Now() }
