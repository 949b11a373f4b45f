// Package rationer divides a bound of memory between transfers whose length nobody
// knows, so that one without end takes no room from the others.
//
// # Usage
//
//	rationer := &rationer.Rationer{Limit: 40 << 20}
//	rationer.Begin()
//	for more {
//		ok := rationer.Grow(held, n) // false: give the transfer up
//	}
//	rationer.End(held)
package rationer

// Rationer counts what transfers hold. It isn't safe for concurrent use.
type Rationer struct {
	// Limit is in bytes; zero means none.
	Limit int64

	held      int64
	transfers int64
}

// Begin counts a transfer.
func (rationer *Rationer) Begin() { rationer.transfers++ }

// Grow counts n more bytes of a transfer that holds some already. It reports false if
// the limit is reached and the transfer holds more than its share; those that hold less
// may go on, so that short answers come through. All together hold twice the limit at
// most, while transfers that began alone pause.
func (rationer *Rationer) Grow(held, n int64) bool {
	rationer.held += n
	if rationer.Limit == 0 || rationer.held <= rationer.Limit {
		return true
	}
	return held+n <= rationer.Limit/rationer.transfers
}

// End takes a transfer and what it held off.
func (rationer *Rationer) End(held int64) {
	rationer.held -= held
	rationer.transfers--
}

// Held returns the bytes that all transfers hold.
func (rationer *Rationer) Held() int64 { return rationer.held }
