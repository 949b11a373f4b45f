package lender

import (
	"context"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/limiter"
)

// Admit reports whether a request is within its organisation's rate and burst
// and, if not, after which time the caller should retry. A request for which
// this VM has no token waits briefly for the collector's answer.
func (lent *Lender) Admit(ctx context.Context, organisation *configurator.Organisation) (bool, time.Duration) {
	id := limiter.IDOf(organisation.Path)
	limit := limiter.Limit{Rate: organisation.Rate, Burst: organisation.Burst, Revision: lent.Tables.Revision()}
	lent.borrowMutex.Lock()
	verdict := lent.borrower.Take(id, limit, lent.Now())
	if !verdict.Wait {
		lent.borrowMutex.Unlock()
		return verdict.Allowed, verdict.RetryAfter
	}
	waiting := &waiter{decided: make(chan limiter.Verdict, 1)}
	lent.waiters[id] = append(lent.waiters[id], waiting)
	lent.borrowMutex.Unlock()
	lent.wakeAsk()
	return lent.awaitDecision(ctx, id, waiting)
}

// wakeAsk makes Run send the due asks now.
func (lent *Lender) wakeAsk() {
	select {
	case lent.askNow <- struct{}{}:
	default:
	}
}

func (lent *Lender) awaitDecision(ctx context.Context, id limiter.ID, waiting *waiter) (bool, time.Duration) {
	timer := time.NewTimer(maxDecisionWait)
	defer timer.Stop()
	select {
	case verdict := <-waiting.decided:
		return lent.awaitToken(ctx, verdict)
	case <-ctx.Done():
	case <-timer.C:
	}
	lent.borrowMutex.Lock()
	defer lent.borrowMutex.Unlock()
	lent.abandon(id, waiting)
	return false, undecidedRetryAfter
}

// awaitToken waits until the token of a delayed request has accrued.
func (lent *Lender) awaitToken(ctx context.Context, verdict limiter.Verdict) (bool, time.Duration) {
	if !verdict.Allowed || verdict.Delay == 0 {
		return verdict.Allowed, verdict.RetryAfter
	}
	timer := time.NewTimer(verdict.Delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false, undecidedRetryAfter
	case <-timer.C:
	}
	if verdict.TokenLease.Lapsed(lent.Now()) {
		return false, undecidedRetryAfter
	}
	return true, 0
}

// abandon removes a request from the waiters, unless it has been decided. The
// caller holds borrowMutex.
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

// retryWaiters lets waiting requests try again in the order of their arrival.
// The caller holds borrowMutex.
func (lent *Lender) retryWaiters(ids []limiter.ID) {
	for _, id := range ids {
		var undecided []*waiter
		for _, waiting := range lent.waiters[id] {
			verdict := lent.borrower.Retry(id, lent.Now())
			if verdict.Wait {
				undecided = append(undecided, waiting)
				continue
			}
			waiting.decided <- verdict
		}
		if len(undecided) == 0 {
			delete(lent.waiters, id)
			continue
		}
		lent.waiters[id] = undecided
	}
	if lent.borrower.HasPending() {
		lent.wakeAsk()
	}
}
