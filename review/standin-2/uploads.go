package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"godwitramp.example/core/indexer"
	"godwitramp.example/platform/faker"
)

// uploadMB are the sizes of the bodies of a round in megabytes, in the order in which callers begin to send them.
var uploadMB = []int{
	64, 34, 22, 17, 13, 11, 9, 8, 7, 6, 6, 5, 5, 4, 4, 4, 4, 3, 3, 3, 3, 3, 3,
	2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2,
	1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1,
}

const (
	uploadRounds = 3
	roundGap     = 6 * time.Second
	stockWork    = 660 * time.Millisecond
	stockWait    = 5 * time.Second
	listWork     = 350 * time.Millisecond
	slowness     = 5
	readers      = 12 // for each machine
)

// reads are the requests of callers that only read, over connections that they keep.
type reads struct {
	mutex    sync.Mutex
	outcomes []outcome
}

// run sends requests until stop is closed.
func (reads *reads) run(vm *vm, stop <-chan struct{}) {
	caller := &caller{address: vm.callers}
	defer caller.close()
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		result := caller.send(faker.Request{Host: host, Method: "GET", Path: "/due-list/2f", ID: newID(), Key: key, Remaining: 2 * time.Second})
		result.vm = vm.name
		reads.mutex.Lock()
		reads.outcomes = append(reads.outcomes, result)
		reads.mutex.Unlock()
	}
}

// uploads: callers send bodies of up to the limit while the targets of their service are slow.
func uploads(stage *stage, trouble bool) (int, error) {
	if err := stage.openStore(); err != nil {
		return failed, err
	}
	stage.configure(indexer.Configuration{
		Version: 7,
		Routes: []indexer.Route{
			route("due-list", "kundlist", true, 2*time.Second, time.Second, 2),
			route("stock-look", "chunabhandar", true, stockWait, 2*time.Second, 2),
		},
		Services:      []indexer.Service{{Name: "kundlist", HealthPath: faker.HealthPath, ConnectionLimit: 360}, {Name: "chunabhandar", HealthPath: faker.HealthPath, ConnectionLimit: 360}},
		Organisations: []indexer.Organisation{{Name: "cuka620", Keys: []string{key}}},
		Limits:        kundsetuLimits,
	})
	work := stockWork
	if trouble {
		work *= slowness
	}
	for i := range 12 {
		for _, target := range []*faker.Target{
			{ID: fmt.Sprintf("i-list-%02d", i), Service: "kundlist", Slots: 4, ServiceTime: listWork},
			{ID: fmt.Sprintf("i-stock-%02d", i), Service: "chunabhandar", Slots: 4 + 16, ServiceTime: work}, // slots and queue
		} {
			if err := stage.addTarget(target, kundsetuZones[0][0], nil); err != nil {
				return failed, err
			}
		}
	}
	for i := range 2 {
		vm, err := stage.addVM(fmt.Sprintf("front-rajkot-a-%d", i+1), kundsetuMachine(0), kundsetuZones)
		if err != nil {
			return failed, err
		}
		go vm.supervise()
	}
	if err := stage.awaitReady(15 * time.Second); err != nil {
		return failed, err
	}
	stage.note("both machines are ready; targets of chunabhandar take %s for a request", work)
	var reads reads
	stop := make(chan struct{})
	var readersGroup sync.WaitGroup
	for _, vm := range stage.vms {
		for range readers {
			readersGroup.Go(func() { reads.run(vm, stop) })
		}
	}
	time.Sleep(4 * time.Second) // StabilityWindow, and a margin
	var rounds sync.WaitGroup
	for _, vm := range stage.vms {
		rounds.Go(func() {
			for round := range uploadRounds {
				stage.sendBodies(vm, round+1)
				time.Sleep(roundGap)
			}
		})
	}
	rounds.Wait()
	close(stop)
	readersGroup.Wait()
	return stage.judgeLost(&reads)
}

// sendBodies sends one round of bodies to a machine, one after the other at the rate of its link, and waits for the answers.
func (stage *stage) sendBodies(vm *vm, round int) {
	var group sync.WaitGroup
	total := 0
	for i, megabytes := range uploadMB {
		total += megabytes
		size := megabytes << 20
		group.Go(func() {
			caller := &caller{address: vm.callers}
			defer caller.close()
			result := caller.send(faker.Request{
				Host: host, Method: "POST", Path: "/stock-look/2f", Body: strings.Repeat("x", size), ID: newID(), Key: key, Remaining: stockWait,
			})
			end := fmt.Sprint("status ", result.answer.Status)
			if result.err != nil {
				end = fmt.Sprint("no answer: ", result.err)
			}
			stage.note("%s round %d: body %d of %d MB, after %s %s", vm.name, round, i+1, megabytes, result.ended.Sub(result.sent).Round(time.Millisecond), end)
		})
		time.Sleep(time.Duration(float64(size) / linkRate * float64(time.Second)))
	}
	stage.note("%s round %d: all %d bodies are sent, %d MB", vm.name, round, len(uploadMB), total)
	group.Wait()
}

// judgeLost judges LOST: requests that were passed on from a kept connection to a sound target, and whose connection was
// closed without an answer.
func (stage *stage) judgeLost(reads *reads) (int, error) {
	time.Sleep(time.Second) // targets may still be at work
	ran := stage.ran()
	lost, served := 0, 0
	for _, result := range reads.outcomes {
		if result.err == nil && result.answer.Status == 200 {
			served++
		}
		if !result.lost || !result.kept {
			continue
		}
		for _, arrival := range ran[result.request.ID] {
			lost++
			stage.note("LOST: request %s, sent at %.3f s to %s over a kept connection, ran at %s, and the connection ended after %s without an answer: %v",
				result.request.ID, result.sent.Sub(stage.began).Seconds(), result.vm, arrival.TargetID, result.ended.Sub(result.sent).Round(time.Millisecond), result.err)
		}
	}
	for _, vm := range stage.vms {
		stage.note("%s: peak %d MB of %d MB; killed for its memory %d times", vm.name, vm.peakKB>>10, vm.memoryMB, len(vm.overs))
	}
	stage.noteRequests(reads.outcomes)
	stage.note("%d of %d reads served; LOST %d times, three are allowed", served, len(reads.outcomes), lost)
	if lost > 3 {
		return broken, nil
	}
	return held, nil
}
