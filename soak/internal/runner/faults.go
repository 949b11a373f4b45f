package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"godwitramp.example/platform"
	"godwitramp.example/platform/faker"
	"godwitramp.example/shell/timer"
	"godwitramp.example/soak/internal/auditor"
	"godwitramp.example/soak/internal/planner"
	"godwitramp.example/soak/internal/relayer"
)

const (
	errorShare  = 0.75
	linkDelay   = 100 * time.Millisecond
	storeDelay  = 700 * time.Millisecond
	stoppedTime = 300 * time.Millisecond
	// coolDownTime is the cool-down that a full target requests. It is longer than the
	// time within which a VM must respect it.
	coolDownTime = 1500 * time.Millisecond
	// namedLimit is the limit that a target in need names, in requests a second.
	namedLimit = 1.5
)

// targetFaults are faults of a target itself.
var targetFaults = map[planner.Kind]faker.TargetFaults{
	planner.TargetFails:     {ErrorShare: errorShare},
	planner.TargetSlow:      {Delay: time.Second},
	planner.TargetFull:      {Full: true, RetryAfter: coolDownTime},
	planner.TargetLimits:    {Limit: namedLimit},
	planner.TargetSilent:    {Silent: true},
	planner.TargetCloses:    {Close: true},
	planner.TargetGarbles:   {Garble: true},
	planner.TargetTruncates: {Truncate: true},
	planner.TargetRepeats:   {Repeat: true},
}

// storeFaults are faults of the store that affect every VM.
var storeFaults = map[planner.Kind]faker.Faults{
	planner.StoreRefuses:      {Refuse: http.StatusServiceUnavailable},
	planner.StoreBusy:         {Refuse: http.StatusTooManyRequests},
	planner.StoreSilent:       {Silent: true},
	planner.StoreSlow:         {Delay: storeDelay},
	planner.StoreLosesAnswers: {LoseAnswers: true},
}

// linkFaults are faults of the link to a target.
var linkFaults = map[planner.Kind]relayer.Faults{
	planner.LinkSlow:   {Delay: linkDelay},
	planner.LinkResets: {Reset: true},
	planner.LinkOneWay: {BlockAnswers: true},
}

// storeLinkFaults are faults of the link from one VM to the store.
var storeLinkFaults = map[planner.Kind]relayer.Faults{
	planner.CutFromStore: {BlockRequests: true, BlockAnswers: true},
	planner.ResetByStore: {Reset: true},
	planner.StoreOneWay:  {BlockAnswers: true},
}

// forgedEntries are invalid target entries from writers other than targets. VMs must
// ignore all of them.
var forgedEntries = []string{
	`{"Service":"jobs","Address":"127.0.0.1:9","Zone":"rajkot-a","Slots":"4","State":"ready","Sequence":1}`,
	`{"Service":"jobs","Address":"127.0.0.1:9","Zone":"rajkot-a","Slots":4,"State":"sleeping","Sequence":1}`,
	`{"Address":"127.0.0.1:9"}`, "\x00\xff",
}

// inject injects one fault and returns when it has ended.
func (runner *Runner) inject(ctx context.Context, fault planner.Fault) {
	if faults, ok := targetFaults[fault.Kind]; ok {
		runner.endpoints[fault.Subject].injectFaults(ctx, faults, fault.Duration)
		return
	}
	if faults, ok := linkFaults[fault.Kind]; ok {
		runner.endpoints[fault.Subject].disruptLink(ctx, faults, fault.Duration)
		return
	}
	if faults, ok := storeFaults[fault.Kind]; ok {
		defer runner.beginDisturbance(auditor.Store)()
		runner.store.SetFaults(faults)
		timer.Sleep(ctx, fault.Duration)
		runner.store.SetFaults(faker.Faults{})
		return
	}
	if faults, ok := storeLinkFaults[fault.Kind]; ok {
		vm := runner.vms[fault.Subject]
		defer runner.beginDisturbance(vm.name)()
		vm.storeLink.SetFaults(faults)
		timer.Sleep(ctx, fault.Duration)
		vm.storeLink.SetFaults(relayer.Faults{})
		return
	}
	switch fault.Kind {
	case planner.KillVM, planner.KillAllVMs, planner.StopVM, planner.FreezeVM, planner.ReloadVM:
		runner.injectVMFault(ctx, fault)
	case planner.TargetLeaves, planner.TargetCrashes, planner.AddressReused:
		runner.injectTargetFault(ctx, fault)
	default:
		runner.injectOtherFault(ctx, fault)
	}
}

// injectAll sets faults of all targets for the duration.
func (runner *Runner) injectAll(ctx context.Context, faults faker.TargetFaults, duration time.Duration) {
	var group sync.WaitGroup
	defer group.Wait()
	for _, endpoint := range runner.endpoints {
		group.Go(func() { endpoint.injectFaults(ctx, faults, duration) })
	}
}

func (runner *Runner) injectVMFault(ctx context.Context, fault planner.Fault) {
	vm := runner.vms[fault.Subject]
	switch fault.Kind {
	case planner.KillVM:
		runner.killAndRestart(ctx, vm, fault.Duration)
	case planner.KillAllVMs:
		var group sync.WaitGroup
		defer group.Wait()
		for _, vm := range runner.vms {
			group.Go(func() { runner.killAndRestart(ctx, vm, fault.Duration) })
		}
	case planner.StopVM:
		vm.stop()
		defer runner.beginDisturbance(vm.name)()
		timer.Sleep(ctx, stoppedTime)
		vm.restart()
	case planner.FreezeVM:
		defer runner.beginDisturbance(vm.name)()
		process := vm.signal(syscall.SIGSTOP)
		timer.Sleep(ctx, fault.Duration)
		if running, _ := vm.current(); process != nil && running == process {
			vm.signal(syscall.SIGCONT)
		}
	case planner.ReloadVM:
		vm.signal(syscall.SIGHUP)
	}
}

// killAndRestart kills a VM and restarts it after a pause.
func (runner *Runner) killAndRestart(ctx context.Context, vm *vm, after time.Duration) {
	defer runner.beginDisturbance(vm.name)()
	vm.kill()
	timer.Sleep(ctx, after)
	vm.restart()
}

func (runner *Runner) injectTargetFault(ctx context.Context, fault planner.Fault) {
	endpoint := runner.endpoints[fault.Subject]
	service := endpoint.current().Service
	switch fault.Kind {
	case planner.TargetLeaves:
		endpoint.replaceAsPlanned(ctx)
	case planner.TargetCrashes:
		endpoint.crash(ctx, entryTimeout, service)
	case planner.AddressReused:
		other := services[0]
		if service == other {
			other = services[1]
		}
		endpoint.crash(ctx, addressReuseDelay, other)
	}
}

func (runner *Runner) injectOtherFault(ctx context.Context, fault planner.Fault) {
	switch fault.Kind {
	case planner.StoreForgetsHistory:
		runner.store.ForgetHistory()
	case planner.RestoreStore:
		runner.restoreStore(ctx, fault)
	case planner.WithdrawKey:
		runner.configuration.withdrawKey()
	case planner.MoveRoute:
		runner.configuration.moveRoute()
	case planner.AddRoute:
		runner.configuration.replaceAddedRoute()
	case planner.ForgeTarget:
		for i, entry := range forgedEntries {
			runner.store.write(func() { runner.store.Put(platform.TargetTable, "", fmt.Sprint("forged-", i), []byte(entry)) })
		}
	case planner.Flood:
		runner.flood.hold(ctx, fault.Duration)
	case planner.CrashingRequest:
		random := rand.New(rand.NewPCG(runner.Plan.Seed, uint64(fault.Subject)))
		(&caller{runner: runner, index: crashingCallers + fault.Subject, random: random}).sendCrashing(ctx, fault)
	case planner.TargetCopies:
		runner.injectAll(ctx, faker.TargetFaults{Copies: true}, fault.Duration)
	case planner.TargetsStray:
		runner.injectAll(ctx, faker.TargetFaults{Strays: true}, fault.Duration)
	case planner.TargetsRestart:
		var group sync.WaitGroup
		defer group.Wait()
		for i := fault.Subject; i < len(runner.endpoints); i += len(services) {
			endpoint := runner.endpoints[i]
			group.Go(func() { endpoint.crash(ctx, restartTime, endpoint.current().Service) })
		}
	case planner.ChangeHomes:
		runner.configuration.changeHomes(fault.Subject)
	case planner.TargetCold, planner.TargetColdLateRow:
		runner.endpoints[fault.Subject].makeCold(fault.Kind == planner.TargetCold)
	case planner.Evacuate:
		runner.evacuate(ctx, dataCentres[fault.Subject], fault.Duration)
	case planner.CallersGiveUp:
		runner.giveUp.hold(ctx, fault.Duration)
	}
}
