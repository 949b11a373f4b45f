package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"godwitramp.example/core/indexer"
	"godwitramp.example/platform/faker"
)

const (
	replacedZones  = 2
	machinesAZone  = 3
	replacements   = 40 // for one machine of each zone
	replaceEvery   = 350 * time.Millisecond
	tenantRate     = 32.0 // RequestsPerS and Burst of the tenant
	usualRate      = 20   // requests a second of the tenant from all callers: its rate is 1.6 times that
	beforeFault    = 10 * time.Second
	recovery       = 15 * time.Second
	afterRecovery  = 15 * time.Second
	processRestart = 500 * time.Millisecond
)

// replaced: one machine of each zone is removed and another one is added, time after time. Then all processes are killed at
// the same moment and started again.
func replaced(stage *stage, trouble bool) (int, error) {
	if err := stage.openStore(); err != nil {
		return failed, err
	}
	stage.configure(indexer.Configuration{
		Version:       7,
		Routes:        []indexer.Route{route("due-list", "kundlist", true, 2*time.Second, time.Second, 2)},
		Services:      []indexer.Service{{Name: "kundlist", HealthPath: faker.HealthPath, ConnectionLimit: 360}},
		Organisations: []indexer.Organisation{{Name: "cuka620", Keys: []string{key}, Rate: tenantRate, Burst: tenantRate}},
		Limits:        kundsetuLimits,
	})
	for i := range 12 {
		target := &faker.Target{ID: fmt.Sprintf("i-list-%02d", i), Service: "kundlist", Slots: 4, ServiceTime: listWork}
		if err := stage.addTarget(target, kundsetuZones[i%replacedZones][0], nil); err != nil {
			return failed, err
		}
	}
	zones := kundsetuZones[:replacedZones]
	serving := make([]*vm, 0, replacedZones*machinesAZone) // by place: the machine there changes
	var mutex sync.Mutex
	for zone := range replacedZones {
		for i := range machinesAZone {
			vm, err := stage.addVM(fmt.Sprintf("front-%s-%d", zones[zone][0], i+1), kundsetuMachine(zone), zones)
			if err != nil {
				return failed, err
			}
			go vm.supervise()
			serving = append(serving, vm)
		}
	}
	if err := stage.awaitReady(15 * time.Second); err != nil {
		return failed, err
	}
	stage.note("%d machines in %d zones are ready; the tenant has %.0f requests a second and asks for %d", len(serving), replacedZones, tenantRate, usualRate)
	at := func(place int) *vm {
		mutex.Lock()
		defer mutex.Unlock()
		return serving[place]
	}
	var outcomes []outcome
	var callers sync.WaitGroup
	stop := make(chan struct{})
	callers.Go(func() {
		ticker := time.NewTicker(time.Second / usualRate)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			callers.Go(func() {
				machine := at(i % len(serving))
				caller := &caller{address: machine.callers}
				defer caller.close()
				result := caller.send(faker.Request{Host: host, Method: "GET", Path: "/due-list/2f", ID: newID(), Key: key, Remaining: 2 * time.Second})
				result.vm = machine.name
				mutex.Lock()
				outcomes = append(outcomes, result)
				mutex.Unlock()
			})
		}
	})
	time.Sleep(8 * time.Second)
	if trouble {
		for i := range replacements {
			for zone := range replacedZones {
				place := zone*machinesAZone + machinesAZone - 1
				added, err := stage.addVM(fmt.Sprintf("front-%s-%d", zones[zone][0], machinesAZone+1+i), kundsetuMachine(zone), zones)
				if err != nil {
					return failed, err
				}
				go added.supervise()
				mutex.Lock()
				old := serving[place]
				serving[place] = added
				mutex.Unlock()
				go old.remove()
			}
			time.Sleep(replaceEvery)
		}
		stage.note("platform: in each zone one machine was replaced %d times, each by SIGTERM after another one had been added", replacements)
	} else {
		time.Sleep(replacements * replaceEvery)
	}
	time.Sleep(beforeFault)
	before := time.Now()
	stage.note("platform: the processes of all machines are killed")
	for _, vm := range serving {
		vm.signal(syscall.SIGKILL)
	}
	time.Sleep(restartDelay + processRestart)
	if err := stage.awaitReadyOf(serving, 10*time.Second); err != nil {
		stage.note("%v", err)
	}
	back := time.Now()
	stage.note("platform: all %d machines are ready again", len(serving))
	time.Sleep(recovery + afterRecovery)
	close(stop)
	callers.Wait()
	stage.noteRequests(outcomes)
	served, asked := stage.share(outcomes, before.Add(-beforeFault), before)
	stage.note("before the final fault: %d of %d served", served, asked)
	servedLater, askedLater := stage.share(outcomes, back.Add(recovery), time.Now())
	stage.note("later than %s after the machines were back: %d of %d served", recovery, servedLater, askedLater)
	if 4*served < asked {
		return failed, fmt.Errorf("less than a quarter was served before the fault")
	}
	if 4*servedLater < askedLater {
		return broken, nil
	}
	return held, nil
}

// share counts the requests that were sent in a time, and those that were served, and notes how they ended.
func (stage *stage) share(outcomes []outcome, from, until time.Time) (served, asked int) {
	ends := make(map[string]int)
	for _, result := range outcomes {
		if result.sent.Before(from) || result.sent.After(until) {
			continue
		}
		asked++
		end := "no answer"
		if result.err == nil {
			end = strconv.Itoa(result.answer.Status)
		}
		ends[end]++
		if result.err == nil && result.answer.Status == http.StatusOK {
			served++
		}
	}
	stage.note("requests of this time by status: %v", ends)
	return served, asked
}

// remove stops a machine as planned, for good.
func (vm *vm) remove() {
	vm.mutex.Lock()
	vm.closing = true
	command, ended := vm.command, vm.ended
	vm.mutex.Unlock()
	_ = command.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(6 * time.Second): // GracePeriod
		_ = command.Process.Kill()
	}
}
