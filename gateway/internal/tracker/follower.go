package tracker

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/poller"
	"godwitramp.example/core/verifier"
	"godwitramp.example/platform"
	"godwitramp.example/shell/timer"
)

// batchDelay is the wait after an answer with changes, so that changes in quick
// succession come in one answer. It is short compared to the time within which changes
// must be in force.
const batchDelay = 250 * time.Millisecond

// Store is the platform's store, as implemented by platform.Store.
type Store interface {
	Read(ctx context.Context, table, part string, onLongTransfer func()) (platform.Reading, error)
	Watch(ctx context.Context, table string, after uint64, wait time.Duration, onLongTransfer func()) (platform.Reading, error)
	// Era is the newest era that an answer has named. It never falls.
	Era() uint64
	// LocalTime converts a time of the store's clock in that era to the earliest time that
	// it can be on the VM's clock. It reports false before the first answer of the era.
	LocalTime(storeTime time.Duration) (time.Duration, bool)
}

// Group is the group of VMs that share what they read from the store.
type Group interface {
	// Rank is the VM's position, from 0, among the VMs of its group that can poll the
	// store. It decides the order in which they poll.
	Rank() int
	// SendClaims sends the tracker's Claims to the group.
	SendClaims()
	// FirstInGroup reports whether this VM is the first of its group.
	FirstInGroup() bool
	// AskFleet asks a VM of the group, and if far is true one of each other data centre, for their
	// InForceClaim. It reports false if the other VMs aren't known yet.
	AskFleet(far bool) (verifier.Asked, bool)
}

// Claim states that, as of StoreTime on the store's clock, a table has not changed
// after Version.
type Claim struct {
	Table string
	// Era is the era of the store to which Version and StoreTime belong. It is 0 if the
	// store has no eras, and from VMs that don't know them.
	Era       uint64
	Version   uint64
	StoreTime time.Duration
	// DataCentre is that of the sender, "" for this VM's own. A VM of another one that can't say
	// what it has in force sends a claim without a table.
	DataCentre string
	// InForce is the newest configuration that the sender knows of, in claims about its table:
	// the one in force, or a newer one that the store has lost. It holds also if Era has ended.
	// KnownAsOf is the time of this VM's Clock up to which it was known to be the newest, 0 if the
	// sender doesn't say, and AskedAt when this VM asked for the claim, 0 if it didn't.
	InForce            verifier.Origin
	KnownAsOf, AskedAt time.Duration
	// Settled is true if the sender's readings of Era count as up to date.
	Settled bool
	// Transferring is true while the sender receives a long answer. The others should
	// call the store at once instead of waiting for its end.
	Transferring bool
	// After is the version before the changes in Rows, which are complete up to Version.
	// If Transferring is true, it is the version before the changes in the long answer.
	// Otherwise it is 0.
	After uint64
	Rows  []platform.Row
	// AfterOutage is true if the rows came in the first answer after an outage of the
	// store that may have affected all VMs.
	AfterOutage bool
	// ServedSince is the time on the store's clock since which it has answered the VMs that the sender hears, and the
	// sender, without an interruption. It is 0 if that isn't known, and from VMs that don't tell.
	ServedSince time.Duration
}

// outage describes the outage of the store, if any, before an answer.
type outage struct {
	// possible is true if the store may have been away for all VMs, so that targets couldn't renew their entries.
	possible bool
	// restored is true if the store was restored from an older copy.
	restored bool
	// endedAt is the earliest sign that it is over.
	endedAt time.Duration
}

// span is the time, on the store's clock, for which the store is known to have answered.
type span struct{ since, until time.Duration }

// add adds an answer. A new span begins if the last one was longer ago than the gap.
func (span *span) add(at, gap time.Duration) {
	if at <= span.until {
		return
	}
	if span.until == 0 || at-span.until > gap {
		span.since = at
	}
	span.until = at
}

// follower keeps the VM up to date with one table.
type follower struct {
	store Store
	group Group
	table string
	// relays is true if the VMs of the group relay changes of the table to each other.
	relays bool
	clock  func() time.Duration
	random func() float64
	log    *logrus.Entry
	// onReading is called with the rows of each answer: all rows of the table if full is
	// true, otherwise those that changed.
	onReading func(reading platform.Reading, full bool, outage outage)
	// onAnswer is called with the time of each answer of the store.
	onAnswer func(at time.Duration)
	// onServed is called when a peer's claim shows that the store answered others throughout this VM's last suspected outage.
	onServed func()
	// onFresh is called with the time up to which all changes are known.
	onFresh func(asOf time.Duration)

	// applyMutex is held while rows are applied, which keeps them in order. It is locked
	// before mutex.
	applyMutex sync.Mutex
	mutex      sync.Mutex
	poller     poller.Poller
	// storeTime is the time of the newest answer on the store's clock.
	storeTime time.Duration
	// served is for how long the store has answered this VM and its peers.
	served span
	// callBegan is when the present or last call began.
	callBegan time.Duration
	// suspectAsOf is the AsOf of the answer that ended a possible outage, until it is known that there was none.
	suspectAsOf time.Duration
	// hasRead is true once a reading has been applied, and readEra and readVersion are the
	// newest era and version of those.
	hasRead              bool
	readEra, readVersion uint64
	// keys are those of the rows, if the poller has LargeRows. applyMutex guards them.
	keys map[string]bool
	// pendingRelay is the claim with the rows of the newest answer, until it is sent.
	pendingRelay *Claim
	// transferring is true while a long answer with changes is arriving.
	transferring bool
	// wake ends idle early.
	wake chan struct{}
}

func (follower *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		follower.mutex.Lock()
		follower.beginEra(follower.store.Era()) // another call may have seen a new one
		follower.callBegan = follower.clock()
		next := follower.poller.Next(follower.group.Rank(), follower.clock())
		after, era := follower.poller.Version(), follower.poller.Era()
		follower.mutex.Unlock()
		switch next.Action {
		case poller.Idle:
			follower.idle(ctx, next.Wait)
		case poller.Read:
			reading, err := follower.store.Read(ctx, follower.table, "", follower.recordLongRead)
			follower.finishCall(ctx, reading, err, true)
		case poller.Watch:
			follower.watch(ctx, after, next.Wait, era)
		}
	}
}

// watch asks for the changes after a version of an era. A long answer that is of a newer era
// is broken off, as it can't be applied.
func (follower *follower) watch(ctx context.Context, after uint64, wait time.Duration, era uint64) {
	call, breakOff := context.WithCancel(ctx)
	defer breakOff()
	reading, err := follower.store.Watch(call, follower.table, after, wait, func() {
		if follower.store.Era() > era {
			breakOff()
			return
		}
		follower.announceTransfer()
	})
	if call.Err() != nil && ctx.Err() == nil {
		return // the whole table is read next
	}
	follower.finishCall(ctx, reading, err, false)
}

func (follower *follower) idle(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-follower.wake:
	}
}

// announceTransfer tells the group that this VM is receiving a long answer.
func (follower *follower) announceTransfer() {
	follower.mutex.Lock()
	follower.transferring = true
	follower.poller.RecordTransfer(follower.poller.Version())
	follower.mutex.Unlock()
	follower.group.SendClaims()
}

// recordLongRead records that reading the whole table takes long.
func (follower *follower) recordLongRead() {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.poller.RecordLongRead()
}

// finishCall handles the result of a call. After an answer with changes it waits for
// batchDelay, unless the VM still lacks a change.
func (follower *follower) finishCall(ctx context.Context, reading platform.Reading, err error, full bool) {
	follower.mutex.Lock()
	follower.transferring = false
	follower.mutex.Unlock()
	switch {
	case ctx.Err() != nil:
		return
	case errors.Is(err, platform.ErrHistoryGone):
		follower.mutex.Lock()
		version, now := follower.poller.Version(), follower.clock()
		follower.poller.Invalidate()
		follower.poller.RecordBack(now)
		follower.mutex.Unlock()
		follower.onAnswer(now)
		follower.log.WithFields(logrus.Fields{"table": follower.table, "version": version}).Warn("store-history-gone")
		return
	case errors.Is(err, platform.ErrEraEnded):
		follower.recordStaleAnswer(reading, err)
		return
	case err != nil:
		follower.recordFailure(err)
		return
	}
	follower.mutex.Lock()
	now := follower.clock()
	failures, mayBeOutage := follower.poller.Failures(), follower.poller.MayBeOutage(reading.AsOf)
	endedAt := follower.poller.BackAt(now)
	follower.beginEra(reading.Era)
	based := full || follower.poller.Based()
	follower.mutex.Unlock()
	follower.onAnswer(now)
	if !based {
		return // changes after a version of another era: the whole table is read next
	}
	if !follower.apply(reading, full, outage{possible: mayBeOutage, endedAt: endedAt}) {
		follower.recordStaleAnswer(reading, nil)
		return
	}
	if failures > 0 {
		follower.log.WithFields(logrus.Fields{"table": follower.table, "failures": failures, "possible-outage": mayBeOutage}).Info("store-reachable")
	}
	follower.group.SendClaims()
	if len(reading.Rows) > 0 && !follower.behind() {
		timer.Sleep(ctx, batchDelay)
	}
}

// recordStaleAnswer records an answer that is older than the VM's data, or the error for
// one of an ended era.
func (follower *follower) recordStaleAnswer(reading platform.Reading, err error) {
	follower.mutex.Lock()
	known, era := follower.poller.Version(), max(follower.poller.Era(), follower.store.Era())
	follower.poller.RecordStaleAnswer(follower.clock())
	follower.mutex.Unlock()
	log := follower.log.WithFields(logrus.Fields{"table": follower.table, "known": known, "known-era": era})
	if err != nil {
		log.WithError(err).Info("store-answer-stale")
		return
	}
	log.WithFields(logrus.Fields{"version": reading.Version, "era": reading.Era}).Info("store-answer-stale")
}

// apply applies an answer of the store. It ignores an answer that is older than the
// VM's data, for instance because a peer relayed newer rows, and reports false.
func (follower *follower) apply(reading platform.Reading, full bool, outage outage) bool {
	follower.applyMutex.Lock()
	defer follower.applyMutex.Unlock()
	follower.mutex.Lock()
	before, stale := follower.poller.Version(), follower.poller.Stale(reading.Era, reading.Version)
	follower.mutex.Unlock()
	if stale {
		return false
	}
	restored := follower.hasRead && reading.Era > follower.readEra
	if restored {
		follower.log.WithFields(logrus.Fields{
			"table": follower.table, "era-before": follower.readEra, "version-before": follower.readVersion,
			"era": reading.Era, "version": reading.Version,
		}).Warn("store-restored")
		outage.possible, outage.restored = true, true // entries that are missing in the copy are written again, as after an outage
	}
	rows := reading.Rows
	if !full {
		reading.Rows = rowsAfter(rows, before)
	}
	follower.onReading(reading, full, outage)
	deleted := follower.updateKeys(reading.Rows, full)
	rank := follower.group.Rank()
	follower.mutex.Lock()
	defer func() { follower.onFresh(follower.asOf()) }()
	defer follower.mutex.Unlock()
	follower.hasRead, follower.readEra, follower.readVersion = true, reading.Era, reading.Version
	if outage.possible {
		follower.suspectAsOf = 0
		if !outage.restored {
			follower.suspectAsOf = reading.AsOf
		}
	}
	if follower.poller.Era() != reading.Era {
		return true // a peer has claimed that a new era has begun meanwhile
	}
	change := newestVersion(reading.Rows)
	if deleted {
		change = max(change, follower.poller.DeletionVersion(rank, reading.Version))
	}
	follower.poller.RecordAnswer(reading.Version, change, reading.AsOf, full)
	if len(reading.Rows) > 0 {
		follower.poller.RecordAnswerSize(reading.Bytes, full)
	}
	follower.poller.ScheduleRecheck(follower.clock())
	if restored {
		follower.storeTime = 0 // the clock of another era
	}
	follower.storeTime = max(follower.storeTime, reading.StoreTime)
	// The store held the call for that long, which is less than an entry lasts.
	follower.served.add(reading.StoreTime-(follower.clock()-follower.callBegan), follower.poller.MaxStaleness)
	follower.served.add(reading.StoreTime, follower.poller.MaxStaleness)
	if follower.relays && !full && len(rows) > 0 {
		follower.pendingRelay = &Claim{
			Table: follower.table, Era: reading.Era, Version: reading.Version, StoreTime: reading.StoreTime, After: before, Rows: rows, AfterOutage: outage.possible,
		}
	}
	return true
}

// updateKeys keeps the keys of a table of few rows, and reports whether the whole table lacks a known one.
func (follower *follower) updateKeys(rows []platform.Row, full bool) bool {
	if !follower.poller.LargeRows {
		return false
	}
	present := make(map[string]bool, len(rows))
	if !full {
		maps.Copy(present, follower.keys)
	}
	for _, row := range rows {
		if row.Deleted {
			delete(present, row.Key)
		} else {
			present[row.Key] = true
		}
	}
	deleted := false
	for key := range follower.keys {
		deleted = deleted || full && !present[key]
	}
	follower.keys = present
	return deleted
}

// asOf returns the time up to which the VM has all changes.
func (follower *follower) asOf() time.Duration {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.poller.AsOf()
}

// applyRelayed applies the rows of another VM's claim, if they are of the VM's own era and
// leave no gap after its version.
func (follower *follower) applyRelayed(claim Claim, asOf time.Duration) {
	follower.applyMutex.Lock()
	defer follower.applyMutex.Unlock()
	follower.mutex.Lock()
	contiguous, before := follower.poller.Era() == claim.Era && follower.poller.Contiguous(claim.After), follower.poller.Version()
	follower.mutex.Unlock()
	if !contiguous || claim.Version <= before {
		return
	}
	follower.onReading(platform.Reading{Rows: rowsAfter(claim.Rows, before), Era: claim.Era, Version: claim.Version, AsOf: asOf}, false, outage{possible: claim.AfterOutage, endedAt: follower.clock()})
	follower.mutex.Lock()
	if follower.poller.Era() == claim.Era {
		follower.poller.RecordRelayed(claim.Version, asOf)
	}
	follower.mutex.Unlock()
}

// rowsAfter returns the rows with a version above the given one.
func rowsAfter(rows []platform.Row, version uint64) []platform.Row {
	var found []platform.Row
	for _, row := range rows {
		if row.Version > version {
			found = append(found, row)
		}
	}
	return found
}

// newestVersion returns the highest version of the rows, 0 if there are none.
func newestVersion(rows []platform.Row) uint64 {
	var version uint64
	for _, row := range rows {
		version = max(version, row.Version)
	}
	return version
}

func (follower *follower) recordFailure(err error) {
	rank := follower.group.Rank()
	follower.mutex.Lock()
	first := follower.poller.Failures() == 0
	follower.poller.RecordFailure(rank, follower.clock(), follower.random())
	follower.poller.RecordAway(follower.callBegan)
	follower.served = span{}
	if first {
		follower.suspectAsOf = 0 // claims are compared with the new outage
	}
	follower.mutex.Unlock()
	if first {
		fields := logrus.Fields{"table": follower.table}
		var call *platform.CallError
		if errors.As(err, &call) {
			fields["waited"], fields["received-bytes"] = call.Waited.Round(time.Millisecond), call.Received
		}
		follower.log.WithError(err).WithFields(fields).Warn("store-unreachable")
		follower.group.SendClaims()
	}
}

// unreachable reports whether the last call failed.
func (follower *follower) unreachable() bool {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.poller.Failures() > 0
}

// behind reports whether a change exists, or may exist, that this VM doesn't have yet.
func (follower *follower) behind() bool {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.poller.Behind()
}

// claim returns the VM's claim about the table, and false if it has read nothing yet.
// A pending relay is returned first, and only once.
func (follower *follower) claim() (Claim, bool) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if relay := follower.pendingRelay; relay != nil {
		follower.pendingRelay = nil
		return *relay, true
	}
	change, loaded := follower.poller.LastChange()
	claim := Claim{Table: follower.table, Era: follower.poller.Era(), Version: change, StoreTime: follower.storeTime}
	if follower.transferring {
		claim.Transferring, claim.After = true, follower.poller.Version()
	}
	if follower.relays && follower.served.since <= follower.storeTime {
		claim.ServedSince = follower.served.since
	}
	return claim, loaded && follower.storeTime > 0
}

// handleClaim processes a claim of another VM. One of an ended era is ignored. One of a
// newer era makes the VM read the table, and tells it that there is something to read; its
// time can't be converted before the store has answered this VM in that era.
func (follower *follower) handleClaim(claim Claim) {
	asOf, dated := follower.localTime(claim)
	follower.mutex.Lock()
	wake := follower.beginEra(max(claim.Era, follower.store.Era()))
	current := follower.poller.Era() == claim.Era
	follower.mutex.Unlock()
	if wake {
		follower.wakeUp()
	}
	if !current || !dated && claim.Era == 0 {
		return
	}
	if dated && len(claim.Rows) > 0 {
		follower.applyRelayed(claim, asOf)
	}
	if follower.recordClaim(claim, asOf, dated) {
		follower.wakeUp()
	}
}

// localTime returns the time of a claim on the VM's clock, and false if the store has not
// answered this VM in the claim's era, or has answered in a newer one.
func (follower *follower) localTime(claim Claim) (time.Duration, bool) {
	if follower.store.Era() != claim.Era {
		return 0, false
	}
	asOf, ok := follower.store.LocalTime(claim.StoreTime)
	return asOf, ok && follower.store.Era() == claim.Era // a new era may have begun meanwhile
}

// recordClaim records a claim of the present era, and reports whether the VM should call
// the poller again.
func (follower *follower) recordClaim(claim Claim, asOf time.Duration, dated bool) bool {
	follower.mutex.Lock()
	if follower.poller.Era() != claim.Era {
		follower.mutex.Unlock()
		return false
	}
	if !dated {
		asOf = 0 // never newer than the VM's data
	}
	wake := follower.poller.RecordClaim(claim.Version, asOf)
	if claim.StoreTime > 0 {
		follower.served.add(claim.StoreTime, follower.poller.MaxStaleness)
	}
	denied := dated && follower.recordServed(claim, asOf)
	if claim.Transferring && follower.poller.RecordTransfer(claim.After) {
		wake = true
	}
	asOf = follower.poller.AsOf()
	follower.mutex.Unlock()
	if denied {
		follower.onServed()
	}
	follower.onFresh(asOf)
	return wake
}

// recordServed records up to when the store answered the sender of a claim, and reports whether that shows that the
// store answered others throughout this VM's last suspected outage. The mutex is held.
func (follower *follower) recordServed(claim Claim, asOf time.Duration) bool {
	follower.poller.RecordBack(asOf)
	if claim.ServedSince == 0 || claim.ServedSince > claim.StoreTime {
		return false
	}
	since, ok := follower.store.LocalTime(claim.ServedSince)
	if !ok {
		return false
	}
	follower.poller.RecordServed(since, asOf)
	if follower.suspectAsOf == 0 || !follower.poller.PeersServedUntil(follower.suspectAsOf) {
		return false
	}
	follower.suspectAsOf = 0
	return true
}

// beginEra records that the store has made an answer in an era. The mutex is held.
func (follower *follower) beginEra(era uint64) bool {
	if !follower.poller.BeginEra(era) {
		return false
	}
	follower.served, follower.suspectAsOf = span{}, 0 // the clock of another era
	return true
}

// recordBack records an answer of the store about another table.
func (follower *follower) recordBack(at time.Duration) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.poller.RecordBack(at)
}

// wakeUp ends idle early.
func (follower *follower) wakeUp() {
	select {
	case follower.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
}
