// Package poller decides when a VM asks the store for changes of a table, and
// when it relies on what the VMs of its group say.
//
// A call of every VM each second is dear and grows with the fleet. So the first
// VM of a group, by name, keeps a long poll at the store and claims to the others
// what it learned: that nothing has changed after a version, up to a time of the
// store's clock. A VM whose own knowledge reaches that version is as fresh as
// the claim; one that is behind asks the store itself. When claims stop, because
// the first VM is gone, cut off or can't reach the store, the others take over in
// the order of their ranks. While a long answer comes, the VM that gets it says so,
// and the others ask at once.
//
// # Usage
//
//	next := poller.Next(rank, now)
//	switch next.Action {
//	case poller.Rest: // for next.Wait, or until Hear reports true
//	case poller.Read:
//	case poller.Watch: // for at most next.Wait
//	}
package poller

import "time"

// Action is what a VM does next.
type Action int

// The actions.
const (
	// Idle waits without a call.
	Idle Action = iota
	// Read reads the whole table.
	Read
	// Watch waits at the store for a change.
	Watch
)

// Next is an action and the longest time that it takes.
type Next struct {
	Action Action
	Wait   time.Duration
}

const (
	// callReserve is kept of the bound for a call of a VM that asks by itself.
	callReserve = 400 * time.Millisecond
	// minLinkRate is that of the smallest VMs, 10 Mbit/s, in bytes a second. All VMs
	// of a group reckon with it, or the claims of one would be too rare for others.
	minLinkRate = 10e6 / 8
	// transferSlack is how much longer a transfer may take than the link alone says:
	// decoding on a small share of a core, and the traffic of callers.
	transferSlack = 1.25
	// growthReserveShare of the bound is kept for a table whose rows may grow many times over
	// in one change.
	growthReserveShare = 0.25
	// recheckAgeShare of the bound is the age from which an answer is asked for again at once.
	// The next call and a part of its answer fit into the rest.
	recheckAgeShare = 0.5
	// maxReserveShare is the part of the bound that is kept at most, so that polls
	// stay rare.
	maxReserveShare = 0.5
	// claimMargin is the time between two claims beyond the poll itself: the way
	// of a claim, or one more heartbeat if a claim is lost.
	claimMargin = 500 * time.Millisecond
	// takeoverStagger keeps the VMs of a group from asking all at once.
	takeoverStagger = 60 * time.Millisecond
	maxStaggeredRank       = 5
	// minWatch is how long the store holds a poll at least.
	minWatch = 200 * time.Millisecond
	// initialBackoff and longestRetry bound the pause after a failed call of the
	// first VM, longestRetryOfOthers that of the others, which learn from it
	// when the store is back.
	initialBackoff           = 100 * time.Millisecond
	maxBackoff         = 600 * time.Millisecond
	maxBackoffOthers = 800 * time.Millisecond
	// peerAnswerWindow is how long after a failure an answer to another VM shows that
	// the store is there. Later ones may show that it has come back.
	peerAnswerWindow = 1500 * time.Millisecond
)

// Poller is what a VM knows of one table. It isn't safe for concurrent use.
type Poller struct {
	// MaxStaleness is how soon every VM has to know of a change, set before the first
	// call. Even if the claims of others stop, a VM asks early enough.
	MaxStaleness time.Duration
	// LargeRows is true for a table of few rows that may become long in one change and
	// are never deleted. It is set before the first call.
	LargeRows bool

	loaded bool
	// largestAnswer is that of the longest answer with rows of the table, in bytes.
	largestAnswer int64
	// version is that of the store up to which all changes are known.
	version uint64
	// lastChange is the newest version at which the table may have changed.
	lastChange uint64
	// newestClaim is the newest change that another VM claims.
	newestClaim uint64
	// changeInFlight is true while changes after the version are known to be on their way.
	changeInFlight bool
	// changePossible is true while a long reading comes that may hold a change, and after a
	// transfer so long that there may be another.
	changePossible   bool
	asOf     time.Duration
	failures int
	retryAt  time.Duration
	// firstFailedAt is when the first of the failed calls ended.
	firstFailedAt time.Duration
	// peersServed is true if the store answered others meanwhile.
	peersServed bool
	// staleAnswers counts the answers in a row that did not reach what is known.
	staleAnswers int
}

// Next returns what to do now, given the VM's rank in its group, 0 for the
// first.
func (poller *Poller) Next(rank int, now time.Duration) Next {
	if wait := poller.retryAt - now; wait > 0 {
		return Next{Action: Idle, Wait: wait}
	}
	if !poller.loaded {
		return Next{Action: Read}
	}
	switch {
	case (poller.failures > 0 || poller.missesChange()) && poller.LargeRows:
		// The changes since a version hold each state of the rows in between.
		return Next{Action: Read}
	case poller.failures > 0:
		return Next{Action: Watch, Wait: minWatch} // finds soon whether the store is back
	case poller.Behind():
		return Next{Action: Watch, Wait: minWatch} // the change is there, or was none of this table
	case rank == 0:
		return Next{Action: Watch, Wait: poller.watchDuration()}
	}
	limit := poller.takeoverAge() + takeoverStagger*time.Duration(min(rank, maxStaggeredRank))
	if wait := poller.asOf + limit - now; wait > 0 {
		return Next{Action: Idle, Wait: wait}
	}
	return Next{Action: Watch, Wait: poller.watchDuration()}
}

// takeoverAge returns the age of the knowledge of a group's second VM from which it
// asks by itself.
func (poller *Poller) takeoverAge() time.Duration {
	return poller.MaxStaleness - poller.reserve() - takeoverStagger*maxStaggeredRank
}

// reserve returns what is kept of the bound for a call of a VM that asks by itself.
func (poller *Poller) reserve() time.Duration {
	if !poller.LargeRows {
		return callReserve
	}
	part := func(share float64) time.Duration { return time.Duration(share * float64(poller.MaxStaleness)) }
	transfer := time.Duration(transferSlack * float64(poller.largestAnswer) / minLinkRate * float64(time.Second))
	return max(callReserve, part(growthReserveShare), min(part(maxReserveShare), transfer))
}

// RecordAnswerSize takes note of the length in bytes of an answer with rows; the next change
// may be as long. Only a whole answer shows that rows have become shorter.
func (poller *Poller) RecordAnswerSize(length int64, whole bool) {
	if whole || length > poller.largestAnswer {
		poller.largestAnswer = length
	}
}

// watchDuration returns how long the store holds a poll, so that claims come within
// the patience.
func (poller *Poller) watchDuration() time.Duration {
	return max(minWatch, poller.takeoverAge()-claimMargin)
}

// RecordAnswer takes an answer of the store in: the version that it reaches, the newest
// change in it (0 if there is none), and the time as of which it was made.
func (poller *Poller) RecordAnswer(version, change uint64, asOf time.Duration, whole bool) {
	if whole && !poller.LargeRows {
		// What was deleted before isn't in a whole answer.
		change = version
	}
	poller.loaded = true
	poller.version = max(poller.version, version)
	poller.lastChange = max(poller.lastChange, change)
	poller.asOf = max(poller.asOf, asOf)
	poller.failures = 0
	poller.retryAt = 0
	poller.peersServed = false
	poller.changeInFlight, poller.changePossible = false, false
}

// ScheduleRecheck follows Took. If the answer did not reach a change that is known to exist,
// the next call waits: a store whose readings lag would be asked again and again. If the
// answer is old, as its transfer took long, the VM asks at once whether it still holds.
func (poller *Poller) ScheduleRecheck(now time.Duration) {
	if poller.missesChange() {
		poller.RecordStaleAnswer(now)
		return
	}
	poller.staleAnswers = 0
	poller.changePossible = poller.LargeRows && now-poller.asOf > time.Duration(recheckAgeShare*float64(poller.MaxStaleness))
}

// RecordStaleAnswer takes note of an answer that did not reach what is known, so that the next call
// waits. The store has answered; it counts as no failure.
func (poller *Poller) RecordStaleAnswer(now time.Duration) {
	poller.retryAt = now + backoff(poller.staleAnswers, maxBackoff)
	poller.staleAnswers++
}

// RecordLongRead takes note that a reading of the whole table takes long. Until its end, the
// VM can't tell whether there is a change.
func (poller *Poller) RecordLongRead() { poller.changePossible = true }

// Stale reports whether an answer that reaches a version is older than what is known.
func (poller *Poller) Stale(version uint64) bool { return version < poller.version }

// RecordRelayed takes over what another VM has passed on: all changes up to a version, as
// of a time. It is for a VM that knows the version which they follow.
func (poller *Poller) RecordRelayed(version uint64, asOf time.Duration) {
	poller.version = max(poller.version, version)
	poller.lastChange = max(poller.lastChange, version)
	poller.asOf = max(poller.asOf, asOf)
	poller.changeInFlight = false
}

// Contiguous reports whether changes after a version complete what is known.
func (poller *Poller) Contiguous(after uint64) bool { return poller.loaded && poller.version >= after }

// RecordFailure takes note of a failed call. The random number, from 0 to 1, spreads
// the VMs.
func (poller *Poller) RecordFailure(rank int, now time.Duration, random float64) {
	longest := maxBackoff
	if rank > 0 {
		longest = maxBackoffOthers
	}
	if poller.failures == 0 {
		poller.firstFailedAt = now
	}
	pause := backoff(poller.failures, longest)
	poller.failures++
	poller.changePossible = false // the store may be away for long
	poller.retryAt = now + time.Duration((0.5+random/2)*float64(pause))
}

// backoff returns the pause after a call that followed so many vain ones.
func backoff(failures int, longest time.Duration) time.Duration {
	return min(longest, initialBackoff<<min(failures, 5))
}

// Invalidate makes the next call read the whole table.
func (poller *Poller) Invalidate() { poller.loaded = false }

// Failures returns the number of calls that failed since the last answer.
func (poller *Poller) Failures() int { return poller.failures }

// MayBeOutage reports whether the calls fail and no other VM is known to be answered, so
// that the store may be away for all.
func (poller *Poller) MayBeOutage() bool { return poller.failures > 0 && !poller.peersServed }

// Version returns the version of the store after which to watch.
func (poller *Poller) Version() uint64 { return poller.version }

// AsOf returns the time up to which all changes are known.
func (poller *Poller) AsOf() time.Duration { return poller.asOf }

// LastChange returns the newest version at which the table may have changed, and
// false if nothing is known.
func (poller *Poller) LastChange() (uint64, bool) { return poller.lastChange, poller.loaded }

// RecordClaim takes another VM's claim in: that the table has not changed after a
// version up to a time. It reports whether the VM should look at Next again.
func (poller *Poller) RecordClaim(change uint64, asOf time.Duration) bool {
	if poller.failures > 0 && asOf > poller.firstFailedAt && asOf < poller.firstFailedAt+peerAnswerWindow {
		poller.peersServed = true
	}
	if change > poller.version {
		changed := poller.loaded && change > poller.newestClaim
		poller.newestClaim = max(poller.newestClaim, change)
		return changed
	}
	if poller.loaded {
		poller.asOf = max(poller.asOf, asOf)
	}
	return false
}

// RecordTransfer takes note that the store has begun a long answer, to this VM or another,
// with changes after a version. It reports whether the VM should look at Next again:
// a VM that waited for the claim would begin its own transfer when that one ends.
func (poller *Poller) RecordTransfer(after uint64) bool {
	if !poller.loaded || poller.changeInFlight || after < poller.version {
		return false
	}
	poller.changeInFlight = true
	return true
}

// missesChange reports whether there is a change that this VM doesn't know yet.
func (poller *Poller) missesChange() bool { return poller.changeInFlight || poller.newestClaim > poller.version }

// Behind reports whether there is a change that this VM doesn't know yet, or may be one
// that it would learn of with the present call or the next.
func (poller *Poller) Behind() bool { return poller.missesChange() || poller.changePossible }
