// Package dater determines how old an answer of the store is.
//
// The store puts a timestamp of its own monotonic clock on each answer. A Dater
// bounds the offset between that clock and this VM's: the store read its clock after
// the VM had sent the call. So an answer is never dated later than it was made. Once a
// quick call has narrowed the bound, the answer of a long poll isn't dated back to its
// call either, although it arrives long after the call was sent.
//
// # Usage
//
//	var dater dater.Dater
//	asOf := dater.Date(sent, answer.Now)
//	fresh := now-asOf < limit
package dater

import "time"

// Dater estimates the offset between the store's clock and the VM's. The VM's clock
// must keep running while the VM is suspended. It isn't safe for concurrent use.
type Dater struct {
	// offset is the highest known lower bound of the VM's clock minus the store's.
	offset time.Duration
	known  bool
}

// Date returns the earliest time of the VM's clock at which the store can have made an
// answer with the timestamp storeTime. The call was sent at the time sent of the VM's
// clock; Date also improves the offset with it.
func (dater *Dater) Date(sent, storeTime time.Duration) time.Duration {
	if offset := sent - storeTime; !dater.known || offset > dater.offset {
		dater.offset = offset
		dater.known = true
	}
	return storeTime + dater.offset
}

// LocalTime converts a time of the store's clock to the earliest time that it can be on
// the VM's clock. It reports false before the first call of Date.
func (dater *Dater) LocalTime(storeTime time.Duration) (time.Duration, bool) {
	return storeTime + dater.offset, dater.known
}
