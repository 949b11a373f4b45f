package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
	"godwitramp.example/platform/faker"
)

// The stage of "removed": 35 VMs in three zones. All but one of each zone are removed by planned work, two at a time, while the
// store is away for some seconds, four times. Later all processes are killed and start again.
const (
	removedVMs     = 35
	removedTargets = 12
	// The store is away for outageTime, outages times, each outagePeriod after the one before.
	outages      = 4
	outageTime   = 4500 * time.Millisecond
	outagePeriod = 6500 * time.Millisecond
	// In each outage stopsAtOnce VMs are stopped stopSteps times, the first firstStop after its begin, the others stopGap
	// after each other.
	stopsAtOnce = 2
	stopSteps   = 4
	firstStop   = 200 * time.Millisecond
	stopGap     = 1300 * time.Millisecond
	// readsPause is the pause between reads: 20 a second of one organisation, whose rate is 32.
	readsPause = 50 * time.Millisecond
	ownRate    = 32
	ownBurst   = 32
	measured   = 8 * time.Second
	restart    = time.Second
	// recovery is the platform's bound, and recoveredShare the share of the reads that its rule asks for.
	recovery       = 15 * time.Second
	recoveredShare = 0.25
)

// removed plays the stage, and returns the exit code.
func removed(root, recordFile string, trouble bool) int {
	stage, err := newStage(root, recordFile)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer stage.close()
	for i := range removedTargets {
		target := &faker.Target{ID: fmt.Sprintf("i-%02d", i), Service: "s", Slots: 4, ServiceTime: 50 * time.Millisecond, Record: func(faker.Arrival) {}}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fmt.Println(err)
			return exitNotRun
		}
		go func() { _ = http.Serve(listener, target) }()
		go stage.register(stage.context, placer.Target{
			ID: target.ID, Incarnation: time.Now().UnixMilli(), Service: "s", Address: listener.Addr().String(), DataCentre: zoneNames[i%len(zoneNames)], Slots: 4,
		})
	}
	stage.configure(indexer.Configuration{
		Version:  1,
		Services: []indexer.Service{{Name: "s", HealthPath: faker.HealthPath, ConnectionLimit: 360}},
		Routes: []indexer.Route{
			{Name: "list", Host: "a.example", Prefix: "/list/", Idempotent: true, Timeout: 2 * time.Second, LatencyObjective: time.Second, Attempts: 2, Shares: []indexer.Share{{Service: "s", Weight: 1}}},
		},
		Organisations: []indexer.Organisation{{Name: "crew", Keys: []string{"key-1"}, Rate: ownRate, Burst: ownBurst}},
		Limits:        indexer.Limits{HeaderBytes: 16384, BodyBytes: 67108864, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	})
	var away, never atomic.Bool
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	go func() { _ = http.Serve(listener, storePath{store: stage.store, away: &away, turnedAway: &never}) }()
	for i := range removedVMs {
		if _, err := stage.addVM(zoneNames[i%len(zoneNames)], 284, 4100, true, listener.Addr().String()); err != nil {
			fmt.Println(err)
			return exitNotRun
		}
	}
	if err := stage.startVMs(0, 0, 0); err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	kept := stage.vms[:len(zoneNames)]
	reads := &readCounter{record: stage.record}
	reads.measure(kept, "with all VMs", measured/2)
	removed := stage.vms[len(kept):]
	for outage := range outages {
		begin := time.Now()
		if trouble {
			away.Store(true)
			stage.record.say("the store is away")
		}
		for step := range stopSteps {
			time.Sleep(time.Until(begin.Add(firstStop + time.Duration(step)*stopGap)))
			first := (outage*stopSteps + step) * stopsAtOnce
			for _, vm := range removed[first : first+stopsAtOnce] {
				vm.signal(syscall.SIGTERM)
				stage.record.say("SIGTERM to %s, which is removed", vm.name)
			}
		}
		time.Sleep(time.Until(begin.Add(outageTime)))
		if trouble {
			away.Store(false)
			stage.record.say("the store is back")
		}
		time.Sleep(time.Until(begin.Add(outagePeriod)))
	}
	for _, vm := range removed {
		select {
		case <-vm.ended:
		case <-time.After(3 * time.Second):
			stage.record.say("%s has not ended in time", vm.name)
			return exitNotRun
		}
	}
	stage.record.say("all of them have ended by themselves")
	time.Sleep(stabilityWindow)
	before := reads.measure(kept, "before the final fault", measured)
	for _, vm := range kept {
		vm.signal(syscall.SIGKILL)
		<-vm.ended
	}
	stage.record.say("all processes are killed")
	time.Sleep(restart)
	for _, vm := range kept {
		settings, err := os.ReadFile(vm.settings)
		if err == nil {
			err = os.WriteFile(vm.settings, []byte(strings.Replace(string(settings), "first-start = true", "first-start = false", 1)), 0o600)
		}
		if err == nil {
			err = vm.start()
		}
		if err != nil {
			fmt.Println(err)
			return exitNotRun
		}
	}
	stage.record.say("they are started again")
	time.Sleep(recovery)
	after := reads.measure(kept, "later than Recovery", measured)
	if before >= recoveredShare && after < recoveredShare {
		stage.record.say("RECOVER is broken")
		return exitBroken
	}
	stage.record.say("the rule holds")
	return exitHeld
}

// readCounter sends reads and counts those that are served.
type readCounter struct {
	record *record
	number int
}

// measure sends reads to the VMs in turn for a time, and returns the share that is served.
func (counter *readCounter) measure(vms []*vm, when string, duration time.Duration) float64 {
	var group sync.WaitGroup
	var mutex sync.Mutex
	outcomes := make(map[string]int)
	sent := 0
	for begin := time.Now(); time.Since(begin) < duration; sent++ {
		counter.number++
		vm, id := vms[counter.number%len(vms)], fmt.Sprintf("read-%d", counter.number)
		group.Go(func() {
			outcome := ask(vm.callers, faker.Request{Host: "a.example", Method: http.MethodGet, Path: "/list/" + id, ID: id, Key: "key-1", Remaining: 2 * time.Second})
			mutex.Lock()
			defer mutex.Unlock()
			outcomes[outcome]++
		})
		time.Sleep(readsPause)
	}
	group.Wait()
	counter.record.say("%s: %d reads sent to %d VMs, answers: %v", when, sent, len(vms), outcomes)
	return float64(outcomes["200"]) / float64(sent)
}
