package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
	"godwitramp.example/platform/faker"
)

// The stage of "revoked": three VMs, one in each zone. The store turns one of them away while a key is taken away, and then
// comes back from a copy that is older than that. The operator writes its newest configuration again a moment later.
const (
	revokedVMs     = 3
	revokedTargets = 6
	// turnedAwayAfter, revokedAfter and drillAfter count from the time of the copy.
	turnedAwayAfter = 500 * time.Millisecond
	revokedAfter    = time.Second
	drillAfter      = 6500 * time.Millisecond
	// awayTime is how long the store is away, and rewriteTime the time from its return until the operator has written
	// its newest configuration again.
	awayTime    = 500 * time.Millisecond
	rewriteTime = time.Second
	// revocation is the platform's bound.
	revocation  = 5 * time.Second
	revokedTime = 4 * time.Second
	callPause   = 50 * time.Millisecond
)

// storePath is the way of one VM to the store, which may reset its calls.
type storePath struct {
	store *faker.Store
	// away is true while the store is away for all, and turnedAway while it turns this VM away.
	away, turnedAway *atomic.Bool
}

func (path storePath) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if path.away.Load() || path.turnedAway.Load() {
		panic(http.ErrAbortHandler) // resets the connection
	}
	path.store.ServeHTTP(&pathWriter{ResponseWriter: writer, path: path}, request)
}

// pathWriter resets the connection if the store was lost before its answer.
type pathWriter struct {
	http.ResponseWriter
	path storePath
}

func (writer *pathWriter) WriteHeader(status int) {
	if writer.path.away.Load() || writer.path.turnedAway.Load() {
		panic(http.ErrAbortHandler)
	}
	writer.ResponseWriter.WriteHeader(status)
}

// revoked plays the stage, and returns the exit code.
func revoked(root, recordFile string, trouble bool) int {
	stage, err := newStage(root, recordFile)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer stage.close()
	audit := &revocationAudit{record: stage.record, sent: make(map[string]time.Time)}
	for i := range revokedTargets {
		target := &faker.Target{ID: fmt.Sprintf("i-%02d", i), Service: "s", Slots: 4, ServiceTime: 20 * time.Millisecond, Record: audit.add}
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
	configuration := func(version uint64, keys ...string) indexer.Configuration {
		return indexer.Configuration{
			Version:  version,
			Services: []indexer.Service{{Name: "s", HealthPath: faker.HealthPath, ConnectionLimit: 360}},
			Routes: []indexer.Route{
				{Name: "book", Host: "a.example", Prefix: "/book/", Timeout: 2500 * time.Millisecond, LatencyObjective: time.Second, Attempts: 2, Shares: []indexer.Share{{Service: "s", Weight: 1}}},
			},
			Organisations: []indexer.Organisation{{Name: "crew", Keys: keys}},
			Limits:        indexer.Limits{HeaderBytes: 16384, BodyBytes: 67108864, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		}
	}
	stage.configure(configuration(5, "key-1", "key-2"))
	var away, never, turnedAway atomic.Bool
	for i := range revokedVMs {
		path := storePath{store: stage.store, away: &away, turnedAway: &never}
		if i == 0 {
			path.turnedAway = &turnedAway
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fmt.Println(err)
			return exitNotRun
		}
		go func() { _ = http.Serve(listener, path) }()
		if _, err := stage.addVM(zoneNames[i], 284, 4100, true, listener.Addr().String()); err != nil {
			fmt.Println(err)
			return exitNotRun
		}
	}
	if err := stage.startVMs(0, 0, 0); err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	first := stage.vms[0]
	var group sync.WaitGroup
	end := make(chan struct{})
	for _, vm := range stage.vms {
		group.Go(func() { audit.call(vm, end) })
	}
	copied := time.Now()
	snapshot := stage.store.Snapshot()
	stage.record.say("the store's copy is made")
	until := func(after time.Duration) { time.Sleep(time.Until(copied.Add(after))) }
	until(turnedAwayAfter)
	if trouble {
		turnedAway.Store(true)
		stage.record.say("the store turns %s away", first.name)
	}
	until(revokedAfter)
	newest := configuration(6, "key-1")
	stage.configure(newest)
	audit.revoke()
	until(drillAfter)
	if trouble {
		away.Store(true)
		stage.record.say("the store is away")
	}
	until(drillAfter + awayTime)
	if trouble {
		stage.store.Restore(snapshot)
		away.Store(false)
		turnedAway.Store(false)
		stage.record.say("the store is back from its copy, for all")
	}
	until(drillAfter + awayTime + rewriteTime)
	if trouble {
		stage.configure(newest)
		stage.record.say("the operator has written its newest configuration again")
	}
	until(drillAfter + awayTime + rewriteTime + revokedTime)
	close(end)
	group.Wait()
	return audit.judge()
}

// revocationAudit compares when bookings with the key that is taken away were sent with whether they ran.
type revocationAudit struct {
	record *record
	mutex  sync.Mutex
	// sent are the times at which bookings were sent, by their IDs.
	sent         map[string]time.Time
	ran          []faker.Arrival
	acknowledged time.Time
	number       atomic.Int64
}

func (audit *revocationAudit) revoke() {
	audit.mutex.Lock()
	defer audit.mutex.Unlock()
	audit.acknowledged = time.Now()
	audit.record.say("the store acknowledges version 6, without the key key-2")
}

func (audit *revocationAudit) add(arrival faker.Arrival) {
	if !arrival.Run {
		return
	}
	audit.mutex.Lock()
	defer audit.mutex.Unlock()
	audit.ran = append(audit.ran, arrival)
}

// call sends bookings with the key to a VM until the channel is closed.
func (audit *revocationAudit) call(vm *vm, end <-chan struct{}) {
	last := ""
	for {
		select {
		case <-end:
			return
		case <-time.After(callPause):
		}
		id := fmt.Sprintf("booking-%d", audit.number.Add(1))
		audit.mutex.Lock()
		audit.sent[id] = time.Now()
		audit.mutex.Unlock()
		outcome := ask(vm.callers, faker.Request{Host: "a.example", Method: http.MethodPost, Path: "/book/1", Body: id, ID: id, Key: "key-2", Remaining: 2500 * time.Millisecond})
		if outcome != last {
			last = outcome
			audit.record.say("%s answers bookings with key-2 by %s from %s on", vm.name, outcome, id)
		}
	}
}

func (audit *revocationAudit) judge() int {
	audit.mutex.Lock()
	defer audit.mutex.Unlock()
	late := 0
	for _, arrival := range audit.ran {
		sent := audit.sent[arrival.ID]
		if after := sent.Sub(audit.acknowledged); after > revocation {
			late++
			audit.record.say("target %s ran %s, which was sent %.3f s after the acknowledgement", arrival.TargetID, arrival.ID, after.Seconds())
		}
	}
	audit.record.say("%d of %d bookings ran, %d of them sent later than %v after the acknowledgement", len(audit.ran), len(audit.sent), late, revocation)
	if late > 0 {
		audit.record.say("CONFIG is broken")
		return exitBroken
	}
	audit.record.say("the rule holds")
	return exitHeld
}
