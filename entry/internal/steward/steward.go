// Package steward runs a VM's part in the ejection of targets across the fleet.
// It claims ejection permits in the table service, decides on ejections from
// the evidence that other VMs report, exchanges ejections and leaving targets
// with a few peers, and applies the active ones to the router.
//
// The table service is needed only to claim and renew permits. Their leases
// last for hours, so ejection continues while the store is unavailable.
//
// # Usage
//
//	steward := &steward.Steward{Platform: platform, Members: members, Caller: caller, Tables: syncer, Router: router, Clock: clock, Log: log}
//	rpcServer.RegisterName("Ejection", steward.Service())
//	go steward.Run(ctx)
package steward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/ejector"
	"godwitramp.example/core/router"
	"godwitramp.example/core/timekeeper"
	"godwitramp.example/core/watcher"
	"godwitramp.example/shell/connector"
)

const (
	tickPeriod  = 250 * time.Millisecond
	callTimeout = time.Second
	// holdersPerGroup is the number of VMs that share the permits of a group.
	holdersPerGroup = 3
	stopTimeout     = 5 * time.Second
)

var (
	ejections      = metrics.GetOrCreateCounter("godwitramp_ejections_total")
	ejectionsEnded = metrics.GetOrCreateCounter("godwitramp_ejections_ended_total")
	targetsLeaving = metrics.GetOrCreateCounter("godwitramp_targets_leaving_total")
)

// Caller calls other VMs.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Tables provides the configuration in force.
type Tables interface {
	// Table returns the configuration, or nil before the first one.
	Table() *configurator.Table
}

// Clock reads the clocks of the process.
type Clock interface {
	// Reading returns the current time on both clocks.
	Reading() timekeeper.Reading
	// Now returns the current time on the router's clock.
	Now() time.Duration
}

// Steward is safe for concurrent use once Run has been called. Its exported
// fields are set before Run.
type Steward struct {
	Platform connector.Platform
	Members  watcher.Members
	Caller   Caller
	Tables   Tables
	Router   *router.Router
	Clock    Clock
	// Boot identifies the boot of this VM and the address that the process
	// listens on, which lets a restarted process prove that its predecessor has
	// ended.
	Boot string
	Log  *logrus.Entry

	mutex  sync.Mutex
	view   ejector.View
	table  *configurator.Table
	claims map[ejector.PermitID]*ejector.Claimer
	// misplacedSince has the permits that this VM holds but other VMs should
	// hold, with the time at which it detected that.
	misplacedSince map[ejector.PermitID]timekeeper.Reading
	// unreleased has the rows of permits to be released, with their versions.
	unreleased map[string]uint64
	stewards   map[ejector.Group]*ejector.Steward
	// ejecting has the groups with ejections in the router.
	ejecting  map[ejector.Group]bool
	unhealthy map[configurator.Path]timekeeper.Reading
	// pullQueue has the addresses of peers that announced changes.
	pullQueue     []string
	seenRevisions map[string]seenRevision
	// noticePending is true while peers have to be notified of changes.
	noticePending bool
	wake          chan struct{}
	vms           []string
}

// Run claims permits and exchanges ejections until the context ends, then
// releases the permits.
func (steward *Steward) Run(ctx context.Context) error {
	steward.prepare()
	var group sync.WaitGroup
	group.Go(func() { steward.claimLoop(ctx) })
	group.Go(func() { steward.exchangeLoop(ctx) })
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		steward.tick()
		select {
		case <-ctx.Done():
			group.Wait()
			steward.stop(context.WithoutCancel(ctx))
			return nil
		case <-ticker.C:
		}
	}
}

func (steward *Steward) prepare() {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	if steward.claims != nil {
		return
	}
	steward.misplacedSince = make(map[ejector.PermitID]timekeeper.Reading)
	steward.unreleased = make(map[string]uint64)
	steward.claims = make(map[ejector.PermitID]*ejector.Claimer)
	steward.stewards = make(map[ejector.Group]*ejector.Steward)
	steward.ejecting = make(map[ejector.Group]bool)
	steward.unhealthy = make(map[configurator.Path]timekeeper.Reading)
	steward.seenRevisions = make(map[string]seenRevision)
	steward.wake = make(chan struct{}, 1)
}

// tick applies new configurations and members, expires leases, and updates the
// decisions and the router.
func (steward *Steward) tick() {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	now := steward.Clock.Reading()
	table := steward.Tables.Table()
	if table == nil {
		return
	}
	vms := steward.regionVMs()
	if table != steward.table || !slices.Equal(vms, steward.vms) {
		steward.configure(table, vms, now)
	}
	steward.handOver(now)
	steward.view.ExpireLeaves(now)
	for target, since := range steward.unhealthy {
		if now.MaxElapsed(since) > unhealthyTTL {
			delete(steward.unhealthy, target)
		}
	}
	for group := range steward.stewards {
		steward.decide(group, now)
	}
	steward.applyAllEjections(now)
}

// regionVMs returns the names of the VMs of this region, sorted.
func (steward *Steward) regionVMs() []string {
	self := steward.Members.Self()
	names := []string{self.Name}
	for _, peer := range steward.Members.Live() {
		if peer.Region == self.Region {
			names = append(names, peer.Name)
		}
	}
	slices.Sort(names)
	return names
}

// decide updates the ejections under a group's permits and publishes changes.
func (steward *Steward) decide(group ejector.Group, now timekeeper.Reading) {
	groupSteward := steward.stewards[group]
	service := steward.table.Service(group.Service)
	state := ejector.GroupState{
		View: &steward.view, Leaving: steward.view.Leaving(service, group.Region, now), Unhealthy: steward.unhealthyTargets(),
	}
	for _, statement := range groupSteward.Decide(state, now) {
		steward.publish(statement, now)
	}
}

// publish applies a statement of this VM and notifies peers of it.
func (steward *Steward) publish(statement ejector.Statement, now timekeeper.Reading) {
	if !steward.applyStatement(statement, now, now) {
		return
	}
	steward.Log.WithFields(logrus.Fields{
		"service": statement.Permit.Group.Service, "region": statement.Permit.Group.Region,
		"permit": statement.Permit.Index, "target": statement.Target, "strikes": statement.Strikes,
	}).Info("ejection-changed")
	if statement.Target != "" {
		ejections.Inc()
	} else {
		ejectionsEnded.Inc()
	}
	steward.scheduleNotice()
}

// applyStatement applies a statement and reports whether the active ejections
// changed.
func (steward *Steward) applyStatement(statement ejector.Statement, requestedAt, now timekeeper.Reading) bool {
	group := statement.Permit.Group
	before := steward.ejectedTargets(group, now)
	if !steward.view.Apply(statement, requestedAt) {
		return false
	}
	steward.applyEjections(group, now)
	return !slices.Equal(before, steward.ejectedTargets(group, now))
}

// Holders returns the addresses of the VMs that hold permits of the group.
func (steward *Steward) Holders(group ejector.Group) []string {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	return steward.view.Holders(group)
}

// Ejected returns the targets of the group that this VM excludes because the
// holder of a permit has ejected them.
func (steward *Steward) Ejected(group ejector.Group) []configurator.Path {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	return steward.ejectedTargets(group, steward.Clock.Reading())
}

// ReportLeaving records that a target has announced that it is leaving, and
// notifies peers.
func (steward *Steward) ReportLeaving(target configurator.Path, region string) {
	steward.prepare()
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	now := steward.Clock.Reading()
	leave := ejector.Leave{Target: target, Region: region, Left: router.LeavingTTL}
	if steward.view.ApplyLeave(leave, now, now) {
		steward.Log.WithField("target", target).Info("target-leaving")
		targetsLeaving.Inc()
		steward.applyLeave(leave)
		steward.scheduleNotice()
	}
}

// unhealthyTTL is how long a failed probe of a target counts.
const unhealthyTTL = 5 * time.Second

// ReportUnhealthy records that a probe of the target has failed.
func (steward *Steward) ReportUnhealthy(target configurator.Path) {
	steward.prepare()
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	steward.unhealthy[target] = steward.Clock.Reading()
}

func (steward *Steward) unhealthyTargets() []configurator.Path {
	var targets []configurator.Path
	for target := range steward.unhealthy {
		targets = append(targets, target)
	}
	return targets
}
