package quarantiner

import "time"

const (
	// minLookDelay is the shortest time without an answer after which a target is dialed, as a dial
	// costs it a connection.
	minLookDelay = 100 * time.Millisecond
	// maxLookDoublings limits the pauses between the looks at a target that is reachable.
	maxLookDoublings = 6
)

// Watch decides when a VM looks whether the target of an attempt has fallen silent. A target that crashes
// with its machine, or loses power, ends no connection, so that the attempt would only end with its
// deadline. It answers load under which a request comes again sooner than that. Usual is the time
// within which answers nearly always come.
type Watch struct {
	Usual time.Duration

	looks int
}

// Next returns the time until the next look. It doubles with each, as a target that was reachable is
// likely to be only slow.
func (watch *Watch) Next() time.Duration {
	delay := max(watch.Usual, minLookDelay) << min(watch.looks, maxLookDoublings)
	watch.looks++
	return delay
}

// Look is what a VM sees when it looks at a target that does not answer.
type Look struct {
	// Reachable is true if a connection to the target could be opened, or it answered another attempt
	// since the attempt began.
	Reachable bool
	// OthersReachable is true if this VM reached another target at the same time.
	OthersReachable bool
}

// Finding is what a look shows.
type Finding int

// The findings.
const (
	// Alive is a target that is slow, or hangs: its machine accepts connections.
	Alive Finding = iota
	// Cut is a target that can't be reached, by a VM that can't be shown to reach any other: its own
	// path may be cut.
	Cut
	// Crashed is a target that can't be reached, by a VM that reaches others.
	Crashed
)

// String returns the name of the finding in logs.
func (finding Finding) String() string {
	return [...]string{Alive: "alive", Cut: "cut", Crashed: "crashed"}[finding]
}

// Judge returns what a look shows.
func (look Look) Judge() Finding {
	switch {
	case look.Reachable:
		return Alive
	case look.OthersReachable:
		return Crashed
	default:
		return Cut
	}
}
