// Package steward holds a VM's part of the fleet's ejections: it claims
// permits in the table service, decides with the evidence that arrives,
// exchanges what it knows of ejections and leaving targets with a few peers,
// and tells the router what to obey.
//
// The table service is needed only to claim and renew permits. Their leases
// last for hours, so ejection goes on while the store is away.
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
	// VMs that share the permits of a group.
	holdersPerGroup = 3
	stopTimeout     = 5 * time.Second
)

var (
	ejections = metrics.GetOrCreateCounter("godwitramp_ejections_total")
	returns   = metrics.GetOrCreateCounter("godwitramp_ejections_ended_total")
	leaves    = metrics.GetOrCreateCounter("godwitramp_targets_leaving_total")
)

// Caller calls other VMs.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Tables gives the configuration in force.
type Tables interface {
	// Table returns the configuration, or nil before the first one.
	Table() *configurator.Table
}

// Clock tells the time.
type Clock interface {
	// Reading returns the instant on both clocks.
	Reading() timekeeper.Reading
	// Now returns the time that the router is asked with.
	Now() time.Duration
}

// Steward is safe for concurrent use once Run has been called. Fields are set
// before Run.
type Steward struct {
	Platform connector.Platform
	Members  watcher.Members
	Caller   Caller
	Tables   Tables
	Router   *router.Router
	Clock    Clock
	// Boot names the boot of this VM and the address that the process listens
	// on, so that a restart proves that its predecessor has ended.
	Boot string
	Log  *logrus.Entry

	mutex  sync.Mutex
	view   ejector.View
	table  *configurator.Table
	claims map[ejector.PermitID]*ejector.Claimer
	// extra are the permits held that other VMs should hold, since when.
	extra map[ejector.PermitID]timekeeper.Reading
	// unused are the rows of permits to be given back, with their versions.
	unused   map[string]uint64
	stewards map[ejector.Group]*ejector.Steward
	// obeyed are the groups of which the router was told ejections.
	obeyed map[ejector.Group]bool
	sick   map[configurator.Path]timekeeper.Reading
	// wanted are the addresses of peers that have news.
	wanted []string
	pulled map[string]peerRevision
	// news is true while peers have to be told of something.
	news bool
	wake chan struct{}
	vms  []string
}

// Run works until the context ends, then gives the permits back.
func (steward *Steward) Run(ctx context.Context) error {
	steward.prepare()
	var group sync.WaitGroup
	group.Go(func() { steward.claim(ctx) })
	group.Go(func() { steward.exchange(ctx) })
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
	steward.extra = make(map[ejector.PermitID]timekeeper.Reading)
	steward.unused = make(map[string]uint64)
	steward.claims = make(map[ejector.PermitID]*ejector.Claimer)
	steward.stewards = make(map[ejector.Group]*ejector.Steward)
	steward.obeyed = make(map[ejector.Group]bool)
	steward.sick = make(map[configurator.Path]timekeeper.Reading)
	steward.pulled = make(map[string]peerRevision)
	steward.wake = make(chan struct{}, 1)
}

// tick takes over new configurations and members, and does what is due.
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
		steward.follow(table, vms, now)
	}
	steward.handOver(now)
	steward.view.ExpireLeaves(now)
	for target, since := range steward.sick {
		if now.MaxElapsed(since) > sickTime {
			delete(steward.sick, target)
		}
	}
	for group := range steward.stewards {
		steward.decide(group, now)
	}
	steward.obeyAll(now)
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

// decide lets a group's permits act and passes on what is new.
func (steward *Steward) decide(group ejector.Group, now timekeeper.Reading) {
	held := steward.stewards[group]
	service := steward.table.Service(group.Service)
	condition := ejector.GroupState{
		View: &steward.view, Leaving: steward.view.Leaving(service, group.Region, now), Unhealthy: steward.sickTargets(),
	}
	for _, statement := range held.Decide(condition, now) {
		steward.learn(statement, now)
	}
}

// learn takes over a statement of this VM.
func (steward *Steward) learn(statement ejector.Statement, now timekeeper.Reading) {
	if !steward.take(statement, now, now) {
		return
	}
	steward.Log.WithFields(logrus.Fields{
		"service": statement.Permit.Group.Service, "region": statement.Permit.Group.Region,
		"permit": statement.Permit.Index, "target": statement.Target, "strikes": statement.Strikes,
	}).Info("ejection-changed")
	if statement.Target != "" {
		ejections.Inc()
	} else {
		returns.Inc()
	}
	steward.notify()
}

// take learns a statement and reports whether it changes what this VM obeys.
func (steward *Steward) take(statement ejector.Statement, asked, now timekeeper.Reading) bool {
	group := statement.Permit.Group
	before := steward.obeyedTargets(group, now)
	if !steward.view.Apply(statement, asked) {
		return false
	}
	steward.obey(group, now)
	return !slices.Equal(before, steward.obeyedTargets(group, now))
}

// Holders returns the addresses of the VMs that hold permits of the group.
func (steward *Steward) Holders(group ejector.Group) []string {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	return steward.view.Holders(group)
}

// Ejected returns the targets of the group that this VM leaves out because a
// holder of a permit says so.
func (steward *Steward) Ejected(group ejector.Group) []configurator.Path {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	return steward.obeyedTargets(group, steward.Clock.Reading())
}

// Leave takes note that a target says that it leaves, and tells the fleet.
func (steward *Steward) Leave(target configurator.Path, region string) {
	steward.prepare()
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	now := steward.Clock.Reading()
	leave := ejector.Leave{Target: target, Region: region, Left: router.LeavingTTL}
	if steward.view.ApplyLeave(leave, now, now) {
		steward.Log.WithField("target", target).Info("target-leaves")
		leaves.Inc()
		steward.obeyLeave(leave)
		steward.notify()
	}
}

const sickTime = 5 * time.Second

// Sick takes note that the health endpoint of a target fails.
func (steward *Steward) Sick(target configurator.Path) {
	steward.prepare()
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	steward.sick[target] = steward.Clock.Reading()
}

func (steward *Steward) sickTargets() []configurator.Path {
	var targets []configurator.Path
	for target := range steward.sick {
		targets = append(targets, target)
	}
	return targets
}
