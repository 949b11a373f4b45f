package dispatcher

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
	"godwitramp.example/core/rationer"
	"godwitramp.example/core/throttler"
	"godwitramp.example/core/verifier"
	"godwitramp.example/gateway/internal/messenger"
)

// state is what the decisions of a VM rest on, under one mutex.
type state struct {
	mutex   sync.Mutex
	placer  *placer.Placer
	random  *rand.Rand
	rates   map[string]*throttler.Bucket
	budgets map[string]*throttler.Budget
	policy  Policy
	// groupShare is the groupShare of the fleet's rates that the group of VMs has, and
	// heardFraction the groupShare of the group that this VM may spend for.
	groupShare, heardFraction float64
	// joined is true once the VM has found its group.
	joined bool
	// answers are the bodies that are being read.
	answers rationer.Rationer
}

func (state *state) beginTransfer() {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.answers.Begin()
}

// growTransfer reports whether a transfer that holds some bytes may hold n more.
func (state *state) growTransfer(held, n int64) bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.answers.Grow(held, n)
}

func (state *state) endTransfer(held int64) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.answers.End(held)
}

// unjoinedFraction is the part of a group that a VM spends for which has not found the
// group yet: one of a group of the largest size.
const unjoinedFraction = 1.0 / messenger.MaxGroup

// Policy is what bounds the fleet as a whole.
type Policy struct {
	Rates throttler.Tolerance
	// RetryRatio is the number of further attempts for each request of a
	// service, beside RetryExtra in each RetryWindow.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// Configuration bounds what may be done on an old configuration.
	Configuration verifier.Policy
}

func (state *state) setPolicy(policy Policy) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.policy = policy
	for _, budget := range state.budgets {
		budget.Ratio = policy.RetryRatio
	}
}

func (state *state) configurationPolicy() verifier.Policy {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.policy.Configuration
}

// configure takes over the rates and services of a configuration.
func (state *state) configure(index *indexer.Index, now time.Duration) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	rates := make(map[string]*throttler.Bucket)
	for i := range index.Organisations {
		organisation := &index.Organisations[i]
		if organisation.Rate <= 0 {
			continue
		}
		bucket := state.rates[organisation.Name]
		if bucket == nil {
			bucket = &throttler.Bucket{}
		}
		bucket.Set(state.policy.Rates.Divide(organisation.Rate, organisation.Burst, state.groupShare), now)
		bucket.SetShare(state.heardFraction, now)
		rates[organisation.Name] = bucket
	}
	state.rates = rates
	budgets := make(map[string]*throttler.Budget)
	for i := range index.Services {
		name := index.Services[i].Name
		budget := state.budgets[name]
		if budget == nil {
			budget = &throttler.Budget{Ratio: state.policy.RetryRatio}
		}
		budget.Set(state.policy.RetryExtra, state.policy.RetryWindow, state.groupShare, now)
		budget.SetShare(state.heardFraction, now)
		budgets[name] = budget
	}
	state.budgets = budgets
}

// setShare takes over the parts of the group and of this VM. The first call says that
// the VM has found its group.
func (state *state) setShare(groupShare, heardFraction float64, now time.Duration) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	first := !state.joined
	state.groupShare, state.heardFraction, state.joined = groupShare, heardFraction, true
	if !first {
		return
	}
	for _, bucket := range state.rates {
		bucket.SetShare(heardFraction, now)
		bucket.ResetLevel(now)
	}
}

// charge takes a token of the organisation and returns how long the request has
// to wait for it, or the refusal of a request for which there is none in time.
func (state *state) charge(organisation string, maxWait, now time.Duration) (time.Duration, *refusal) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	bucket := state.rates[organisation]
	if bucket == nil {
		return 0, nil
	}
	if !state.joined {
		maxWait = 0 // others may take the same tokens
	}
	wait, ok := bucket.Reserve(maxWait, now)
	switch {
	case ok:
		return wait, nil
	case !state.joined:
		// The organisation may be well within its rate.
		return 0, &refusal{status: http.StatusServiceUnavailable, reason: "group-unknown", retryAfter: otherVMRetryAfter}
	default:
		return 0, &refusal{status: http.StatusTooManyRequests, reason: "rate-exceeded", retryAfter: wait}
	}
}

// pick returns a target. A further attempt is taken from the service's budget. A
// request that could be sent again counts as one that can't while the budget has no
// savings for that.
func (state *state) pick(info placer.PickInfo, retry bool) (placer.Target, bool) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	budget := state.budgets[info.Service]
	info.Retryable = info.Retryable && (budget == nil || budget.AffordsLikelyRetry(info.Now))
	target, ok := state.placer.Pick(info, state.random)
	if !ok {
		return placer.Target{}, false
	}
	switch {
	case budget == nil:
	case !retry:
		budget.Deposit(info.Now)
	case !budget.Withdraw(info.Now):
		state.placer.Done(target, placer.Unknown, info.Now)
		return placer.Target{}, false
	}
	return target, true
}

// randomFloat returns a random number from 0 to 1.
func (state *state) randomFloat() float64 {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.random.Float64()
}

func (state *state) usable(target placer.Target, now time.Duration) bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.placer.Usable(target, now)
}

// coolDown takes note that a target wants nothing from this VM for a time, and returns for
// how long it gets nothing.
func (state *state) coolDown(target placer.Target, requested, now time.Duration) time.Duration {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.placer.CoolDown(target, requested, now) - now
}

// retryAfterJitter is the part of a wait by which callers come back later, so that not
// all meet the target whose quiet ends first.
const retryAfterJitter = 0.5

// coolDownRetryAfter returns when callers of a service may come back all of whose targets want
// quiet. It reports false for other services.
func (state *state) coolDownRetryAfter(service string, now time.Duration) (time.Duration, bool) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	wait, ok := state.placer.CoolDownWait(service, now)
	return max(otherVMRetryAfter, wait) + time.Duration(retryAfterJitter*state.random.Float64()*float64(max(otherVMRetryAfter, wait))), ok
}

// done takes note of the end of an attempt, and returns the target's suspicion
// before and after it.
func (state *state) done(target placer.Target, outcome placer.Outcome, now time.Duration) (before, after float64) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	before = state.placer.Suspicion(target.ID, now)
	state.placer.Done(target, outcome, now)
	if outcome == placer.Good {
		state.placer.RecordSuccess(target.Service, now)
	}
	return before, state.placer.Suspicion(target.ID, now)
}

// markLeaving takes note that a target leaves, and reports whether that is news.
func (state *state) markLeaving(target placer.Target) bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.placer.MarkLeaving(target.ID, target.Incarnation)
}

func (state *state) recordFailure(service string, now time.Duration) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.placer.RecordFailure(service, now)
}

// handleEvent takes a note of another VM in. Notes that change what a group shares
// count only if they come from the group.
func (state *state) handleEvent(note messenger.Note, fromGroup bool, now time.Duration) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	switch {
	case note.Kind == messenger.Told:
		state.placer.PeerOutcome(note.Name, note.Outcome, now)
	case note.Kind == messenger.Left:
		state.placer.MarkLeaving(note.Name, note.Incarnation)
	case !fromGroup:
	case note.Kind == messenger.Admitted:
		if bucket := state.rates[note.Name]; bucket != nil {
			bucket.Debit(1, now)
		}
	case note.Kind == messenger.Begun:
		state.placer.PeerStarted(note.Name, now)
		if budget := state.budgets[note.Service]; budget != nil {
			budget.Deposit(now)
		}
	case note.Kind == messenger.BegunAgain:
		state.placer.PeerStarted(note.Name, now)
		if budget := state.budgets[note.Service]; budget != nil {
			budget.Debit(now)
		}
	case note.Kind == messenger.Ended:
		state.placer.PeerDone(note.Name, note.Outcome, now)
		if note.Outcome == placer.Good {
			state.placer.RecordSuccess(note.Service, now)
		}
	case note.Kind == messenger.Unserved:
		state.placer.RecordFailure(note.Service, now)
	}
}
