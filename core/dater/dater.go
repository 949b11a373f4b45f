// Package dater tells how old an answer of the store is.
//
// The store puts the reading of its own steady clock on each answer. A dater
// finds out how far that clock is ahead of this VM's at most: the store read
// its clock after the VM had sent the call. So the time of an answer is never
// taken for later than it was, although the answer of a long poll arrives long
// after the call was sent.
//
// # Usage
//
//	var dater dater.Dater
//	asOf := dater.Date(sent, answer.Now)
//	fresh := now-asOf < limit
package dater

import "time"

// Dater compares the store's clock with the VM's. The VM's clock must go on
// while the VM is suspended. It isn't safe for concurrent use.
type Dater struct {
	// offset is the most that the VM's clock is known to be ahead of the
	// store's.
	offset time.Duration
	known  bool
}

// Date takes note of a call that was sent at a time of the VM's clock and whose
// answer carries a time of the store's clock. It returns the earliest time of
// the VM's clock at which the store can have made the answer.
func (dater *Dater) Date(sent, stored time.Duration) time.Duration {
	if offset := sent - stored; !dater.known || offset > dater.offset {
		dater.offset = offset
		dater.known = true
	}
	return stored + dater.offset
}

// Of returns the earliest time of the VM's clock for a time of the store's. It
// reports false if no call has been dated.
func (dater *Dater) Of(stored time.Duration) (time.Duration, bool) {
	return stored + dater.offset, dater.known
}
