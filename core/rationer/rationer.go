// Package rationer divides a memory limit between transfers of unknown length, so that
// an unbounded transfer can't starve the others.
//
// # Usage
//
//	rationer := &rationer.Rationer{Limit: 40 << 20}
//	rationer.Begin()
//	for more {
//		ok := rationer.Grow(held, n) // false: abort the transfer
//	}
//	rationer.End(held)
package rationer

// Rationer counts the bytes that transfers hold. It isn't safe for concurrent use.
type Rationer struct {
	// Limit is in bytes; zero means no limit.
	Limit int64

	held      int64
	transfers int64
}

// Begin adds a transfer.
func (rationer *Rationer) Begin() { rationer.transfers++ }

// Grow counts n more bytes of a transfer that already holds held bytes. It reports false
// if the limit is exceeded and the transfer holds more than an equal share of it. Smaller
// transfers may continue, so that short answers get through. All transfers together hold
// at most twice the limit, which happens while transfers that filled it alone are paused.
func (rationer *Rationer) Grow(held, n int64) bool {
	rationer.held += n
	if rationer.Limit == 0 || rationer.held <= rationer.Limit {
		return true
	}
	return held+n <= rationer.Limit/rationer.transfers
}

// End removes a transfer and the bytes that it held.
func (rationer *Rationer) End(held int64) {
	rationer.held -= held
	rationer.transfers--
}

// Held returns the bytes that all transfers hold.
func (rationer *Rationer) Held() int64 { return rationer.held }
