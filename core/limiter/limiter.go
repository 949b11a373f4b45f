// Package limiter is a VM's side of fleet-wide rate limiting: it decides which
// requests are within their organisation's rate and burst.
//
// Rate and burst apply to the whole fleet. For each organisation that sends
// requests through its VM, a Borrower holds a fraction of both under a lease of
// a few seconds, granted by the organisation's collector (package lender). A
// local token bucket is refilled at that fraction of the rate. A request that
// finds no token waits for the collector's next answer, which can also grant
// single tokens outside the fraction.
//
// Lost, duplicated or delayed messages can lose tokens but never create any: an
// answer takes effect at most once and only for the latest ask, leases count
// from before the ask was sent, and a new fraction starts with only the tokens
// that came with it.
//
// # Usage
//
//	verdict := borrower.Take(id, limit, now)
//	if verdict.Wait {
//		asks := borrower.Asks(now) // send them to the collector, then
//		borrower.Apply(collector, sent, grants, now)
//		verdict = borrower.Retry(id, now)
//	}
package limiter
