// Package limiter decides which requests are inside their organisation's rate
// and burst.
//
// Rate and burst count over the whole fleet. A Borrower holds a fraction of
// both for each organisation that sends requests through its VM, lent by the
// organisation's collector (package lender) for a few seconds at a time. It
// mints tokens by that fraction. A request that finds no token waits for one
// answer of the collector, which grants single tokens besides.
//
// Whatever is lost, doubled or late, tokens may be lost but never made: an
// answer takes effect at most once and only for the latest ask; leases count
// from before the ask; a fraction starts with the tokens that came with it.
//
// # Usage
//
//	verdict := borrower.Take(id, limit, now)
//	if verdict.Wait {
//		asks := borrower.Asks(now) // send them, then
//		borrower.Apply(collector, sent, grants, now)
//		verdict = borrower.Retry(id, now)
//	}
package limiter
