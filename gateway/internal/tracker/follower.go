package tracker

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/poller"
	"godwitramp.example/platform"
	"godwitramp.example/shell/timer"
)

// batchPause gathers changes that come in quick succession. It is a small part
// of the time within which changes must be in force.
const batchPause = 250 * time.Millisecond

// Store is what the tracker needs of the platform's store.
type Store interface {
	Read(ctx context.Context, table, part string, arriving func()) (platform.Reading, error)
	Watch(ctx context.Context, table string, after uint64, wait time.Duration, arriving func()) (platform.Reading, error)
	// Date returns the time of the VM's clock for one of the store's clock.
	Date(stored time.Duration) (time.Duration, bool)
}

// Group is the VMs that tell each other what they know of the store.
type Group interface {
	// Rank is the VM's place in its group, 0 for the first.
	Rank() int
	// Claim tells the group that Claims has news.
	Claim()
}

// Claim says that a table has not changed after a version up to a time of the
// store's clock.
type Claim struct {
	Table  string
	Change uint64
	Stored time.Duration
	// Arriving is true while a long answer comes to this VM. The others should ask
	// the store at once.
	Arriving bool
	// After is the version that Rows follow, which are all that changed between it
	// and Change, or the version that the answer which is arriving follows. It is 0
	// otherwise.
	After uint64
	Rows  []platform.Row
	// Returned is true if the rows came in the first answer after the store was
	// away for all.
	Returned bool
}

// follower keeps up with one table.
type follower struct {
	store Store
	group Group
	table string
	// passes is true if the VMs of the group pass changes of the table on.
	passes bool
	clock  func() time.Duration
	random func() float64
	log    *logrus.Entry
	// take takes an answer in. Whole answers have all rows of the table, others
	// those that changed. Returned is true for the first answer after the store
	// was away.
	take func(reading platform.Reading, whole, returned bool)
	// fresh is told the time up to which all changes are known.
	fresh func(asOf time.Duration)

	// applying is held while rows are taken in, so that they are in order.
	applying sync.Mutex
	mutex    sync.Mutex
	poller   poller.Poller
	// stored is the store's time of the newest answer.
	stored time.Duration
	// passing is the claim with the rows of the newest answer, told once.
	passing *Claim
	// arriving is true while a long answer comes that follows the known version.
	arriving bool
	// wake ends a rest.
	wake chan struct{}
}

func (follower *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		follower.mutex.Lock()
		next := follower.poller.Next(follower.group.Rank(), follower.clock())
		after := follower.poller.Version()
		follower.mutex.Unlock()
		switch next.Action {
		case poller.Idle:
			follower.rest(ctx, next.Wait)
		case poller.Read:
			reading, err := follower.store.Read(ctx, follower.table, "", follower.reading)
			follower.took(ctx, reading, err, true)
		case poller.Watch:
			reading, err := follower.store.Watch(ctx, follower.table, after, next.Wait, follower.announce)
			follower.took(ctx, reading, err, false)
		}
	}
}

func (follower *follower) rest(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-follower.wake:
	}
}

// announce tells the group that a long answer comes.
func (follower *follower) announce() {
	follower.mutex.Lock()
	follower.arriving = true
	follower.poller.RecordTransfer(follower.poller.Version())
	follower.mutex.Unlock()
	follower.group.Claim()
}

// reading takes note that a reading of the whole table takes long.
func (follower *follower) reading() {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.poller.RecordLongRead()
}

// took takes the end of a call in.
func (follower *follower) took(ctx context.Context, reading platform.Reading, err error, whole bool) {
	follower.mutex.Lock()
	follower.arriving = false
	follower.mutex.Unlock()
	switch {
	case ctx.Err() != nil:
		return
	case errors.Is(err, platform.ErrHistoryGone):
		follower.mutex.Lock()
		version := follower.poller.Version()
		follower.poller.Invalidate()
		follower.mutex.Unlock()
		follower.log.WithFields(logrus.Fields{"table": follower.table, "version": version}).Warn("store-history-gone")
		return
	case err != nil:
		follower.failed(err)
		return
	}
	follower.mutex.Lock()
	failures, away := follower.poller.Failures(), follower.poller.MayBeOutage()
	follower.mutex.Unlock()
	if !follower.apply(reading, whole, away) {
		follower.lag(reading)
		return
	}
	if failures > 0 {
		follower.log.WithFields(logrus.Fields{"table": follower.table, "failures": failures, "away-for-all": away}).Info("store-regained")
	}
	follower.group.Claim()
	if len(reading.Rows) > 0 && !follower.behind() {
		timer.Sleep(ctx, batchPause)
	}
}

// lag takes note of an answer that is older than what is known.
func (follower *follower) lag(reading platform.Reading) {
	follower.mutex.Lock()
	known := follower.poller.Version()
	follower.poller.RecordStaleAnswer(follower.clock())
	follower.mutex.Unlock()
	follower.log.WithFields(logrus.Fields{"table": follower.table, "version": reading.Version, "known": known}).Info("store-answer-older")
}

// apply takes an answer of the store in. It reports false for one that is older than
// what is known, from another VM for instance; it is not taken then.
func (follower *follower) apply(reading platform.Reading, whole, away bool) bool {
	follower.applying.Lock()
	defer follower.applying.Unlock()
	follower.mutex.Lock()
	before, stale := follower.poller.Version(), follower.poller.Stale(reading.Version)
	follower.mutex.Unlock()
	if stale {
		return false
	}
	rows := reading.Rows
	if !whole {
		reading.Rows = newer(rows, before)
	}
	follower.take(reading, whole, away)
	follower.mutex.Lock()
	follower.poller.RecordAnswer(reading.Version, newest(reading.Rows), reading.AsOf, whole)
	if len(reading.Rows) > 0 {
		follower.poller.RecordAnswerSize(reading.Bytes, whole)
	}
	follower.poller.ScheduleRecheck(follower.clock())
	follower.stored = max(follower.stored, reading.Stored)
	if follower.passes && !whole && len(rows) > 0 {
		follower.passing = &Claim{
			Table: follower.table, Change: reading.Version, Stored: reading.Stored, After: before, Rows: rows, Returned: away,
		}
	}
	asOf := follower.poller.AsOf()
	follower.mutex.Unlock()
	follower.fresh(asOf)
	return true
}

// learn takes the rows of another VM's claim in, if they follow what is known.
func (follower *follower) learn(claim Claim, asOf time.Duration) {
	follower.applying.Lock()
	defer follower.applying.Unlock()
	follower.mutex.Lock()
	follows, before := follower.poller.Contiguous(claim.After), follower.poller.Version()
	follower.mutex.Unlock()
	if !follows || claim.Change <= before {
		return
	}
	follower.take(platform.Reading{Rows: newer(claim.Rows, before), Version: claim.Change, AsOf: asOf}, false, claim.Returned)
	follower.mutex.Lock()
	follower.poller.RecordRelayed(claim.Change, asOf)
	follower.mutex.Unlock()
}

// newer returns the rows that changed after the version.
func newer(rows []platform.Row, version uint64) []platform.Row {
	var found []platform.Row
	for _, row := range rows {
		if row.Version > version {
			found = append(found, row)
		}
	}
	return found
}

// newest returns the version of the newest row, 0 if there is none.
func newest(rows []platform.Row) uint64 {
	var version uint64
	for _, row := range rows {
		version = max(version, row.Version)
	}
	return version
}

func (follower *follower) failed(err error) {
	rank := follower.group.Rank()
	follower.mutex.Lock()
	first := follower.poller.Failures() == 0
	follower.poller.RecordFailure(rank, follower.clock(), follower.random())
	follower.mutex.Unlock()
	if first {
		fields := logrus.Fields{"table": follower.table}
		var call *platform.CallError
		if errors.As(err, &call) {
			fields["waited"], fields["received-bytes"] = call.Waited.Round(time.Millisecond), call.Received
		}
		follower.log.WithError(err).WithFields(fields).Warn("store-lost")
		follower.group.Claim()
	}
}

// lost reports whether the last call failed.
func (follower *follower) lost() bool {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.poller.Failures() > 0
}

// behind reports whether there is a change that this VM doesn't know yet.
func (follower *follower) behind() bool {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.poller.Behind()
}

// claim returns what this VM knows by itself, if anything.
func (follower *follower) claim() (Claim, bool) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if passing := follower.passing; passing != nil {
		follower.passing = nil
		return *passing, true
	}
	change, known := follower.poller.LastChange()
	claim := Claim{Table: follower.table, Change: change, Stored: follower.stored}
	if follower.arriving {
		claim.Arriving, claim.After = true, follower.poller.Version()
	}
	return claim, known && follower.stored > 0
}

// hear takes the claim of another VM in.
func (follower *follower) hear(claim Claim) {
	asOf, ok := follower.store.Date(claim.Stored)
	if !ok {
		return
	}
	if len(claim.Rows) > 0 {
		follower.learn(claim, asOf)
	}
	follower.mutex.Lock()
	news := follower.poller.RecordClaim(claim.Change, asOf)
	if claim.Arriving && follower.poller.RecordTransfer(claim.After) {
		news = true
	}
	asOf = follower.poller.AsOf()
	follower.mutex.Unlock()
	follower.fresh(asOf)
	if news {
		select {
		case follower.wake <- struct{}{}:
		default: // it is woken already
		}
	}
}
