// Package poller decides when a VM polls the store for changes of a table, and
// when it relies on the claims of its peers instead.
//
// One call per VM and second is expensive and grows with the fleet. So only the
// first VM of a group, by name, keeps a long poll open at the store. It sends
// claims to its peers: the table has not changed after a version, as of a time of
// the store's clock. A peer that has reached this version is as fresh as the claim;
// one that is behind polls the store itself. When claims stop, because the first VM
// is gone, partitioned or can't reach the store, the others take over in the order
// of their ranks. While a VM receives a long answer, it announces the transfer, and
// its peers poll at once.
//
// Versions can be compared within an era of the store only: when the store is restored
// from an older copy, it gives versions out again. When a new era begins, a VM forgets
// what it knew of versions, keeps its data and reads the whole table.
//
// # Usage
//
//	next := poller.Next(rank, now)
//	switch next.Action {
//	case poller.Idle: // for next.Wait, or until RecordClaim or RecordTransfer reports true
//	case poller.Read:
//	case poller.Watch: // for at most next.Wait
//	}
package poller

import "time"

// Action is the next step of a VM.
type Action int

// The actions.
const (
	// Idle makes no call.
	Idle Action = iota
	// Read reads the whole table.
	Read
	// Watch sends a long poll for the changes after Version.
	Watch
)

// Next is an action and its time limit. A Read has no limit.
type Next struct {
	Action Action
	Wait   time.Duration
}

const (
	// callReserve is the part of MaxStaleness that is reserved for one call of a VM
	// that has received no claim.
	callReserve = 400 * time.Millisecond
	// minLinkRate is the link rate of the smallest VMs, 10 Mbit/s, in bytes a second.
	// All VMs of a group assume it: a VM that assumed a faster link would send claims
	// too rarely for the others.
	minLinkRate = 10e6 / 8
	// transferSlack is the factor by which a transfer may exceed its time on an idle
	// link: it covers decoding on a small share of a core, and the traffic of callers.
	transferSlack = 1.25
	// growthReserveShare is the share of MaxStaleness that is reserved at least if
	// LargeRows is set, as one change may make a row many times larger.
	growthReserveShare = 0.25
	// recheckAgeShare is the share of MaxStaleness beyond which an answer is too old
	// and the VM polls again at once. The rest covers the next call and a part of its
	// answer.
	recheckAgeShare = 0.5
	// maxReserveShare limits the reserve for a transfer to a share of MaxStaleness, so
	// that polls stay rare.
	maxReserveShare = 0.5
	// claimMargin is the time between two claims in addition to the long poll: the
	// delivery of a claim, or one more heartbeat if a claim is lost.
	claimMargin = 500 * time.Millisecond
	// takeoverStagger is the delay per rank, up to maxStaggeredRank, that keeps the
	// VMs of a group from polling all at once.
	takeoverStagger  = 60 * time.Millisecond
	maxStaggeredRank = 5
	// minWatch is the shortest time that the store holds a long poll.
	minWatch = 200 * time.Millisecond
	// initialBackoff and maxBackoff bound the backoff of the first VM after a failed
	// call. The others use maxBackoffOthers, as they learn from the claims of the
	// first VM that the store is back.
	initialBackoff   = 100 * time.Millisecond
	maxBackoff       = 600 * time.Millisecond
	maxBackoffOthers = 800 * time.Millisecond
	// peerAnswerWindow is the time after a failure within which an answer to a peer
	// shows that the store was up. A later answer may only show that it is back, unless
	// others fill the time before it.
	peerAnswerWindow = 1500 * time.Millisecond
)

// Poller is a VM's polling state for one table. It isn't safe for concurrent use.
type Poller struct {
	// MaxStaleness is the time within which every VM has to learn of a change. A VM
	// polls early enough for that even if no claims arrive. Set before the first call.
	MaxStaleness time.Duration
	// LargeRows is true for a table of few rows that may become large in one change. A full
	// answer that shows that one of them was deleted counts with DeletionVersion. Set before
	// the first call.
	LargeRows bool

	// era is the newest era of the store that is known, to which all versions belong.
	era uint64
	// loaded is true once the whole table has been read in the era.
	loaded bool
	// largestAnswer is the size in bytes of the largest answer with rows since the
	// last full one.
	largestAnswer int64
	// version is the store version up to which this VM has all changes.
	version uint64
	// lastChange is the newest version at which the table may have changed.
	lastChange uint64
	// newestClaim is the newest change that a peer has claimed and this VM lacked.
	newestClaim uint64
	// changeInFlight is true while the store is sending changes after version, to this
	// VM or to a peer.
	changeInFlight bool
	// changePossible is true during a long read, whose answer may hold a change, and
	// after a transfer so long that the table may have changed again.
	changePossible bool
	asOf           time.Duration
	failures       int
	retryAt        time.Duration
	// firstFailedAt is when the first of the failed calls ended.
	firstFailedAt time.Duration
	// servedUntil is up to when the store is known to have answered peers, without an interruption of MaxStaleness,
	// since the first failure or shortly after. It is 0 if that isn't known.
	servedUntil time.Duration
	// backAt is the earliest sign that the store is back after the first failure, 0 if there is none.
	backAt time.Duration
	// awayAt is when the last failed call began.
	awayAt time.Duration
	// staleAnswers counts consecutive answers that lacked a change known to exist.
	staleAnswers int
}

// Next returns what to do now, given the VM's rank in its group; the first VM has
// rank 0.
func (poller *Poller) Next(rank int, now time.Duration) Next {
	if wait := poller.retryAt - now; wait > 0 {
		return Next{Action: Idle, Wait: wait}
	}
	if !poller.loaded {
		return Next{Action: Read}
	}
	switch {
	case (poller.failures > 0 || poller.missesChange()) && poller.LargeRows:
		// The changes since a version include every intermediate state of the rows.
		return Next{Action: Read}
	case poller.failures > 0:
		return Next{Action: Watch, Wait: minWatch} // short, to find out soon whether the store is back
	case poller.Behind():
		return Next{Action: Watch, Wait: minWatch} // short: the store has the change, or it was in another table
	case rank == 0:
		return Next{Action: Watch, Wait: poller.watchDuration()}
	}
	limit := poller.takeoverAge() + takeoverStagger*time.Duration(min(rank, maxStaggeredRank))
	if wait := poller.asOf + limit - now; wait > 0 {
		return Next{Action: Idle, Wait: wait}
	}
	return Next{Action: Watch, Wait: poller.watchDuration()}
}

// takeoverAge returns the age of a VM's data, without the stagger of its rank, from
// which it polls the store although it isn't the first VM.
func (poller *Poller) takeoverAge() time.Duration {
	return poller.MaxStaleness - poller.reserve() - takeoverStagger*maxStaggeredRank
}

// reserve returns the part of MaxStaleness that is reserved for the call and the
// transfer of a VM that takes over.
func (poller *Poller) reserve() time.Duration {
	if !poller.LargeRows {
		return callReserve
	}
	part := func(share float64) time.Duration { return time.Duration(share * float64(poller.MaxStaleness)) }
	transfer := time.Duration(transferSlack * float64(poller.largestAnswer) / minLinkRate * float64(time.Second))
	return max(callReserve, part(growthReserveShare), min(part(maxReserveShare), transfer))
}

// RecordAnswerSize records the size in bytes of an answer with rows; the next change
// may be as large. Only the answer to a read of the whole table shows that rows have
// become smaller.
func (poller *Poller) RecordAnswerSize(length int64, full bool) {
	if full || length > poller.largestAnswer {
		poller.largestAnswer = length
	}
}

// watchDuration returns how long the store holds a long poll, so that claims arrive
// before the others take over.
func (poller *Poller) watchDuration() time.Duration {
	return max(minWatch, poller.takeoverAge()-claimMargin)
}

// BeginEra records that the store has made an answer, to this VM or a peer, in an era. If
// that is newer than the known one, all that is known of versions is forgotten, and the next
// call reads the whole table at once. It reports whether this is so. An older era is ignored:
// its answer was made before the store was restored, or comes from another copy of it.
func (poller *Poller) BeginEra(era uint64) bool {
	if era <= poller.era {
		return false
	}
	poller.era, poller.loaded = era, false
	poller.version, poller.lastChange, poller.newestClaim = 0, 0, 0
	poller.changeInFlight, poller.changePossible = false, false
	poller.staleAnswers, poller.retryAt = 0, 0
	return true
}

// Era returns the newest era of the store that is known.
func (poller *Poller) Era() uint64 { return poller.era }

// RecordAnswer records an answer of the store in the known era: the version that it reaches, the
// newest change in it (0 if there is none), the time as of which the store made it,
// and whether it is full, that is, holds the whole table.
func (poller *Poller) RecordAnswer(version, change uint64, asOf time.Duration, full bool) {
	if full && !poller.LargeRows {
		// A full answer doesn't show which rows were deleted before it, so the last change
		// may be as new as the answer.
		change = version
	}
	poller.loaded = true
	poller.version = max(poller.version, version)
	poller.lastChange = max(poller.lastChange, change)
	poller.asOf = max(poller.asOf, asOf)
	poller.failures = 0
	poller.retryAt = 0
	poller.changeInFlight, poller.changePossible = false, false
}

// DeletionVersion returns the version that a deletion counts with which a full answer shows, since the answer
// doesn't name it: that of a claim that explains the call, or else that of the answer, which makes peers read the
// table again, if their data is older. The first VM always takes the latter, as the others rely on its claims. It is
// called before RecordAnswer.
func (poller *Poller) DeletionVersion(rank int, version uint64) uint64 {
	if rank > 0 && poller.newestClaim > poller.version {
		return min(poller.newestClaim, version)
	}
	return version
}

// ScheduleRecheck is called after RecordAnswer. If the answer lacks a change known to
// exist, the next call backs off; otherwise a store with stale reads would be polled
// in a tight loop. If the answer is old because its transfer took long, the VM polls
// again at once.
func (poller *Poller) ScheduleRecheck(now time.Duration) {
	if poller.missesChange() {
		poller.RecordStaleAnswer(now)
		return
	}
	poller.staleAnswers = 0
	poller.changePossible = poller.LargeRows && now-poller.asOf > time.Duration(recheckAgeShare*float64(poller.MaxStaleness))
}

// RecordStaleAnswer records an answer that lacks a change known to exist, and delays
// the next call. As the store has answered, this does not count as a failure.
func (poller *Poller) RecordStaleAnswer(now time.Duration) {
	poller.retryAt = now + backoff(poller.staleAnswers, maxBackoff)
	poller.staleAnswers++
}

// RecordLongRead records that a read of the whole table takes long. Until it ends, the
// VM can't tell whether the table has changed.
func (poller *Poller) RecordLongRead() { poller.changePossible = true }

// Stale reports whether an answer that was made in an era and reaches a version is older
// than the VM's data.
func (poller *Poller) Stale(era, version uint64) bool {
	return era < poller.era || era == poller.era && version < poller.version
}

// Based reports whether an answer with the changes after Version can be applied. It can't if
// a new era has begun since the call.
func (poller *Poller) Based() bool { return poller.loaded }

// RecordRelayed records that a peer has relayed all changes up to a version, as of a
// time. Call it only if Contiguous is true of the version that the changes follow.
func (poller *Poller) RecordRelayed(version uint64, asOf time.Duration) {
	poller.version = max(poller.version, version)
	poller.lastChange = max(poller.lastChange, version)
	poller.asOf = max(poller.asOf, asOf)
	poller.changeInFlight = false
}

// Contiguous reports whether changes after the given version leave no gap after the
// VM's own version.
func (poller *Poller) Contiguous(after uint64) bool { return poller.loaded && poller.version >= after }

// RecordFailure records a failed call and schedules the retry. The random number, from
// 0 to 1, sets the jitter between VMs.
func (poller *Poller) RecordFailure(rank int, now time.Duration, random float64) {
	limit := maxBackoff
	if rank > 0 {
		limit = maxBackoffOthers
	}
	if poller.failures == 0 {
		poller.firstFailedAt = now
		poller.servedUntil, poller.backAt = 0, 0
	}
	delay := backoff(poller.failures, limit)
	poller.failures++
	poller.changePossible = false // the outage may last long
	poller.retryAt = now + time.Duration((0.5+random/2)*float64(delay))
}

// backoff returns the delay after an unsuccessful call, given the number of those
// before it.
func backoff(failures int, limit time.Duration) time.Duration {
	return min(limit, initialBackoff<<min(failures, 5))
}

// Invalidate makes the next call read the whole table.
func (poller *Poller) Invalidate() { poller.loaded = false }

// Failures returns the number of calls that failed since the last answer.
func (poller *Poller) Failures() int { return poller.failures }

// MayBeOutage reports whether this VM's calls failed until an answer that the store made as of a time, and peers aren't
// known to have got answers all along, so that the store may have been down for all VMs.
func (poller *Poller) MayBeOutage(asOf time.Duration) bool {
	return poller.failures > 0 && !poller.PeersServedUntil(asOf)
}

// RecordServed records that the store answered peers from one time to another, without an interruption of
// MaxStaleness or longer. Only what began before the first failure counts.
func (poller *Poller) RecordServed(since, until time.Duration) {
	if since <= poller.firstFailedAt {
		poller.servedUntil = max(poller.servedUntil, until)
	}
}

// PeersServedUntil reports whether the store answered peers without an interruption from before the last outage that
// this VM suspected up to a time. The time is that of the answer that ended it.
func (poller *Poller) PeersServedUntil(asOf time.Duration) bool {
	return poller.servedUntil > 0 && asOf-poller.servedUntil < poller.MaxStaleness
}

// RecordBack records a sign that the store is back, while this VM's calls fail: its answer about another table, or to a
// peer. One from before the last failed call doesn't count: a claim may arrive long after the answer.
func (poller *Poller) RecordBack(at time.Duration) {
	if poller.failures > 0 && at > poller.awayAt && (poller.backAt == 0 || at < poller.backAt) {
		poller.backAt = at
	}
}

// RecordAway records that a call that began at a time has failed. The store has gone away again if it was back before.
func (poller *Poller) RecordAway(begun time.Duration) {
	poller.awayAt = begun
	if poller.backAt < begun {
		poller.backAt = 0
	}
}

// BackAt returns when the store was back at the latest, given the time at which it has answered this VM.
func (poller *Poller) BackAt(answered time.Duration) time.Duration {
	if poller.backAt == 0 {
		return answered
	}
	return min(poller.backAt, answered)
}

// Version returns the store version after which to watch.
func (poller *Poller) Version() uint64 { return poller.version }

// AsOf returns the time up to which the VM has all changes.
func (poller *Poller) AsOf() time.Duration { return poller.asOf }

// LastChange returns the newest version at which the table may have changed, and
// false if the table has to be read first.
func (poller *Poller) LastChange() (uint64, bool) { return poller.lastChange, poller.loaded }

// RecordClaim records a peer's claim in the known era: as of a time, the table has not changed after
// the version. It reports whether the VM should call Next again.
func (poller *Poller) RecordClaim(change uint64, asOf time.Duration) bool {
	soon := asOf > poller.firstFailedAt && asOf < poller.firstFailedAt+peerAnswerWindow
	if poller.failures > 0 && (soon || poller.PeersServedUntil(asOf)) {
		poller.servedUntil = max(poller.servedUntil, asOf)
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

// RecordTransfer records that the store has begun a long answer, to this VM or a peer,
// with changes after a version. It reports whether the VM should call Next again: if
// it waited for the claim, its own transfer would only begin when that one ends.
func (poller *Poller) RecordTransfer(after uint64) bool {
	if !poller.loaded || poller.changeInFlight || after < poller.version {
		return false
	}
	poller.changeInFlight = true
	return true
}

// missesChange reports whether there is a change that this VM doesn't have yet.
func (poller *Poller) missesChange() bool {
	return poller.changeInFlight || poller.newestClaim > poller.version
}

// Behind reports whether there is a change that this VM doesn't have yet, or may be
// one that the present call or the next one would bring.
func (poller *Poller) Behind() bool { return poller.missesChange() || poller.changePossible }
