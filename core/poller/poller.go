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
	// Rest waits without a call.
	Rest Action = iota
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
	// callTime is kept of the bound for a call of a VM that asks by itself.
	callTime = 400 * time.Millisecond
	// slowestLink is that of the smallest VMs, 10 Mbit/s, in bytes a second. All VMs
	// of a group reckon with it, or the claims of one would be too rare for others.
	slowestLink = 10e6 / 8
	// transferSlack is how much longer a transfer may take than the link alone says:
	// decoding on a small share of a core, and the traffic of callers.
	transferSlack = 1.25
	// growthPart of the bound is kept for a table whose rows may grow many times over
	// in one change.
	growthPart = 0.25
	// oldPart of the bound is the age from which an answer is asked for again at once.
	// The next call and a part of its answer fit into the rest.
	oldPart = 0.5
	// longestReserve is the part of the bound that is kept at most, so that polls
	// stay rare.
	longestReserve = 0.5
	// claimTime is the time between two claims beyond the poll itself: the way
	// of a claim, or one more heartbeat if a claim is lost.
	claimTime = 500 * time.Millisecond
	// patienceOfRank keeps the VMs of a group from asking all at once.
	patienceOfRank = 60 * time.Millisecond
	lastRank       = 5
	// shortestWatch is how long the store holds a poll at least.
	shortestWatch = 200 * time.Millisecond
	// firstRetry and longestRetry bound the pause after a failed call of the
	// first VM, longestRetryOfOthers that of the others, which learn from it
	// when the store is back.
	firstRetry           = 100 * time.Millisecond
	longestRetry         = 600 * time.Millisecond
	longestRetryOfOthers = 800 * time.Millisecond
	// soonAfter is how long after a failure an answer to another VM shows that
	// the store is there. Later ones may show that it has come back.
	soonAfter = 1500 * time.Millisecond
)

// Poller is what a VM knows of one table. It isn't safe for concurrent use.
type Poller struct {
	// Bound is how soon every VM has to know of a change, set before the first
	// call. Even if the claims of others stop, a VM asks early enough.
	Bound time.Duration
	// Grows is true for a table of few rows that may become long in one change and
	// are never deleted. It is set before the first call.
	Grows bool

	known bool
	// length is that of the longest answer with rows of the table, in bytes.
	length int64
	// version is that of the store up to which all changes are known.
	version uint64
	// change is the newest version at which the table may have changed.
	change uint64
	// heard is the newest change that another VM claims.
	heard uint64
	// expected is true while changes after the version are known to be on their way.
	expected bool
	// unsure is true while a long reading comes that may hold a change, and after a
	// transfer so long that there may be another.
	unsure   bool
	asOf     time.Duration
	failures int
	retryAt  time.Duration
	// failedAt is when the first of the failed calls ended.
	failedAt time.Duration
	// othersServed is true if the store answered others meanwhile.
	othersServed bool
	// lags counts the answers in a row that did not reach what is known.
	lags int
}

// Next returns what to do now, given the VM's rank in its group, 0 for the
// first.
func (poller *Poller) Next(rank int, now time.Duration) Next {
	if wait := poller.retryAt - now; wait > 0 {
		return Next{Action: Rest, Wait: wait}
	}
	if !poller.known {
		return Next{Action: Read}
	}
	switch {
	case (poller.failures > 0 || poller.missed()) && poller.Grows:
		// The changes since a version hold each state of the rows in between.
		return Next{Action: Read}
	case poller.failures > 0:
		return Next{Action: Watch, Wait: shortestWatch} // finds soon whether the store is back
	case poller.Behind():
		return Next{Action: Watch, Wait: shortestWatch} // the change is there, or was none of this table
	case rank == 0:
		return Next{Action: Watch, Wait: poller.watchWait()}
	}
	limit := poller.patience() + patienceOfRank*time.Duration(min(rank, lastRank))
	if wait := poller.asOf + limit - now; wait > 0 {
		return Next{Action: Rest, Wait: wait}
	}
	return Next{Action: Watch, Wait: poller.watchWait()}
}

// patience returns the age of the knowledge of a group's second VM from which it
// asks by itself.
func (poller *Poller) patience() time.Duration {
	return poller.Bound - poller.reserve() - patienceOfRank*lastRank
}

// reserve returns what is kept of the bound for a call of a VM that asks by itself.
func (poller *Poller) reserve() time.Duration {
	if !poller.Grows {
		return callTime
	}
	part := func(share float64) time.Duration { return time.Duration(share * float64(poller.Bound)) }
	transfer := time.Duration(transferSlack * float64(poller.length) / slowestLink * float64(time.Second))
	return max(callTime, part(growthPart), min(part(longestReserve), transfer))
}

// Measure takes note of the length in bytes of an answer with rows; the next change
// may be as long. Only a whole answer shows that rows have become shorter.
func (poller *Poller) Measure(length int64, whole bool) {
	if whole || length > poller.length {
		poller.length = length
	}
}

// watchWait returns how long the store holds a poll, so that claims come within
// the patience.
func (poller *Poller) watchWait() time.Duration {
	return max(shortestWatch, poller.patience()-claimTime)
}

// Took takes an answer of the store in: the version that it reaches, the newest
// change in it (0 if there is none), and the time as of which it was made.
func (poller *Poller) Took(version, change uint64, asOf time.Duration, whole bool) {
	if whole && !poller.Grows {
		// What was deleted before isn't in a whole answer.
		change = version
	}
	poller.known = true
	poller.version = max(poller.version, version)
	poller.change = max(poller.change, change)
	poller.asOf = max(poller.asOf, asOf)
	poller.failures = 0
	poller.retryAt = 0
	poller.othersServed = false
	poller.expected, poller.unsure = false, false
}

// Settle follows Took. If the answer did not reach a change that is known to exist,
// the next call waits: a store whose readings lag would be asked again and again. If the
// answer is old, as its transfer took long, the VM asks at once whether it still holds.
func (poller *Poller) Settle(now time.Duration) {
	if poller.missed() {
		poller.Lag(now)
		return
	}
	poller.lags = 0
	poller.unsure = poller.Grows && now-poller.asOf > time.Duration(oldPart*float64(poller.Bound))
}

// Lag takes note of an answer that did not reach what is known, so that the next call
// waits. The store has answered; it counts as no failure.
func (poller *Poller) Lag(now time.Duration) {
	poller.retryAt = now + pauseAfter(poller.lags, longestRetry)
	poller.lags++
}

// Reading takes note that a reading of the whole table takes long. Until its end, the
// VM can't tell whether there is a change.
func (poller *Poller) Reading() { poller.unsure = true }

// Stale reports whether an answer that reaches a version is older than what is known.
func (poller *Poller) Stale(version uint64) bool { return version < poller.version }

// Learn takes over what another VM has passed on: all changes up to a version, as
// of a time. It is for a VM that knows the version which they follow.
func (poller *Poller) Learn(version uint64, asOf time.Duration) {
	poller.version = max(poller.version, version)
	poller.change = max(poller.change, version)
	poller.asOf = max(poller.asOf, asOf)
	poller.expected = false
}

// Follows reports whether changes after a version complete what is known.
func (poller *Poller) Follows(after uint64) bool { return poller.known && poller.version >= after }

// Failed takes note of a failed call. The random number, from 0 to 1, spreads
// the VMs.
func (poller *Poller) Failed(rank int, now time.Duration, random float64) {
	longest := longestRetry
	if rank > 0 {
		longest = longestRetryOfOthers
	}
	if poller.failures == 0 {
		poller.failedAt = now
	}
	pause := pauseAfter(poller.failures, longest)
	poller.failures++
	poller.unsure = false // the store may be away for long
	poller.retryAt = now + time.Duration((0.5+random/2)*float64(pause))
}

// pauseAfter returns the pause after a call that followed so many vain ones.
func pauseAfter(vain int, longest time.Duration) time.Duration {
	return min(longest, firstRetry<<min(vain, 5))
}

// Forget makes the next call read the whole table.
func (poller *Poller) Forget() { poller.known = false }

// Failures returns the number of calls that failed since the last answer.
func (poller *Poller) Failures() int { return poller.failures }

// Away reports whether the calls fail and no other VM is known to be answered, so
// that the store may be away for all.
func (poller *Poller) Away() bool { return poller.failures > 0 && !poller.othersServed }

// Version returns the version of the store after which to watch.
func (poller *Poller) Version() uint64 { return poller.version }

// AsOf returns the time up to which all changes are known.
func (poller *Poller) AsOf() time.Duration { return poller.asOf }

// Change returns the newest version at which the table may have changed, and
// false if nothing is known.
func (poller *Poller) Change() (uint64, bool) { return poller.change, poller.known }

// Hear takes another VM's claim in: that the table has not changed after a
// version up to a time. It reports whether the VM should look at Next again.
func (poller *Poller) Hear(change uint64, asOf time.Duration) bool {
	if poller.failures > 0 && asOf > poller.failedAt && asOf < poller.failedAt+soonAfter {
		poller.othersServed = true
	}
	if change > poller.version {
		news := poller.known && change > poller.heard
		poller.heard = max(poller.heard, change)
		return news
	}
	if poller.known {
		poller.asOf = max(poller.asOf, asOf)
	}
	return false
}

// Expect takes note that the store has begun a long answer, to this VM or another,
// with changes after a version. It reports whether the VM should look at Next again:
// a VM that waited for the claim would begin its own transfer when that one ends.
func (poller *Poller) Expect(after uint64) bool {
	if !poller.known || poller.expected || after < poller.version {
		return false
	}
	poller.expected = true
	return true
}

// missed reports whether there is a change that this VM doesn't know yet.
func (poller *Poller) missed() bool { return poller.expected || poller.heard > poller.version }

// Behind reports whether there is a change that this VM doesn't know yet, or may be one
// that it would learn of with the present call or the next.
func (poller *Poller) Behind() bool { return poller.missed() || poller.unsure }
