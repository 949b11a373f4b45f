package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
	"godwitramp.example/platform"
	"godwitramp.example/platform/faker"
)

const (
	stability    = 3 * time.Second
	backAfter    = 4 * time.Second
	culpritEvery = 2500 * time.Millisecond
	culpritFor   = 40 * time.Second
	allowedLate  = 3
)

// mortal is a target that a request can crash. It is back later at its address, with the same ID and a new start.
type mortal struct {
	stage   *stage
	target  *faker.Target
	zone    string
	address string

	mutex  sync.Mutex
	server *http.Server
}

// start listens and registers.
func (mortal *mortal) start() error {
	listener, err := net.Listen("tcp", mortal.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(mortal.serve), ConnContext: faker.KeepConnection}
	mortal.mutex.Lock()
	mortal.server = server
	mortal.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
	mortal.stage.store.Put(platform.TargetTable, "", mortal.target.ID, faker.EncodeTarget(placer.Target{
		ID: mortal.target.ID, Service: mortal.target.Service, Address: mortal.address, DataCentre: mortal.zone, Slots: mortal.target.Slots, Incarnation: time.Now().UnixMilli(),
	}))
	return nil
}

// serve lets the faker's target answer, and crashes in the middle of the answer to a culprit.
func (mortal *mortal) serve(writer http.ResponseWriter, request *http.Request) {
	if strings.Contains(request.URL.Path, "culprit") {
		writer = &half{ResponseWriter: writer, crash: mortal.crash, before: os.Getenv("CRASH") == "before"}
	}
	mortal.target.ServeHTTP(writer, request)
}

// crash ends all connections and refuses new ones until the target is back.
func (mortal *mortal) crash() {
	mortal.mutex.Lock()
	server := mortal.server
	mortal.mutex.Unlock()
	mortal.stage.note("%s crashes while it answers", mortal.target.ID)
	_ = server.Close()
	time.AfterFunc(backAfter, func() {
		if mortal.stage.ctx.Err() == nil {
			if err := mortal.start(); err != nil {
				mortal.stage.note("%s: %v", mortal.target.ID, err)
			}
		}
	})
}

// half is an answer of which a part is sent before the target crashes.
type half struct {
	http.ResponseWriter
	crash func()
	// before is true for the control, in which it crashes before its answer begins.
	before bool
}

// WriteHeader announces more than is sent.
func (half *half) WriteHeader(status int) {
	if half.before {
		half.crash()
		panic(http.ErrAbortHandler)
	}
	if length, err := strconv.Atoi(half.Header().Get("Content-Length")); err == nil {
		half.Header().Set("Content-Length", strconv.Itoa(length+1000))
	}
	half.ResponseWriter.WriteHeader(status)
}

// Write sends the first part and crashes the target.
func (half *half) Write(data []byte) (int, error) {
	n, err := half.ResponseWriter.Write(data)
	if flusher, ok := half.ResponseWriter.(http.Flusher); ok {
		flusher.Flush()
	}
	time.Sleep(5 * time.Millisecond)
	half.crash()
	return n, err
}

// midway: a request crashes each target that runs it, in the middle of its answer, and comes again.
func midway(stage *stage, trouble bool) (int, error) {
	if err := stage.openStore(); err != nil {
		return failed, err
	}
	stage.configure(indexer.Configuration{
		Version: 7,
		Routes: []indexer.Route{
			route("due-list", "kundlist", true, 2*time.Second, time.Second, 2),
			route("job-book", "kundlist", false, 1500*time.Millisecond, time.Second, 1),
		},
		Services:      []indexer.Service{{Name: "kundlist", HealthPath: faker.HealthPath, ConnectionLimit: 360}},
		Organisations: []indexer.Organisation{{Name: "cuka620", Keys: []string{key}}},
		Limits:        kundsetuLimits,
	})
	for i := range 12 {
		address, err := freePort()
		if err != nil {
			return failed, err
		}
		target := &faker.Target{ID: fmt.Sprintf("i-list-%02d", i), Service: "kundlist", Slots: 4, ServiceTime: bookingWork}
		target.Record = func(arrival faker.Arrival) {
			stage.mutex.Lock()
			stage.arrivals = append(stage.arrivals, arrival)
			stage.mutex.Unlock()
		}
		mortal := &mortal{stage: stage, target: target, zone: kundsetuZones[i%2][0], address: address}
		if err := mortal.start(); err != nil {
			return failed, err
		}
	}
	for i := range 2 {
		vm, err := stage.addVM(fmt.Sprintf("front-%s-1", kundsetuZones[i][0]), kundsetuMachine(i), kundsetuZones[:2])
		if err != nil {
			return failed, err
		}
		go vm.supervise()
	}
	if err := stage.awaitReady(15 * time.Second); err != nil {
		return failed, err
	}
	stage.note("2 machines are ready")
	var mutex sync.Mutex
	ends := make(map[string]int)
	var outcomes []outcome
	var callers sync.WaitGroup
	stop := make(chan struct{})
	callers.Go(func() { // bookings beside
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			callers.Go(func() {
				machine := stage.vms[i%2]
				caller := &caller{address: machine.callers}
				defer caller.close()
				result := caller.send(faker.Request{Host: host, Method: "POST", Path: "/job-book/2f", Body: "tank", ID: newID(), Key: key, Remaining: 2500 * time.Millisecond})
				end := "no answer"
				if result.err == nil {
					end = strconv.Itoa(result.answer.Status)
				}
				result.vm = machine.name
				mutex.Lock()
				outcomes = append(outcomes, result)
				ends[end]++
				mutex.Unlock()
			})
		}
	})
	time.Sleep(4 * time.Second)
	path := "/due-list/2f"
	if trouble {
		path = "/due-list/culprit"
	}
	var sent []string
	for i, until := 0, time.Now().Add(culpritFor); time.Now().Before(until); i++ {
		caller := &caller{address: stage.vms[i%2].callers}
		result := caller.send(faker.Request{Host: host, Method: "GET", Path: path, ID: newID(), Key: key, Remaining: 2 * time.Second})
		caller.close()
		result.vm = stage.vms[i%2].name
		mutex.Lock()
		outcomes = append(outcomes, result)
		mutex.Unlock()
		sent = append(sent, result.request.ID)
		stage.note("caller: request %s got status %d, %v", result.request.ID, result.answer.Status, result.err)
		time.Sleep(time.Until(result.sent.Add(culpritEvery)))
	}
	close(stop)
	callers.Wait()
	stage.noteRequests(outcomes)
	ran := stage.ran()
	type run struct {
		faker.Arrival
		retry bool // the machine's: the request had reached a target before
	}
	var runs []run
	for _, id := range sent {
		arrivals := slices.Clone(ran[id])
		slices.SortFunc(arrivals, func(a, b faker.Arrival) int { return a.Begun.Compare(b.Begun) })
		for i, arrival := range arrivals {
			runs = append(runs, run{arrival, i > 0})
		}
	}
	late := 0
	if trouble && len(runs) > 3 {
		third := runs[2].Ended
		for _, run := range runs {
			if run.retry && run.Begun.After(third.Add(stability)) {
				late++
				stage.note("BUDGET: retry of request %s at %s, %.3f s after the third crash", run.ID, run.TargetID, run.Begun.Sub(third).Seconds())
			}
		}
	}
	stage.note("the request came %d times and reached targets %d times; bookings by status: %v; retries later than %s after the third crash: %d, %d are allowed",
		len(sent), len(runs), ends, stability, late, allowedLate)
	if late > allowedLate {
		return broken, nil
	}
	return held, nil
}
