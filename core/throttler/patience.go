package throttler

import "time"

const (
	// patientPart is the part of its latency objective that a request may wait for
	// a token. The work of a request takes a quarter to a half of the objective, so
	// that one which waited for so long is still answered within it.
	patientPart = 0.4
	// longestPatience keeps requests with long objectives from taking the tokens of
	// those with short ones.
	longestPatience = 400 * time.Millisecond
)

// Patience returns how long a request may wait for a token of its organisation.
// It answers loads that come unevenly at groups of VMs which each have a small part
// of the rate: there the next token is often near, and a refused caller comes back
// late or not at all. One that has to wait for longer is refused at once.
func Patience(objective, remaining time.Duration) time.Duration {
	if objective <= 0 {
		return 0
	}
	return min(time.Duration(patientPart*float64(min(objective, remaining))), longestPatience)
}
