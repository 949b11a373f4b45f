package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
	"godwitramp.example/platform/faker"
)

const (
	// bookings is the number of bookings that meet full targets.
	bookings = 12
	// fullTime is how long both targets are full.
	fullTime = 220 * time.Millisecond
	// farRefusal is how long the target in the other data centre takes to say that it is full.
	farRefusal = 250 * time.Millisecond
	// copyDelay is how much later than the answer its copy arrives.
	copyDelay = 460 * time.Millisecond
	// workTime is how long a target works on a request.
	workTime = 400 * time.Millisecond
	// reads is the number of reads before each booking.
	reads    = 40
	patience = 2500 * time.Millisecond
)

// playTwice sends bookings while both targets of a service are full for a moment. The near one sends
// a few of its answers a second time, late. Each booking may run once at most.
func playTwice(ctx context.Context, record *record, trouble bool) (int, error) {
	fleet, err := openFleet(record, indexer.Configuration{
		Version: 1,
		Routes: []indexer.Route{
			{Name: "book", Host: host, Prefix: "/book/", Timeout: 1500 * time.Millisecond, LatencyObjective: time.Second, Attempts: 2, Priority: 1,
				Shares: []indexer.Share{{Service: "kaambook", Weight: 1}}},
			{Name: "read", Host: host, Prefix: "/read/", Idempotent: true, Timeout: 2 * time.Second, LatencyObjective: time.Second, Attempts: 2, Priority: 2,
				Shares: []indexer.Share{{Service: "kaambook", Weight: 1}}},
		},
		Services:      []indexer.Service{{Name: "kaambook", HealthPath: "/health", ConnectionLimit: 360}},
		Organisations: []indexer.Organisation{{Name: organisation, Keys: []string{key}}},
		Limits:        indexer.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	})
	if err != nil {
		return 0, err
	}
	defer fleet.close()
	runs := &runs{}
	near := &target{Target: faker.Target{ID: "i-near", Service: "kaambook", Slots: 4, ServiceTime: workTime, Record: runs.add}}
	far := &target{Target: faker.Target{ID: "i-far", Service: "kaambook", Slots: 4, ServiceTime: workTime, Record: runs.add}, refusalDelay: farRefusal}
	if trouble {
		near.repeat = func(request *http.Request, status int) (time.Duration, bool) {
			return copyDelay, status == http.StatusServiceUnavailable && request.Method == http.MethodPost
		}
	}
	for i, target := range []*target{near, far} {
		if err := target.open(); err != nil {
			return 0, err
		}
		fleet.putTarget(placer.Target{ID: target.ID, Service: "kaambook", Address: target.listener.Addr().String(), DataCentre: dataCentres[i], Slots: 4, Incarnation: 1000})
	}
	vm, err := fleet.startVM("vm-1", dataCentres[0])
	if err != nil {
		return 0, err
	}
	if err := vm.awaitReady(ctx); err != nil {
		return 0, err
	}
	count := 0
	for i := range bookings {
		playReads(vm, i)
		for _, target := range []*target{near, far} {
			target.SetFaults(faker.TargetFaults{Full: true})
		}
		timer := time.AfterFunc(fullTime, func() {
			for _, target := range []*target{near, far} {
				target.SetFaults(faker.TargetFaults{})
			}
		})
		id := fmt.Sprintf("booking-%02d", i)
		status := sendOne(record, vm, faker.Request{Host: host, Method: http.MethodPost, Path: "/book/1", Body: "tank " + id, ID: id, Key: key, Remaining: patience})
		timer.Stop()
		time.Sleep(2 * workTime) // a target may still run it
		ran := runs.of(id)
		for _, arrival := range ran {
			record.printf("  %s reached %s at %.3f s: run=%t status=%d", id, arrival.TargetID, arrival.Begun.Sub(record.start).Seconds(), arrival.Run, arrival.Status)
		}
		n := len(slices.DeleteFunc(ran, func(arrival faker.Arrival) bool { return !arrival.Run }))
		record.printf("  %s answered %d, ran %d time(s)", id, status, n)
		switch {
		case n > 1:
			record.printf("  TWICE: %s ran %d times", id, n)
			count++
		case n > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
			record.printf("  REFUSED, which is another rule and isn't counted: %s was answered %d and has run", id, status)
		}
	}
	answers, copies := near.counts()
	record.printf("the near target sent %d answers, %d of them twice", answers, copies)
	return count, nil
}

// playReads sends the usual reads, one after the other, from a few callers.
func playReads(vm *vm, round int) {
	var group sync.WaitGroup
	for caller := range 4 {
		group.Go(func() {
			for i := range reads / 4 {
				id := fmt.Sprintf("read-%d-%d-%d", round, caller, i)
				sendOne(nil, vm, faker.Request{Host: host, Method: http.MethodGet, Path: "/read/1?work=20ms", ID: id, Key: key, Remaining: patience})
			}
		})
	}
	group.Wait()
}

// sendOne sends a request on a connection of its own and returns the status, 0 without an answer.
func sendOne(record *record, vm *vm, request faker.Request) int {
	connection, err := net.DialTimeout("tcp", vm.callers, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = connection.Close() }()
	if record != nil {
		record.printf("%s is sent: %s %s", request.ID, request.Method, request.Path)
	}
	if err := request.Write(connection); err != nil {
		return 0
	}
	_ = connection.SetReadDeadline(time.Now().Add(request.Remaining + 500*time.Millisecond))
	answer, err := faker.ReadAnswer(bufio.NewReader(connection))
	if err != nil {
		return 0
	}
	if record != nil {
		record.printf("%s is answered %d, by target %q", request.ID, answer.Status, answer.TargetID)
	}
	return answer.Status
}

// runs holds the arrivals at all targets.
type runs struct {
	mutex    sync.Mutex
	arrivals []faker.Arrival
}

func (runs *runs) add(arrival faker.Arrival) {
	runs.mutex.Lock()
	defer runs.mutex.Unlock()
	runs.arrivals = append(runs.arrivals, arrival)
}

func (runs *runs) of(id string) []faker.Arrival {
	runs.mutex.Lock()
	defer runs.mutex.Unlock()
	var found []faker.Arrival
	for _, arrival := range runs.arrivals {
		if arrival.ID == id {
			found = append(found, arrival)
		}
	}
	return found
}
