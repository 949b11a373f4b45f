package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
	"godwitramp.example/platform"
	"godwitramp.example/platform/faker"
)

const (
	drain         = 2 * time.Second
	heartbeat     = 1500 * time.Millisecond // HeartbeatInterval
	bookings      = 46                      // a second, as on the sheet
	bookingWork   = 260 * time.Millisecond
	foreignAfter  = 2100 * time.Millisecond
	foreignRounds = 3
	leaversARound = 3
)

// withoutBorn returns an entry without the time of its target's start.
func withoutBorn(entry []byte) []byte {
	var fields map[string]any
	if err := json.Unmarshal(entry, &fields); err != nil {
		return nil
	}
	delete(fields, "born")
	value, err := json.Marshal(fields)
	if err != nil {
		return nil
	}
	return value
}

// foreign: another writer writes the entry of a target that drains again, as it was before, without one field.
func foreign(stage *stage, trouble bool) (int, error) {
	if err := stage.openStore(); err != nil {
		return failed, err
	}
	stage.configure(indexer.Configuration{
		Version:       7,
		Routes:        []indexer.Route{route("job-book", "kaambook", false, 1500*time.Millisecond, time.Second, 1)},
		Services:      []indexer.Service{{Name: "kaambook", HealthPath: faker.HealthPath, ConnectionLimit: 360}},
		Organisations: []indexer.Organisation{{Name: "cuka620", Keys: []string{key}}},
		Limits:        kundsetuLimits,
	})
	var targets []*faker.Target
	for i := range 12 {
		target := &faker.Target{ID: fmt.Sprintf("i-book-%02d", i), Service: "kaambook", Slots: 4, ServiceTime: bookingWork}
		if err := stage.addTarget(target, kundsetuZones[i%2][0], nil); err != nil {
			return failed, err
		}
		targets = append(targets, target)
	}
	for i := range 4 {
		zone := i % 2
		vm, err := stage.addVM(fmt.Sprintf("front-%s-%d", kundsetuZones[zone][0], 1+i/2), kundsetuMachine(zone), kundsetuZones[:2])
		if err != nil {
			return failed, err
		}
		go vm.supervise()
	}
	if err := stage.awaitReady(15 * time.Second); err != nil {
		return failed, err
	}
	stage.note("4 machines are ready")
	var mutex sync.Mutex
	var outcomes []outcome
	var callers sync.WaitGroup
	stop := make(chan struct{})
	callers.Go(func() {
		ticker := time.NewTicker(time.Second / bookings)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			callers.Go(func() {
				machine := stage.vms[i%len(stage.vms)]
				caller := &caller{address: machine.callers}
				defer caller.close()
				result := caller.send(faker.Request{Host: host, Method: "POST", Path: "/job-book/2f", Body: "tank", ID: newID(), Key: key, Remaining: 2500 * time.Millisecond})
				result.vm = machine.name
				mutex.Lock()
				outcomes = append(outcomes, result)
				mutex.Unlock()
			})
		}
	})
	time.Sleep(8 * time.Second)
	leftAt := make(map[string]time.Time)
	for round := range foreignRounds {
		var leavers sync.WaitGroup
		for i := range leaversARound {
			target := targets[round*leaversARound+i]
			leftAt[target.ID] = time.Now()
			leavers.Go(func() { stage.leave(target, trouble) })
		}
		leavers.Wait()
		time.Sleep(time.Second)
	}
	close(stop)
	callers.Wait()
	stage.noteRequests(outcomes)
	ran := stage.ran()
	late := 0
	ends := make(map[string]int)
	for _, result := range outcomes {
		if result.err != nil {
			ends["no answer"]++
		} else {
			ends[strconv.Itoa(result.answer.Status)]++
		}
		for _, arrival := range ran[result.request.ID] {
			reported, left := leftAt[arrival.TargetID]
			if !left || arrival.Status == http.StatusMisdirectedRequest || arrival.Begun.Before(reported.Add(drain)) {
				continue
			}
			late++
			stage.note("DRAIN: request %s reached %s %.3f s after the store had acknowledged that it drains; answered %d", result.request.ID, arrival.TargetID,
				arrival.Begun.Sub(reported).Seconds(), result.answer.Status)
		}
	}
	stage.note("%d bookings by status: %v; DRAIN %d times", len(outcomes), ends, late)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// leave plays the end of a target: it reports that it drains and writes its heartbeats until it has left.
func (stage *stage) leave(target *faker.Target, trouble bool) {
	entry := stage.store.Row(platform.TargetTable, "", target.ID)
	known, sequence, err := platform.TargetEntry(platform.Row{Key: target.ID, Value: entry})
	if err != nil {
		stage.note("entry of %s: %v", target.ID, err)
		return
	}
	target.Leave() // from now on it says so in its answers too
	known.Leaving = true
	stage.putEntry(known, sequence+1)
	reported := time.Now()
	stage.note("store: %s reports that it drains, acknowledged", target.ID)
	time.Sleep(heartbeat)
	stage.putEntry(known, sequence+2)
	time.Sleep(time.Until(reported.Add(foreignAfter)))
	if trouble {
		stage.store.Put(platform.TargetTable, "", target.ID, withoutBorn(entry))
		stage.note("store: another writer writes the entry of %s as it was before, without the time of its start", target.ID)
	}
	time.Sleep(time.Until(reported.Add(2 * heartbeat)))
	stage.putEntry(known, sequence+3)
	stage.note("store: heartbeat of %s (draining)", target.ID)
	time.Sleep(heartbeat)
	stage.store.Delete(platform.TargetTable, "", target.ID)
	stage.note("store: %s has left", target.ID)
}

// putEntry writes an entry as its target does.
func (stage *stage) putEntry(target placer.Target, sequence int64) {
	stage.store.Put(platform.TargetTable, "", target.ID, faker.EncodeEntry(target, sequence))
}
