package runner

import (
	"context"
	"fmt"
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
	pauseInStop = 300 * time.Millisecond
	// quietTime is how long a full target wants nothing, above the time that may pass
	// before a VM heeds it.
	quietTime = 1500 * time.Millisecond
)

// targetFaults are the faults that a target itself has.
var targetFaults = map[planner.Kind]faker.TargetFaults{
	planner.TargetFails:   {ErrorShare: errorShare},
	planner.TargetSlow:    {Delay: time.Second},
	planner.TargetFull:    {Full: true, RetryAfter: quietTime},
	planner.TargetSilent:  {Silent: true},
	planner.TargetCloses:  {Close: true},
	planner.TargetGarbles: {Garble: true},
	planner.TargetCuts:    {Truncate: true},
	planner.TargetRepeats: {Repeat: true},
}

// storeFaults are the faults of the store for every VM.
var storeFaults = map[planner.Kind]faker.Faults{
	planner.StoreRefuses: {Refuse: http.StatusServiceUnavailable},
	planner.StoreBusy:    {Refuse: http.StatusTooManyRequests},
	planner.StoreSilent:  {Silent: true},
	planner.StoreSlow:    {Delay: storeDelay},
	planner.StoreLoses:   {LoseAnswers: true},
}

// linkFaults are the faults on the way to a target, storeLinkFaults those on the
// way of one VM to the store.
var linkFaults = map[planner.Kind]relayer.Trouble{
	planner.LinkSlow:   {Delay: linkDelay},
	planner.LinkResets: {Reset: true},
	planner.LinkOneWay: {CutAnswers: true},
}

var storeLinkFaults = map[planner.Kind]relayer.Trouble{
	planner.CutFromStore: {CutRequests: true, CutAnswers: true},
	planner.ResetByStore: {Reset: true},
	planner.StoreOneWay:  {CutAnswers: true},
}

// forgedEntries are entries of targets by other writers; none may be used.
var forgedEntries = []string{
	`{"Service":"jobs","Address":"127.0.0.1:9","Zone":"rajkot-a","Slots":"4","State":"ready","Sequence":1}`,
	`{"Service":"jobs","Address":"127.0.0.1:9","Zone":"rajkot-a","Slots":4,"State":"sleeping","Sequence":1}`,
	`{"Address":"127.0.0.1:9"}`, "\x00\xff",
}

// strike brings about one fault and returns when it has ended.
func (runner *Runner) strike(ctx context.Context, fault planner.Fault) {
	if faults, ok := targetFaults[fault.Kind]; ok {
		runner.places[fault.Subject].spoil(ctx, faults, fault.For)
		return
	}
	if trouble, ok := linkFaults[fault.Kind]; ok {
		runner.places[fault.Subject].hinder(ctx, trouble, fault.For)
		return
	}
	if faults, ok := storeFaults[fault.Kind]; ok {
		runner.spoilStore(ctx, faults, fault.For)
		return
	}
	if trouble, ok := storeLinkFaults[fault.Kind]; ok {
		vm := runner.vms[fault.Subject]
		defer runner.disturb(vm.name)()
		vm.toStore.Set(trouble)
		timer.Sleep(ctx, fault.For)
		vm.toStore.Set(relayer.Trouble{})
		return
	}
	switch fault.Kind {
	case planner.KillVM, planner.KillAll, planner.StopVM, planner.FreezeVM, planner.ReloadVM:
		runner.strikeVM(ctx, fault)
	case planner.TargetLeaves, planner.TargetCrash, planner.TargetSwap:
		runner.strikeTarget(ctx, fault)
	default:
		runner.strikeOthers(ctx, fault)
	}
}

func (runner *Runner) spoilStore(ctx context.Context, faults faker.Faults, duration time.Duration) {
	defer runner.disturb(auditor.Store)()
	runner.store.SetFaults(faults)
	timer.Sleep(ctx, duration)
	runner.store.SetFaults(faker.Faults{})
}

func (runner *Runner) strikeVM(ctx context.Context, fault planner.Fault) {
	vm := runner.vms[fault.Subject]
	switch fault.Kind {
	case planner.KillVM:
		runner.restart(ctx, vm, fault.For)
	case planner.KillAll:
		var group sync.WaitGroup
		defer group.Wait()
		for _, vm := range runner.vms {
			group.Go(func() { runner.restart(ctx, vm, fault.For) })
		}
	case planner.StopVM:
		vm.stop()
		defer runner.disturb(vm.name)()
		timer.Sleep(ctx, pauseInStop)
		vm.startAgain()
	case planner.FreezeVM:
		defer runner.disturb(vm.name)()
		process := vm.signal(syscall.SIGSTOP)
		timer.Sleep(ctx, fault.For)
		if now, _ := vm.current(); process != nil && now == process {
			vm.signal(syscall.SIGCONT)
		}
	case planner.ReloadVM:
		vm.signal(syscall.SIGHUP)
	}
}

// restart kills a VM and starts it again after a pause.
func (runner *Runner) restart(ctx context.Context, vm *vm, after time.Duration) {
	defer runner.disturb(vm.name)()
	vm.kill()
	timer.Sleep(ctx, after)
	vm.startAgain()
}

func (runner *Runner) strikeTarget(ctx context.Context, fault planner.Fault) {
	place := runner.places[fault.Subject]
	service := place.current().Service
	switch fault.Kind {
	case planner.TargetLeaves:
		place.leave(ctx)
	case planner.TargetCrash:
		place.crash(ctx, entryTimeout, service)
	case planner.TargetSwap:
		other := services[0]
		if service == other {
			other = services[1]
		}
		place.crash(ctx, reuseAfter, other)
	}
}

func (runner *Runner) strikeOthers(ctx context.Context, fault planner.Fault) {
	switch fault.Kind {
	case planner.StoreForgets:
		runner.store.ForgetHistory()
	case planner.Withdraw:
		runner.settings.withdraw()
	case planner.MoveRoute:
		runner.settings.move()
	case planner.AddRoute:
		runner.settings.add()
	case planner.ForgeEntry:
		for i, entry := range forgedEntries {
			runner.store.Put(platform.TargetTable, "", fmt.Sprint("forged-", i), []byte(entry))
		}
	case planner.Flood:
		runner.flood.add(1)
		timer.Sleep(ctx, fault.For)
		runner.flood.add(-1)
	case planner.GiveUp:
		runner.giveUp.add(1)
		timer.Sleep(ctx, fault.For)
		runner.giveUp.add(-1)
	}
}
