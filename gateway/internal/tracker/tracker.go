// Package tracker keeps a VM's configuration and targets at what the store
// says.
//
// The version of the configuration only rises, and one that can't be read
// leaves the last good one in force.
//
// # Usage
//
//	tracker := &tracker.Tracker{Store: store, Clock: clock, Log: log}
//	tracker.OnConfiguration = func(index *indexer.Index) { ... }
//	tracker.OnTargets = func(targets []placer.Target) { ... }
//	go tracker.Run(ctx)
//	age := clock() - tracker.AsOf()
package tracker

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
	"godwitramp.example/core/poller"
	"godwitramp.example/platform"
	"godwitramp.example/shell/timer"
)

// Tracker follows the store. Fields are set before Run.
type Tracker struct {
	Store Store
	Group Group
	// ConfigurationBound and TargetBound are how soon a VM has to know of
	// changes.
	ConfigurationBound time.Duration
	TargetBound        time.Duration
	// Clock is a steady clock that goes on while the VM is suspended.
	Clock func() time.Duration
	// Random returns a number from 0 to 1 and may be called from two goroutines at
	// once; that of math/rand/v2 unless set.
	Random func() float64
	// OnConfiguration is called with each new configuration.
	OnConfiguration func(index *indexer.Index)
	// OnTargets is called with all targets when one has changed.
	OnTargets func(targets []placer.Target)
	// OnComplete, if set, is called after an answer once both have been read.
	OnComplete func()
	Log        *logrus.Entry

	index atomic.Pointer[indexer.Index]
	// asOf is the time as of which the index is the newest, as nanoseconds.
	asOf       atomic.Int64
	hasTargets atomic.Bool
	// refused is true while the newest configuration is one that can't be used.
	refused atomic.Bool

	configuration *follower
	followers     []*follower

	mutex   sync.Mutex
	targets targets
}

// Open prepares the tracker. It comes before all other calls.
func (tracker *Tracker) Open() {
	tracker.targets = targets{log: tracker.Log}
	if tracker.Random == nil {
		tracker.Random = rand.Float64
	}
	// Each VM reads configurations by itself, so that one which the store turns
	// away finds out: it must not go on serving keys on what others say.
	tracker.configuration = tracker.follow(
		platform.ConfigurationTable, tracker.ConfigurationBound, tracker.takeConfiguration, tracker.freshConfiguration)
	targets := tracker.follow(platform.TargetTable, tracker.TargetBound, tracker.takeTargets, func(time.Duration) {})
	tracker.configuration.poller.LargeRows = true
	targets.passes = true
	tracker.followers = []*follower{tracker.configuration, targets}
}

func (tracker *Tracker) follow(
	table string, bound time.Duration, take func(platform.Reading, bool, bool), fresh func(time.Duration),
) *follower {
	return &follower{
		store: tracker.Store, group: tracker.Group, table: table, clock: tracker.Clock, random: tracker.Random, log: tracker.Log,
		take: take, fresh: fresh, wake: make(chan struct{}, 1), poller: poller.Poller{MaxStaleness: bound},
	}
}

// Claims returns what this VM knows of the store by itself.
func (tracker *Tracker) Claims() []Claim {
	var claims []Claim
	for _, follower := range tracker.followers {
		if claim, ok := follower.claim(); ok {
			claims = append(claims, claim)
		}
	}
	return claims
}

// Lost reports whether the store does not answer this VM.
func (tracker *Tracker) Lost() bool {
	for _, follower := range tracker.followers {
		if follower.lost() {
			return true
		}
	}
	return false
}

// Hear takes over a claim of another VM of the group.
func (tracker *Tracker) Hear(claim Claim) {
	for _, follower := range tracker.followers {
		if follower.table == claim.Table {
			follower.hear(claim)
		}
	}
}

// Run follows the store until the context ends.
func (tracker *Tracker) Run(ctx context.Context) error {
	var group sync.WaitGroup
	for _, follower := range tracker.followers {
		group.Go(func() { follower.run(ctx) })
	}
	group.Go(func() { tracker.dropLapsed(ctx) })
	group.Wait()
	return nil
}

// Index returns the configuration in force, nil if none is known.
func (tracker *Tracker) Index() *indexer.Index { return tracker.index.Load() }

// AsOf returns the time of Clock up to which Index is known to be the newest
// configuration. It is far in the past if nothing is known.
func (tracker *Tracker) AsOf() time.Duration {
	if tracker.index.Load() == nil {
		return -neverKnown
	}
	return time.Duration(tracker.asOf.Load())
}

const neverKnown = time.Hour

// Behind reports whether a newer configuration than Index is known to exist, or may
// be in what the VM is being sent.
func (tracker *Tracker) Behind() bool { return tracker.configuration.behind() }

// StoreUnreachable reports whether the store does not answer this VM about configurations.
func (tracker *Tracker) StoreUnreachable() bool { return tracker.configuration.lost() }

// Complete reports whether configuration and targets have been read.
func (tracker *Tracker) Complete() bool {
	return tracker.index.Load() != nil && tracker.hasTargets.Load()
}

func (tracker *Tracker) takeConfiguration(reading platform.Reading, _, _ bool) {
	for _, row := range reading.Rows {
		tracker.apply(row, reading)
	}
}

func (tracker *Tracker) complete() {
	if tracker.OnComplete != nil && tracker.Complete() {
		tracker.OnComplete()
	}
}

// freshConfiguration moves the date of the configuration. A newest one that
// can't be used leaves open whether keys were withdrawn, so that the date stays
// that of the last good one.
func (tracker *Tracker) freshConfiguration(asOf time.Duration) {
	if !tracker.refused.Load() {
		tracker.asOf.Store(int64(asOf))
		tracker.complete()
	}
}

// apply puts the configuration in a row in force, unless it can't be used or is older.
// Other rows say nothing about whether a refused one has been mended.
func (tracker *Tracker) apply(row platform.Row, reading platform.Reading) {
	configuration, found, err := platform.Configuration(row)
	if !found {
		return
	}
	var index *indexer.Index
	if err == nil {
		index, err = indexer.New(configuration)
	}
	if err != nil {
		tracker.refused.Store(true)
		tracker.Log.WithError(err).WithField("entry-version", row.Version).Error("configuration-refused")
		return
	}
	current := tracker.index.Load()
	if current != nil && index.Version < current.Version {
		tracker.Log.WithFields(logrus.Fields{
			"version": index.Version, "in-force": current.Version, "entry-version": row.Version,
		}).Warn("configuration-older")
		return
	}
	tracker.refused.Store(false)
	if current != nil && index.Version == current.Version {
		return
	}
	tracker.index.Store(index)
	tracker.Log.WithFields(logrus.Fields{
		"version": index.Version, "routes": len(index.Routes), "organisations": len(index.Organisations),
		"entry-version": row.Version, "bytes": reading.Bytes, "transfer": reading.Transfer.Round(time.Millisecond),
		"age": (tracker.Clock() - reading.AsOf).Round(time.Millisecond),
	}).Info("configuration-in-force")
	tracker.OnConfiguration(index)
}

func (tracker *Tracker) takeTargets(reading platform.Reading, whole, returned bool) {
	tracker.mutex.Lock()
	now := tracker.Clock()
	if returned {
		tracker.targets.returnedAt = now
	}
	changed := tracker.targets.take(reading.Rows, whole, now)
	all := tracker.targets.all()
	tracker.mutex.Unlock()
	if changed || !tracker.hasTargets.Load() {
		tracker.OnTargets(all)
		tracker.hasTargets.Store(true)
	}
	tracker.complete()
}

// lapseCheck is how often lapsed targets are looked through, a small part of
// the time that they are kept.
const lapseCheck = 250 * time.Millisecond

func (tracker *Tracker) dropLapsed(ctx context.Context) {
	for timer.Sleep(ctx, lapseCheck) {
		tracker.mutex.Lock()
		changed := tracker.targets.dropLapsed(tracker.Clock())
		all := tracker.targets.all()
		tracker.mutex.Unlock()
		if changed {
			tracker.OnTargets(all)
		}
	}
}
