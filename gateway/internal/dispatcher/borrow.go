package dispatcher

import (
	"context"
	"slices"
	"time"

	"godwitramp.example/core/throttler"
)

// loan is what this VM borrows of one organisation. It belongs to state.
type loan struct {
	throttler.Borrower
	// lenders are the VMs that lent tokens in the present round.
	lenders []string
	// progress is closed when an answer has come or a round has ended.
	progress chan struct{}
}

func (loan *loan) notify() {
	close(loan.progress)
	loan.progress = make(chan struct{})
}

// borrow waits, for maxWait at most, for tokens of other groups for a request whose
// organisation has none left in this VM's group. It returns the part of the token that came
// from the group's own bucket after all, or false if the request has got none.
func (handler *handler) borrow(ctx context.Context, maxWait time.Duration) (own float64, ok bool) {
	dispatcher, organisation := handler.dispatcher, handler.job.organisation.Name
	state := &dispatcher.state
	if maxWait <= 0 || !state.beginBorrowing(organisation) {
		return 0, false
	}
	defer func() { dispatcher.deposited(organisation, state.endBorrowing(organisation, dispatcher.Clock())) }()
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	for {
		own, lenders, ok := state.spendBorrowed(organisation, dispatcher.Clock())
		if ok {
			handler.lenders = lenders
			return own, true
		}
		step, ok := state.nextBorrowing(organisation, dispatcher.Clock())
		switch {
		case !ok:
			return 0, false
		case step.ask:
			asked := dispatcher.Messenger.AskForTokens(step.scope, organisation, step.tokens, step.lenders)
			countAsks(asked)
			state.recordAsked(organisation, asked)
			continue
		}
		timer := time.NewTimer(step.wait)
		select {
		case <-step.progress:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return 0, false
		}
		timer.Stop()
	}
}

// borrowing is the next step of a request that borrows a token.
type borrowing struct {
	// ask is true if lenders groups within the scope are to be asked for tokens. Otherwise
	// the request waits for progress, or for the end of the wait.
	ask      bool
	scope    throttler.Scope
	tokens   float64
	lenders  int
	wait     time.Duration
	progress <-chan struct{}
}

// beginBorrowing counts a request that borrows. It returns false if the organisation has no
// rate, or the VM has not found its group yet.
func (state *state) beginBorrowing(organisation string) bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if !state.joined || state.rates[organisation] == nil {
		return false
	}
	if state.loans == nil {
		state.loans = make(map[string]*loan)
	}
	if state.loans[organisation] == nil {
		state.loans[organisation] = &loan{progress: make(chan struct{})}
	}
	state.loans[organisation].Wait()
	return true
}

// endBorrowing counts a request that no longer borrows, and returns the tokens that were
// borrowed in vain and now are in the bucket.
func (state *state) endBorrowing(organisation string, now time.Duration) float64 {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	loan, bucket := state.loans[organisation], state.rates[organisation]
	if loan == nil || bucket == nil {
		return 0 // a new configuration has no rate for the organisation
	}
	loan.Leave()
	loan.Next(bucket.Level(now), now) // ends the round if nobody waits
	return state.depositLeftover(loan, bucket, now)
}

func (state *state) depositLeftover(loan *loan, bucket *throttler.Bucket, now time.Duration) float64 {
	leftover := loan.Leftover()
	bucket.Add(leftover, now)
	return leftover
}

// spendBorrowed takes a token out of what was borrowed and the bucket. It returns the part
// that came out of the bucket, and the lenders.
func (state *state) spendBorrowed(organisation string, now time.Duration) (own float64, lenders []string, ok bool) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	loan, bucket := state.loans[organisation], state.rates[organisation]
	if loan == nil || bucket == nil {
		return 0, nil, false
	}
	state.believe(bucket, now)
	own, ok = loan.Spend(bucket, now)
	return own, slices.Clone(loan.lenders), ok
}

// nextBorrowing returns the next step, or false if no group is left to ask.
func (state *state) nextBorrowing(organisation string, now time.Duration) (borrowing, bool) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	loan, bucket := state.loans[organisation], state.rates[organisation]
	if loan == nil || bucket == nil {
		return borrowing{}, false
	}
	if !loan.Active() {
		if !loan.Start(bucket, now) {
			return borrowing{}, false
		}
		loan.lenders = nil
	}
	level := bucket.Level(now)
	scope, ask := loan.Next(level, now)
	if !ask && !loan.Active() {
		loan.notify()
		return borrowing{}, false
	}
	missing := loan.Missing(level)
	return borrowing{
		ask: ask, scope: scope, tokens: missing, lenders: throttler.Lenders(missing, bucket.Burst()), wait: loan.Remaining(now), progress: loan.progress,
	}, true
}

func (state *state) recordAsked(organisation string, asked int) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if loan := state.loans[organisation]; loan != nil {
		loan.Asked(asked)
	}
}

// handleTokens records the answer of a lender. It returns the tokens for which no request
// waits any more, and which now are in the bucket.
func (state *state) handleTokens(from, organisation string, tokens float64, now time.Duration) float64 {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	loan, bucket := state.loans[organisation], state.rates[organisation]
	if loan == nil || bucket == nil {
		return 0
	}
	loan.Answer(tokens)
	if tokens > 0 {
		loan.lenders = append(loan.lenders, from)
	}
	loan.notify()
	return state.depositLeftover(loan, bucket, now)
}

// lend takes up to the given tokens out of the bucket of the VM's group.
func (state *state) lend(organisation string, tokens float64, now time.Duration) float64 {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	bucket := state.rates[organisation]
	if !state.joined || bucket == nil {
		return 0
	}
	state.believe(bucket, now)
	return bucket.Lend(tokens, now)
}
