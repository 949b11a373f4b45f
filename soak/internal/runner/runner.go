// Package runner runs the VMs of a fleet as processes on loopback with a simulated
// store, targets, balancer and callers. It injects the faults of a plan, records what
// callers and targets observe, and has the record audited.
//
// # Usage
//
//	runner := &runner.Runner{Program: "build/bin/gateway", Directory: logs, Plan: plan}
//	result, err := runner.Run(ctx)
package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"godwitramp.example/platform"
	"godwitramp.example/shell/timer"
	"godwitramp.example/soak/internal/auditor"
	"godwitramp.example/soak/internal/planner"
)

// Bounds of the sample fleet. Propagation, leaving, withdrawal and stopGrace are
// written into the settings of its VMs.
const (
	propagation = 2 * time.Second
	leaving     = 2 * time.Second
	withdrawal  = 5 * time.Second
	stopGrace   = 6 * time.Second
	evacuation  = 5 * time.Second
	stretch     = 5 * time.Second
	settleTime  = 3 * time.Second
	// recoveryTimeout is the longest time after the last fault until requests must be
	// served again.
	recoveryTimeout = 15 * time.Second
	// minServedShare is the share of requests that must be served by then.
	minServedShare = 0.25
)

const (
	// readyTimeout keeps a fleet that does not start from blocking the soak.
	readyTimeout = time.Minute
	// pollPeriod is the time between checks of readiness at the start.
	pollPeriod = 20 * time.Millisecond
	// stopSlack is how much longer than its grace period a planned stop may last,
	// since the host may be busy.
	stopSlack = time.Second
	// postRecoveryTime is how long traffic continues undisturbed after the fleet has
	// recovered.
	postRecoveryTime = settleTime
	// stopOverlap is how long after the first half of the VMs the others are stopped.
	stopOverlap = 2 * time.Second
)

// Runner runs one soak. Exported fields are set before Run.
type Runner struct {
	// Program is the path of the executable of a VM.
	Program string
	// Former, if set, is the executable that a VM runs until it starts again.
	Former string
	// Directory is where settings and logs are written.
	Directory string
	Plan      planner.Plan
	// CallersPerVM is the number of callers for each VM.
	CallersPerVM int

	store         storeHost
	network       network
	vms           []*vm
	endpoints     []*endpoint
	configuration configuration
	flood         toggle
	giveUp        toggle

	mutex        sync.Mutex
	record       auditor.Record
	disturbances map[*auditor.Disturbance]bool // those that have not ended
	violations   []auditor.Violation
}

// Result is the outcome of a soak.
type Result struct {
	auditor.Report
	Calls    []auditor.Call
	Arrivals int
	Faults   map[planner.Kind]int
}

// toggle switches a behaviour of callers. It counts the active faults that need the
// behaviour, and is on while there is at least one.
type toggle struct{ count atomic.Int64 }

// hold keeps the toggle on for the duration.
func (toggle *toggle) hold(ctx context.Context, duration time.Duration) {
	toggle.count.Add(1)
	defer toggle.count.Add(-1)
	timer.Sleep(ctx, duration)
}

func (toggle *toggle) on() bool { return toggle.count.Load() > 0 }

// Run starts the fleet, injects the faults of the plan, and audits the record.
func (runner *Runner) Run(ctx context.Context) (result Result, err error) {
	runner.disturbances = make(map[*auditor.Disturbance]bool)
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	if err := runner.open(ctx, &group); err != nil {
		return Result{}, err
	}
	defer runner.killAll()
	if err := runner.awaitReady(ctx); err != nil {
		return Result{}, err
	}
	if runner.Plan.Restores() {
		group.Go(func() { runner.store.takeCopies(ctx) })
	}
	callerCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var callers sync.WaitGroup
	for i := range runner.CallersPerVM * len(runner.vms) {
		random := rand.New(rand.NewPCG(runner.Plan.Seed, uint64(i)+1))
		callers.Go(func() { (&caller{runner: runner, index: i, random: random}).run(callerCtx) })
	}
	faults := runner.runFaults(ctx)
	runner.awaitRecovery(ctx)
	runner.stopAll(ctx)
	stopCallers()
	callers.Wait()
	if ctx.Err() != nil {
		return Result{}, fmt.Errorf("soak interrupted: %w", context.Cause(ctx))
	}
	result = runner.audit()
	result.Faults = faults
	return result, nil
}

// open starts the store, the targets and the VMs, in this order.
func (runner *Runner) open(ctx context.Context, group *sync.WaitGroup) error {
	listener, err := runner.network.open(runner.Plan.Seed)
	if err != nil {
		return err
	}
	runner.store.serve(ctx, group, listener)
	runner.configuration.open(runner)
	for i := range runner.Plan.Targets {
		endpoint := &endpoint{runner: runner, index: i}
		if err := endpoint.open(ctx, group); err != nil {
			return err
		}
		runner.endpoints = append(runner.endpoints, endpoint)
	}
	for i := range runner.Plan.VMs {
		vm := &vm{runner: runner, index: i}
		runner.vms = append(runner.vms, vm)
		if err := vm.open(ctx, group); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until every VM is ready.
func (runner *Runner) awaitReady(ctx context.Context) error {
	end := time.Now().Add(readyTimeout)
	for _, vm := range runner.vms {
		for !vm.ready.Load() {
			if ctx.Err() != nil || time.Now().After(end) {
				return fmt.Errorf("%s did not become ready", vm.name)
			}
			time.Sleep(pollPeriod)
		}
	}
	return nil
}

// runFaults injects the faults at their times and waits until all have ended. It
// returns how many of each kind it injected.
func (runner *Runner) runFaults(ctx context.Context) map[planner.Kind]int {
	start := time.Now()
	injected := make(map[planner.Kind]int)
	var group sync.WaitGroup
	defer group.Wait()
	for _, fault := range runner.Plan.Faults() {
		if !timer.Sleep(ctx, time.Until(start.Add(fault.At))) {
			return injected
		}
		injected[fault.Kind]++
		group.Go(func() { runner.inject(ctx, fault) })
	}
	return injected
}

// awaitRecovery waits until requests are served again, and reports a violation if
// that takes longer than recoveryTimeout.
func (runner *Runner) awaitRecovery(ctx context.Context) {
	start := time.Now()
	for timer.Sleep(ctx, time.Second) {
		runner.mutex.Lock()
		var sent, served int
		for _, call := range runner.record.Calls {
			if time.Since(call.Sent) < time.Second && expectsSuccess(call) {
				sent++
				if call.Outcome == auditor.Complete && call.Answer.Status/100 == 2 {
					served++
				}
			}
		}
		runner.mutex.Unlock()
		if sent > 0 && float64(served) >= minServedShare*float64(sent) {
			timer.Sleep(ctx, postRecoveryTime)
			return
		}
		if time.Since(start) > recoveryTimeout {
			runner.addViolation("recovery", "only %d of %d requests were served %s after the last fault", served, sent, recoveryTimeout)
			return
		}
	}
}

// expectsSuccess reports whether the request counts for recovery: its organisation has
// no rate limit, and it was not refused because of an old key or route.
func expectsSuccess(call auditor.Call) bool {
	status := call.Answer.Status
	return call.Key != rateLimitedKey && status != http.StatusUnauthorized && status != http.StatusNotFound
}

// stopAll stops all VMs as planned, half of them while the others stop, as callers go on.
func (runner *Runner) stopAll(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for i, vm := range runner.vms {
		group.Go(func() {
			if i%2 == 0 || timer.Sleep(ctx, stopOverlap) {
				vm.stop()
			}
		})
	}
}

func (runner *Runner) killAll() {
	for _, vm := range runner.vms {
		vm.kill()
	}
}

// beginDisturbance records the start of a fault of the subject. The returned function
// records its end.
func (runner *Runner) beginDisturbance(subject string) (end func()) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	disturbance := &auditor.Disturbance{Subject: subject, From: time.Now()}
	runner.disturbances[disturbance] = true
	return func() {
		runner.mutex.Lock()
		defer runner.mutex.Unlock()
		disturbance.Until = time.Now()
		delete(runner.disturbances, disturbance)
		runner.record.Disturbances = append(runner.record.Disturbances, *disturbance)
	}
}

func (runner *Runner) addViolation(promise, format string, values ...any) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.violations = append(runner.violations, auditor.Violation{Promise: promise, Detail: fmt.Sprintf(format, values...)})
}

// disturbed reports whether a fault of the subject is active or ended after since.
func (runner *Runner) disturbed(subject string, since time.Time) bool {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	for disturbance := range runner.disturbances {
		if disturbance.Subject == subject {
			return true
		}
	}
	return slices.ContainsFunc(runner.record.Disturbances, func(disturbance auditor.Disturbance) bool {
		return disturbance.Subject == subject && disturbance.Until.After(since)
	})
}

// update changes the record under the mutex.
func (runner *Runner) update(change func(*auditor.Record)) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	change(&runner.record)
}

// addPlace records the data centre of a target or VM, and its region.
func (runner *Runner) addPlace(name, dataCentre string) {
	runner.update(func(record *auditor.Record) {
		if record.Regions == nil {
			record.DataCentres, record.Regions = make(map[string]string), make(map[string]string)
		}
		record.DataCentres[name], record.Regions[name] = dataCentre, regionOf(dataCentre)
	})
}

// evacuate evacuates a data centre for the duration.
func (runner *Runner) evacuate(ctx context.Context, dataCentre string, duration time.Duration) {
	key := platform.EvacuationKey(dataCentre)
	evacuation := auditor.Evacuation{DataCentre: dataCentre}
	runner.store.write(func() {
		runner.store.Put(platform.ConfigurationTable, "", key, []byte("{}"))
		evacuation.Acknowledged = time.Now()
	})
	timer.Sleep(ctx, duration)
	runner.store.write(func() {
		evacuation.Ended = time.Now()
		runner.store.Delete(platform.ConfigurationTable, "", key)
	})
	runner.update(func(record *auditor.Record) { record.Evacuations = append(record.Evacuations, evacuation) })
}

func (runner *Runner) audit() Result {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	for disturbance := range runner.disturbances { // faults that are still active
		disturbance.Until = time.Now()
		runner.record.Disturbances = append(runner.record.Disturbances, *disturbance)
	}
	runner.record.Versions, runner.record.Restores = runner.configuration.written()
	runner.record.Forwards, runner.record.PassedOn = runner.forwards()
	runner.record.Bounds = auditor.Bounds{
		SettleTime: settleTime, Propagation: propagation, Leaving: leaving, Withdrawal: withdrawal, Grace: stopGrace,
		Evacuation: evacuation, Stretch: stretch, ColdRequests: 1.5*warmupRate + 8,
		RateWindow: 5 * time.Second, RateOvershoot: 0.1, RateTolerance: 20,
		RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetryMargin: 60,
	}
	result := Result{Report: runner.record.Audit(), Calls: runner.record.Calls, Arrivals: len(runner.record.Arrivals)}
	result.Violations = append(result.Violations, runner.violations...)
	result.Sort()
	return result
}
