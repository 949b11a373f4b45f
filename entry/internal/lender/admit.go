package lender

import (
	"context"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/limiter"
)

// Admit reports whether a request is inside its organisation's rate and
// burst, and if not, when the caller should come back. A request that finds no
// token on this VM waits briefly for the collector's answer.
func (lent *Lender) Admit(ctx context.Context, organisation *configurator.Organisation) (bool, time.Duration) {
	id := limiter.IDOf(organisation.Path)
	limit := limiter.Limit{Rate: organisation.Rate, Burst: organisation.Burst, Revision: lent.Tables.Revision()}
	lent.borrowing.Lock()
	verdict := lent.borrower.Take(id, limit, lent.Now())
	if !verdict.Wait {
		lent.borrowing.Unlock()
		return verdict.Allowed, verdict.RetryAfter
	}
	waiting := &waiter{decided: make(chan limiter.Verdict, 1)}
	lent.waiters[id] = append(lent.waiters[id], waiting)
	lent.borrowing.Unlock()
	lent.poke()
	return lent.await(ctx, id, waiting)
}

// poke makes Run send the asks that are due.
func (lent *Lender) poke() {
	select {
	case lent.wake <- struct{}{}:
	default:
	}
}

func (lent *Lender) await(ctx context.Context, id limiter.ID, waiting *waiter) (bool, time.Duration) {
	timer := time.NewTimer(longestWait)
	defer timer.Stop()
	select {
	case verdict := <-waiting.decided:
		return lent.redeem(ctx, verdict)
	case <-ctx.Done():
	case <-timer.C:
	}
	lent.borrowing.Lock()
	defer lent.borrowing.Unlock()
	lent.abandon(id, waiting)
	return false, retryWhenUndecided
}

// redeem waits until the token of a delayed request has been minted.
func (lent *Lender) redeem(ctx context.Context, verdict limiter.Verdict) (bool, time.Duration) {
	if !verdict.Allowed || verdict.Delay == 0 {
		return verdict.Allowed, verdict.RetryAfter
	}
	timer := time.NewTimer(verdict.Delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false, retryWhenUndecided
	case <-timer.C:
	}
	if verdict.TokenLease.Lapsed(lent.Now()) {
		return false, retryWhenUndecided
	}
	return true, 0
}

// abandon takes a request out of the queue, unless it has been decided.
func (lent *Lender) abandon(id limiter.ID, waiting *waiter) {
	for i, other := range lent.waiters[id] {
		if other == waiting {
			lent.waiters[id] = append(lent.waiters[id][:i], lent.waiters[id][i+1:]...)
			lent.borrower.Abandon(id, 1)
			break
		}
	}
	if len(lent.waiters[id]) == 0 {
		delete(lent.waiters, id)
	}
}

// decide lets waiting requests try again, in the order of their arrival. The
// caller holds the mutex borrowing.
func (lent *Lender) decide(ids []limiter.ID) {
	for _, id := range ids {
		var left []*waiter
		for _, waiting := range lent.waiters[id] {
			verdict := lent.borrower.Retry(id, lent.Now())
			if verdict.Wait {
				left = append(left, waiting)
				continue
			}
			waiting.decided <- verdict
		}
		if len(left) == 0 {
			delete(lent.waiters, id)
			continue
		}
		lent.waiters[id] = left
	}
	if lent.borrower.HasPending() {
		lent.poke()
	}
}
