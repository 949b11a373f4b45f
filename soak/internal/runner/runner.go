// Package runner runs a fleet of real VMs as processes on loopback, brings about
// the faults of a plan, and records what callers and targets see.
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
	"time"

	"godwitramp.example/platform/faker"
	"godwitramp.example/shell/timer"
	"godwitramp.example/soak/internal/auditor"
	"godwitramp.example/soak/internal/planner"
)

// Bounds of the sample fleet, as its VMs are told.
const (
	propagation = 2 * time.Second
	leaving     = 2 * time.Second
	withdrawal  = 5 * time.Second
	stopGrace   = 6 * time.Second
	settleTime  = 3 * time.Second
	// recovery is how long after the last fault requests are served again.
	recoveryTimeout = 15 * time.Second
	// servedShare is the least part of the requests that are served then.
	minServedShare = 0.25
)

const (
	// readyTimeout only guards against waiting for ever at the start.
	readyTimeout = time.Minute
	// pollPeriod is how often readiness is looked at meanwhile.
	pollPeriod = 20 * time.Millisecond
	// stopSlack is how much longer than its grace a planned stop may last on a
	// busy machine.
	stopSlack = time.Second
	// calmTail is how long traffic goes on after the fleet has recovered.
	postRecoveryTime = 2 * time.Second
)

// Runner runs one soak. Exported fields are set before Run.
type Runner struct {
	// Program is the path of the program of a VM.
	Program string
	// Directory gets settings and logs.
	Directory string
	Plan      planner.Plan
	// CallersPerVM is the number of callers for each VM.
	CallersPerVM int

	store     faker.Store
	network   network
	vms       []*vm
	endpoints []*endpoint
	settings  configuration
	flood     toggle
	giveUp    toggle

	mutex        sync.Mutex
	record       auditor.Record
	disturbances map[*auditor.Disturbance]bool // the ones that last
	violations   []auditor.Violation
}

// Result is what a soak found.
type Result struct {
	auditor.Report
	Calls    []auditor.Call
	Arrivals int
	Faults   map[planner.Kind]int
}

// toggle is on while at least one fault asks for it.
type toggle struct {
	mutex sync.Mutex
	count int
}

func (toggle *toggle) add(count int) {
	toggle.mutex.Lock()
	defer toggle.mutex.Unlock()
	toggle.count += count
}

func (toggle *toggle) on() bool {
	toggle.mutex.Lock()
	defer toggle.mutex.Unlock()
	return toggle.count > 0
}

// Run starts the fleet, plays the plan, and audits what was seen.
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
	callerCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var callers sync.WaitGroup
	for i := range runner.CallersPerVM * len(runner.vms) {
		random := rand.New(rand.NewPCG(runner.Plan.Seed, uint64(i)+1))
		callers.Go(func() { (&caller{runner: runner, index: i, random: random}).run(callerCtx) })
	}
	faults := runner.runFaults(ctx)
	runner.awaitRecovery(ctx)
	stopCallers()
	callers.Wait()
	runner.stopAll()
	if ctx.Err() != nil {
		return Result{}, fmt.Errorf("soak was interrupted: %w", context.Cause(ctx))
	}
	result = runner.audit()
	result.Faults = faults
	return result, nil
}

// open starts the store, the targets and the VMs.
func (runner *Runner) open(ctx context.Context, group *sync.WaitGroup) error {
	listener, err := runner.network.open(runner.Plan.Seed)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: &runner.store, ReadHeaderTimeout: time.Minute}
	group.Go(func() { _ = server.Serve(listener) }) // ends with Close
	context.AfterFunc(ctx, func() { _ = server.Close() })
	runner.settings.open(runner)
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

// play brings about the faults, and waits until all have ended.
func (runner *Runner) runFaults(ctx context.Context) map[planner.Kind]int {
	began := time.Now()
	injected := make(map[planner.Kind]int)
	var group sync.WaitGroup
	defer group.Wait()
	for _, fault := range runner.Plan.Faults() {
		if !timer.Sleep(ctx, time.Until(began.Add(fault.At))) {
			return injected
		}
		injected[fault.Kind]++
		group.Go(func() { runner.inject(ctx, fault) })
	}
	return injected
}

// awaitRecovery waits until requests are served again.
func (runner *Runner) awaitRecovery(ctx context.Context) {
	began := time.Now()
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
		if time.Since(began) > recoveryTimeout {
			runner.addViolation("recovery", "%d of %d requests were served %s after the last fault", served, sent, recoveryTimeout)
			return
		}
	}
}

// owed reports whether a request is within the rate of its organisation and
// allowed by the newest configuration.
func expectsSuccess(call auditor.Call) bool {
	status := call.Answer.Status
	return call.Key != rateLimitedKey && status != http.StatusUnauthorized && status != http.StatusNotFound
}

// stopAll ends the VMs as planned.
func (runner *Runner) stopAll() {
	var group sync.WaitGroup
	defer group.Wait()
	for _, vm := range runner.vms {
		group.Go(vm.stop)
	}
}

func (runner *Runner) killAll() {
	for _, vm := range runner.vms {
		vm.kill()
	}
}

// disturb notes that a fault of a subject has begun, and returns what notes its end.
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

// disturbed reports whether a subject has been disturbed since a time.
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

func (runner *Runner) addCall(call auditor.Call) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.record.Calls = append(runner.record.Calls, call)
}

func (runner *Runner) addArrival(arrival faker.Arrival) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.record.Arrivals = append(runner.record.Arrivals, arrival)
}

func (runner *Runner) audit() Result {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	for disturbance := range runner.disturbances { // of faults that never ended
		disturbance.Until = time.Now()
		runner.record.Disturbances = append(runner.record.Disturbances, *disturbance)
	}
	runner.record.Versions = runner.settings.versions()
	runner.record.Bounds = auditor.Bounds{
		SettleTime: settleTime, Propagation: propagation, Leaving: leaving, Withdrawal: withdrawal,
		RateWindow: 5 * time.Second, RateOvershoot: 0.1, RateTolerance: 20,
		RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetryMargin: 60,
	}
	result := Result{Report: runner.record.Audit(), Calls: runner.record.Calls, Arrivals: len(runner.record.Arrivals)}
	result.Violations = append(result.Violations, runner.violations...)
	result.Sort()
	return result
}
