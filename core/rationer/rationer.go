// Package rationer divides a memory limit between transfers of unknown length, so that
// an unbounded transfer can't starve the others.
//
// A transfer that is whole stays in memory until it is ended, and nothing can take its bytes back. Those that are still
// arriving share what is left.
//
// # Usage
//
//	rationer := &rationer.Rationer{Limit: 40 << 20}
//	rationer.Begin()
//	for more {
//		ok := rationer.Grow(held, n) // false: abort the transfer
//	}
//	rationer.Finish(held) // all has arrived
//	rationer.Release(held)
package rationer

const (
	// maxOvershoot times the limit is what all transfers together may hold: some may have filled the limit and be
	// paused while others take their shares.
	maxOvershoot = 2
	// A transfer is short up to a shortPart-th of the limit. Short ones may take a reservePart-th of the limit more
	// than others, so that a few long ones that are whole don't keep them out.
	shortPart   = 1024
	reservePart = 4
)

// Rationer counts the bytes that transfers hold. It isn't safe for concurrent use.
type Rationer struct {
	// Limit is in bytes; zero means no limit.
	Limit int64

	// held are the bytes of all transfers, and whole those of the transfers that are whole.
	held, whole int64
	// transfers is the number of those that are arriving.
	transfers int64
}

// Begin adds a transfer.
func (rationer *Rationer) Begin() { rationer.transfers++ }

// Grow counts n more bytes of a transfer that already holds held bytes. It reports false
// if the limit is exceeded and the transfer holds more than an equal share of what whole transfers leave of it. Smaller
// transfers may continue, so that short answers get through. All transfers together never hold more than twice the
// limit and what was counted when false was reported.
func (rationer *Rationer) Grow(held, n int64) bool {
	rationer.held += n
	own := held + n
	switch {
	case rationer.Limit == 0 || rationer.held <= rationer.Limit:
		return true
	case own <= rationer.Limit/shortPart && rationer.held <= rationer.Limit+rationer.Limit/reservePart:
		return true
	default:
		return rationer.held <= maxOvershoot*rationer.Limit && own <= (rationer.Limit-rationer.whole)/rationer.transfers
	}
}

// Finish tells that a transfer is whole.
func (rationer *Rationer) Finish(held int64) {
	rationer.transfers--
	rationer.whole += held
}

// Release removes a whole transfer and the bytes that it held.
func (rationer *Rationer) Release(held int64) {
	rationer.whole -= held
	rationer.held -= held
}

// End removes a transfer that isn't whole, and the bytes that it held.
func (rationer *Rationer) End(held int64) {
	rationer.held -= held
	rationer.transfers--
}

// Held returns the bytes that all transfers hold.
func (rationer *Rationer) Held() int64 { return rationer.held }
