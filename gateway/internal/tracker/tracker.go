// Package tracker keeps a VM's configuration, evacuated data centres and targets up to date with the
// platform's store: it polls one table for each, shares what it reads with the VM's
// group, and reports how old the configuration may be.
//
// The version of the configuration never falls, also if the store is restored from an older
// copy. One of the same version with other contents replaces it only after a restore. If the
// newest configuration can't be decoded or is invalid, the last good one stays in force. After a
// restore it counts as the newest only once other VMs have been asked, see verifier.Surveyor.
//
// # Usage
//
//	tracker := &tracker.Tracker{Store: store, Group: group, Clock: clock, Log: log}
//	tracker.OnConfiguration = func(index *indexer.Index) { ... }
//	tracker.OnTargets = func(targets []placer.Target) { ... }
//	tracker.OnEvacuation = func(dataCentres []string) { ... }
//	tracker.Open()
//	go tracker.Run(ctx)
//	age := clock() - tracker.AsOf()
package tracker

import (
	"context"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
	"godwitramp.example/core/poller"
	"godwitramp.example/core/verifier"
	"godwitramp.example/platform"
	"godwitramp.example/shell/timer"
)

// Tracker tracks the store's tables of configurations and targets. The fields must be
// set before Open. The methods are safe for concurrent use after Open.
type Tracker struct {
	Store Store
	Group Group
	// MaxConfigurationStaleness and MaxTargetStaleness are the times within which a
	// change must reach the VM.
	MaxConfigurationStaleness time.Duration
	MaxTargetStaleness        time.Duration
	// Clock is a monotonic clock that keeps running while the VM is suspended.
	Clock func() time.Duration
	// Random returns a number from 0 to 1 and must be safe for concurrent use. The
	// default is rand.Float64.
	Random func() float64
	// OnConfiguration is called with each new configuration.
	OnConfiguration func(index *indexer.Index)
	// OnTargets is called with all targets when any of them has changed. Calls don't overlap,
	// and each has newer targets than the one before. It must not call the tracker.
	OnTargets func(targets []placer.Target)
	// Regions maps each data centre of the fleet to its region. Evacuations and home regions are checked against
	// them.
	Regions map[string]string
	// OnEvacuation, if set, is called with all evacuated data centres, in order, when they have changed. Calls don't
	// overlap, and one comes before Complete becomes true if a data centre is evacuated then. It must not call the tracker.
	OnEvacuation func(dataCentres []string)
	// InFlight, if set, returns the number of requests in flight at the targets of a data centre, for logs.
	InFlight func(dataCentre string) int
	// OnComplete, if set, is called when Complete becomes true, and again after later
	// answers of the store and claims.
	OnComplete func()
	Log        *logrus.Entry

	index atomic.Pointer[indexer.Index]
	// asOf is the time up to which index is known to be the newest, in nanoseconds of
	// Clock.
	asOf       atomic.Int64
	hasTargets atomic.Bool
	// indexEra is the era of the store in which index was read first. It is set before index.
	indexEra atomic.Uint64
	// lastEra is the era in which it was read last, while a reading is applied.
	lastEra uint64
	// withholder decides whether index is older than what the store had confirmed before it
	// was restored. withheldAsOf is the limit of AsOf while withheld is true.
	withholderMutex sync.Mutex
	withholder      verifier.Withholder
	withheld        atomic.Bool
	withheldAsOf    atomic.Int64
	// surveyor decides whether readings of a restored store may count as up to date. They don't
	// while unsettled is true, which is changed with surveyMutex held. surveyBegun has a value
	// once a survey has begun.
	surveyMutex sync.Mutex
	surveyor    verifier.Surveyor
	unsettled   atomic.Bool
	surveyBegun chan struct{}
	// refused is true while the newest configuration is invalid.
	refused atomic.Bool

	evacuationMutex sync.Mutex
	evacuations     evacuations

	configuration *follower
	followers     []*follower

	mutex   sync.Mutex
	targets targets

	contactMutex sync.Mutex
	// contactAt is when the VM last heard another VM or the store, and contactSince when the present contact began:
	// from the start, or from the end of the last isolation.
	contactAt, contactSince time.Duration
}

// Open prepares the tracker. It must be called before all other methods.
func (tracker *Tracker) Open() {
	tracker.asOf.Store(int64(-unknownAge))
	tracker.surveyBegun = make(chan struct{}, 1)
	tracker.targets = targets{log: tracker.Log}
	tracker.evacuations = evacuations{log: tracker.Log, regions: tracker.Regions, inFlight: tracker.InFlight}
	if tracker.Random == nil {
		tracker.Random = rand.Float64
	}
	// Configurations are not relayed: each VM reads them from the store itself. A VM that
	// the store rejects must notice a change that it can't read, and must not go on
	// accepting keys on the word of its peers.
	tracker.configuration = tracker.newFollower(
		platform.ConfigurationTable, tracker.MaxConfigurationStaleness, tracker.handleConfiguration, tracker.advanceAsOf)
	targets := tracker.newFollower(platform.TargetTable, tracker.MaxTargetStaleness, tracker.handleTargets, func(time.Duration) {})
	tracker.configuration.poller.LargeRows = true
	targets.relays = true
	targets.onServed = tracker.handleServed
	tracker.configuration.onAnswer = func(at time.Duration) {
		tracker.RecordContact()
		targets.recordBack(at)
	}
	tracker.followers = []*follower{tracker.configuration, targets}
}

func (tracker *Tracker) newFollower(
	table string, maxStaleness time.Duration, onReading func(platform.Reading, bool, outage), onFresh func(time.Duration),
) *follower {
	return &follower{
		store: tracker.Store, group: tracker.Group, table: table, clock: tracker.Clock, random: tracker.Random, log: tracker.Log,
		onReading: onReading, onFresh: onFresh, onAnswer: func(time.Duration) { tracker.RecordContact() }, onServed: func() {}, wake: make(chan struct{}, 1), poller: poller.Poller{MaxStaleness: maxStaleness},
	}
}

// Claims returns what this VM has learnt from the store itself, to be sent to the
// group. Rows are returned only once.
func (tracker *Tracker) Claims() []Claim {
	var claims []Claim
	for _, follower := range tracker.followers {
		claim, ok := follower.claim()
		if follower == tracker.configuration && claim.Era > 0 {
			claim, ok = tracker.addInForce(claim, ok)
		}
		if ok {
			claims = append(claims, claim)
		}
	}
	return claims
}

// addInForce adds what is in force to a claim about the configuration, and reports whether there is a
// claim then: without a reading of the table, only what is in force is known.
func (tracker *Tracker) addInForce(claim Claim, read bool) (Claim, bool) {
	settled := tracker.settledIn(claim.Era) // before the version: one that was lost may be told meanwhile
	inForce, known := tracker.InForceClaim()
	switch {
	case !known:
		return claim, read
	case !read:
		claim = Claim{Table: inForce.Table}
	}
	claim.InForce, claim.Settled = inForce.InForce, settled
	return claim, true
}

// AnyTableUnreachable reports whether the last call for any of the tables failed.
func (tracker *Tracker) AnyTableUnreachable() bool {
	for _, follower := range tracker.followers {
		if follower.unreachable() {
			return true
		}
	}
	return false
}

// RecordContact records that the VM hears another VM or the store.
func (tracker *Tracker) RecordContact() {
	now := tracker.Clock()
	tracker.contactMutex.Lock()
	defer tracker.contactMutex.Unlock()
	if now-tracker.contactAt > isolationTime {
		tracker.contactSince = now
	}
	tracker.contactAt = max(tracker.contactAt, now)
}

// keepUntil returns the time until which entries that an answer lacks are kept after a possible outage. If the VM
// was isolated until shortly before the outage ended, the time counts from the end of the isolation. If it heard other
// VMs for longer without the store, they weren't isolated either: the outage counts.
func (tracker *Tracker) keepUntil(outage outage, now time.Duration) time.Duration {
	if outage.restored {
		return now + lapseGrace
	}
	tracker.contactMutex.Lock()
	defer tracker.contactMutex.Unlock()
	if since := tracker.contactSince; since > outage.endedAt-lapseGrace && since < outage.endedAt {
		return since + lapseGrace
	}
	return outage.endedAt + lapseGrace
}

// HandleClaim processes a claim of another VM of the group, or what a VM of another data centre has
// in force.
func (tracker *Tracker) HandleClaim(claim Claim) {
	tracker.RecordContact()
	tracker.handleInForce(claim)
	for _, follower := range tracker.followers {
		if follower.table == claim.Table {
			follower.handleClaim(claim)
		}
	}
}

// Run tracks the store until the context ends. It always returns nil.
func (tracker *Tracker) Run(ctx context.Context) error {
	var group sync.WaitGroup
	for _, follower := range tracker.followers {
		group.Go(func() { follower.run(ctx) })
	}
	group.Go(func() { tracker.dropLapsed(ctx) })
	group.Go(func() { tracker.runSurveys(ctx) })
	group.Wait()
	return nil
}

// Index returns the configuration in force, nil if none has been read yet.
func (tracker *Tracker) Index() *indexer.Index { return tracker.index.Load() }

// AsOf returns the time of Clock up to which Index is known to be the newest
// configuration. It is an hour before the zero of Clock if none has been read yet, or none
// but from an older copy of the store.
func (tracker *Tracker) AsOf() time.Duration {
	if tracker.index.Load() == nil {
		return -unknownAge
	}
	asOf := tracker.asOf.Load()
	if tracker.withheld.Load() {
		asOf = min(asOf, tracker.withheldAsOf.Load())
	}
	return time.Duration(asOf)
}

const unknownAge = time.Hour

// Behind reports whether a configuration newer than Index is known to exist, or may
// be in the answer that the VM is receiving.
func (tracker *Tracker) Behind() bool {
	return tracker.withheld.Load() || tracker.configuration.behind()
}

// StoreUnreachable reports whether this VM's last call for the configuration failed.
func (tracker *Tracker) StoreUnreachable() bool { return tracker.configuration.unreachable() }

// EvacuationsAsOf returns the time of Clock up to which all evacuations are known. Unlike AsOf it advances also while the
// newest configuration is invalid or is withheld.
func (tracker *Tracker) EvacuationsAsOf() time.Duration { return tracker.configuration.asOf() }

// EvacuationsBehind reports whether a change of the table with the evacuations is known to exist, or may exist, that this
// VM doesn't have yet.
func (tracker *Tracker) EvacuationsBehind() bool { return tracker.configuration.behind() }

// Complete reports whether both the configuration and the targets have been read.
func (tracker *Tracker) Complete() bool {
	return tracker.index.Load() != nil && tracker.hasTargets.Load()
}

func (tracker *Tracker) handleConfiguration(reading platform.Reading, full bool, _ outage) {
	asOf := tracker.AsOf()
	begun := tracker.recordSurveyReading(reading)
	// First the evacuations: with the configuration, the VM may begin to serve.
	tracker.updateEvacuations(func(now time.Duration) bool { return tracker.evacuations.apply(reading, full, now) })
	var written uint64
	for _, row := range reading.Rows {
		if tracker.applyConfiguration(row, reading) {
			written = row.Version
		}
	}
	index := tracker.index.Load()
	if index == nil {
		return
	}
	if begun {
		tracker.Log.WithFields(logrus.Fields{
			"version": index.Version, "era": reading.Era, "age": (tracker.Clock() - asOf).Round(time.Millisecond),
		}).Info("configuration-read-anew")
	}
	tracker.updateWithheld(func(withholder *verifier.Withholder) { withholder.RecordReading(index.Version, reading.Era, asOf) })
	if written > 0 {
		tracker.recordWrite(written)
	}
}

// updateEvacuations changes the evacuations and calls OnEvacuation if the evacuated data centres have changed.
func (tracker *Tracker) updateEvacuations(change func(now time.Duration) bool) {
	tracker.evacuationMutex.Lock()
	defer tracker.evacuationMutex.Unlock()
	if change(tracker.Clock()) && tracker.OnEvacuation != nil {
		tracker.OnEvacuation(tracker.evacuations.all())
	}
}

// updateWithheld changes the withholder, and logs when it begins to withhold the configuration
// or requires a newer one.
func (tracker *Tracker) updateWithheld(change func(*verifier.Withholder)) {
	tracker.withholderMutex.Lock()
	defer tracker.withholderMutex.Unlock()
	before, asOf := tracker.withholder.Required(), tracker.AsOf()
	change(&tracker.withholder)
	required := tracker.withholder.Required()
	tracker.withheldAsOf.Store(int64(tracker.withholder.AsOf()))
	tracker.withheld.Store(required > 0)
	if required > before {
		tracker.Log.WithFields(logrus.Fields{
			"version": tracker.index.Load().Version, "required": required, "age": (tracker.Clock() - asOf).Round(time.Millisecond),
		}).Warn("configuration-withheld")
	}
}

func (tracker *Tracker) notifyComplete() {
	if tracker.OnComplete != nil && tracker.Complete() {
		tracker.OnComplete()
	}
}

// advanceAsOf records that the configuration is up to date as of the given time. While
// the newest configuration is invalid or was lost by the store, or may have been, the time
// doesn't advance, because keys may have been withdrawn in it.
func (tracker *Tracker) advanceAsOf(asOf time.Duration) {
	if tracker.unsettled.Load() {
		tracker.notifyComplete()
		return
	}
	tracker.raiseAsOf(asOf)
}

// raiseAsOf does the same by what other VMs know.
func (tracker *Tracker) raiseAsOf(asOf time.Duration) {
	if tracker.refused.Load() || tracker.withheld.Load() {
		return
	}
	for known := tracker.asOf.Load(); int64(asOf) > known; known = tracker.asOf.Load() {
		if tracker.asOf.CompareAndSwap(known, int64(asOf)) {
			break // another goroutine may have learned of a later time meanwhile
		}
	}
	tracker.notifyComplete()
}

// applyConfiguration puts the configuration in a row in force, unless it is invalid or
// older than the present one, and reports whether it is in force then. Other rows don't clear
// refused.
func (tracker *Tracker) applyConfiguration(row platform.Row, reading platform.Reading) bool {
	configuration, found, err := platform.Configuration(row)
	if !found {
		return false
	}
	var index *indexer.Index
	if err == nil {
		index, err = indexer.New(configuration)
	}
	if err == nil {
		err = index.CheckHomeRegions(slices.Compact(slices.Sorted(maps.Values(tracker.Regions))))
	}
	if err != nil {
		tracker.refused.Store(true)
		tracker.Log.WithError(err).WithField("entry-version", row.Version).Error("configuration-invalid")
		return false
	}
	current := tracker.index.Load()
	if current != nil && index.Version < current.Version {
		tracker.Log.WithFields(logrus.Fields{
			"version": index.Version, "in-force": current.Version, "entry-version": row.Version,
		}).Warn("configuration-older")
		return false
	}
	tracker.refused.Store(false)
	restored := reading.Era > tracker.lastEra
	tracker.lastEra = reading.Era
	if current != nil && index.Version == current.Version {
		// After a restore the operator may have given the version out again.
		if !restored || reflect.DeepEqual(index.Configuration, current.Configuration) {
			return true
		}
		tracker.Log.WithFields(logrus.Fields{"version": index.Version, "entry-version": row.Version}).Warn("configuration-replaced")
	}
	tracker.indexEra.Store(reading.Era)
	tracker.index.Store(index)
	tracker.Log.WithFields(logrus.Fields{
		"version": index.Version, "routes": len(index.Routes), "organisations": len(index.Organisations),
		"entry-version": row.Version, "bytes": reading.Bytes, "transfer": reading.Transfer.Round(time.Millisecond),
		"age": (tracker.Clock() - reading.AsOf).Round(time.Millisecond),
	}).Info("configuration-in-force")
	tracker.OnConfiguration(index)
	return true
}

func (tracker *Tracker) handleTargets(reading platform.Reading, full bool, outage outage) {
	tracker.mutex.Lock()
	now := tracker.Clock()
	if outage.possible {
		tracker.targets.readAt, tracker.targets.keepUntil = now, tracker.keepUntil(outage, now)
	}
	changed := tracker.targets.apply(reading.Rows, full, reading.Era, now)
	if changed || !tracker.hasTargets.Load() {
		tracker.OnTargets(tracker.targets.all())
		tracker.hasTargets.Store(true)
	}
	tracker.mutex.Unlock()
	tracker.notifyComplete()
}

// handleServed drops the targets whose entries were missing after a suspected outage throughout which the store answered others.
func (tracker *Tracker) handleServed() {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.Log.Info("store-outage-denied")
	if tracker.targets.dropAllLapsed(tracker.Clock()) {
		tracker.OnTargets(tracker.targets.all())
	}
}

// lapseCheckInterval is how often lapsed targets are checked. It is short compared to
// lapseGrace.
const lapseCheckInterval = 50 * time.Millisecond

func (tracker *Tracker) dropLapsed(ctx context.Context) {
	for timer.Sleep(ctx, lapseCheckInterval) {
		tracker.updateEvacuations(tracker.evacuations.endMissing)
		tracker.mutex.Lock()
		now := tracker.Clock()
		tracker.targets.forgetGone(now)
		released := tracker.targets.releaseHeld(now)
		if tracker.targets.dropLapsed(now) || released {
			tracker.OnTargets(tracker.targets.all())
		}
		tracker.mutex.Unlock()
	}
}
