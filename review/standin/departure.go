package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
	"godwitramp.example/platform"
	"godwitramp.example/platform/faker"
)

const (
	// drain is the bound Drain, and heartbeatInterval that of the settings.
	drain             = 2 * time.Second
	heartbeatInterval = 1500 * time.Millisecond
	// reportDelay is the time from the heartbeat that gets no answer to the report that the target
	// drains, and lateness how much later than it was sent that heartbeat is performed.
	reportDelay = 3600 * time.Millisecond
	lateness    = 6 * time.Second
	// bookingTime is how long a target works on a booking.
	bookingTime = 260 * time.Millisecond
	// bookers is the number of callers that book one after the other.
	bookers = 10
	// refusedPause is how long a caller waits after a refusal.
	refusedPause = 300 * time.Millisecond
)

// departure is how an entry of a target that leaves is written by mistake.
type departure struct {
	// serves is how long the target serves after the store has accepted its report.
	serves time.Duration
	// unanswered is true if the entry is a heartbeat that got no answer when it was sent.
	unanswered bool
	// mistakeAfter is how much later than the report the mistaken entry is written.
	mistakeAfter time.Duration
	// mistake returns the entry, and says what it is.
	mistake func(target placer.Target) ([]byte, string, error)
}

// playForeign has a target leave, as planned, while another writer puts an entry of its ID that lacks
// a field, which names no target to use.
func playForeign(ctx context.Context, record *record, trouble bool) (int, error) {
	return departure{
		serves: 3050 * time.Millisecond, mistakeAfter: 2500 * time.Millisecond,
		mistake: func(target placer.Target) ([]byte, string, error) {
			value, err := entry(target, 3, "Version")
			return value, "another writer writes the entry of i-0, without a field", err
		},
	}.play(ctx, record, trouble)
}

// playLate has a target leave, as planned. The store has lost the answer to one of its heartbeats from
// before, and performs that seconds later.
func playLate(ctx context.Context, record *record, trouble bool) (int, error) {
	return departure{
		serves: lateness - reportDelay + 300*time.Millisecond, unanswered: true, mistakeAfter: lateness - reportDelay,
		mistake: func(target placer.Target) ([]byte, string, error) {
			value, err := entry(target, 3)
			return value, fmt.Sprintf("the store performs the heartbeat of i-0 that it did not answer %s before", lateness), err
		},
	}.play(ctx, record, trouble)
}

// play returns how many requests reached the target later than drain after its report.
func (departure departure) play(ctx context.Context, record *record, trouble bool) (int, error) {
	fleet, err := openFleet(record, indexer.Configuration{
		Version: 1,
		Routes: []indexer.Route{
			{Name: "book", Host: host, Prefix: "/book/", Timeout: 1500 * time.Millisecond, LatencyObjective: time.Second, Attempts: 2, Priority: 1,
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
	targets := make([]*target, 3)
	entries := make([]placer.Target, len(targets))
	for i := range targets {
		targets[i] = &target{Target: faker.Target{ID: fmt.Sprint("i-", i), Service: "kaambook", Slots: 4, ServiceTime: bookingTime, Record: runs.add}}
		if err := targets[i].open(); err != nil {
			return 0, err
		}
		entries[i] = placer.Target{ID: targets[i].ID, Service: "kaambook", Address: targets[i].listener.Addr().String(), DataCentre: dataCentres[0], Slots: 4, Incarnation: 1000}
		value, err := entry(entries[i], 1)
		if err != nil {
			return 0, err
		}
		fleet.store.Put(platform.TargetTable, "", entries[i].ID, value)
	}
	vm, err := fleet.startVM("vm-1", dataCentres[0])
	if err != nil {
		return 0, err
	}
	if err := vm.awaitReady(ctx); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	booked := &sent{}
	for booker := range bookers {
		group.Go(func() { booked.book(ctx, booker, vm) })
	}
	time.Sleep(2 * time.Second)

	leaving := entries[0]
	leaving.Leaving = true
	mistaken, what, err := departure.mistake(entries[0])
	if err != nil {
		return 0, err
	}
	sequence := 5
	beat := func() error { // writes the entry if more than its number changes
		value, err := entry(leaving, sequence)
		sequence++
		if current := fleet.store.Row(platform.TargetTable, "", leaving.ID); err == nil && state(current) != state(value) {
			fleet.store.Put(platform.TargetTable, "", leaving.ID, value)
			record.printf("the heartbeat of i-0 changes its entry: %s", value)
		}
		return err
	}
	if trouble && departure.unanswered {
		record.printf("the third heartbeat of i-0, which says ready, gets no answer")
	}
	time.Sleep(reportDelay)
	if err := beat(); err != nil {
		return 0, err
	}
	reported := time.Now()
	record.printf("i-0 has reported that it drains; acknowledged")
	beats := time.NewTicker(heartbeatInterval)
	defer beats.Stop()
	mistakeAt, exitAt := time.After(departure.mistakeAfter), time.After(departure.serves)
	for left := false; !left; {
		select {
		case <-beats.C:
			if err := beat(); err != nil {
				return 0, err
			}
		case <-mistakeAt:
			if trouble {
				fleet.store.Put(platform.TargetTable, "", leaving.ID, mistaken)
				record.printf("%s: %s", what, mistaken)
			}
		case <-exitAt:
			targets[0].exit()
			fleet.store.Delete(platform.TargetTable, "", leaving.ID)
			record.printf("i-0 has exited, and its entry is gone")
			left = true
		}
	}
	time.Sleep(2 * time.Second)
	cancel()
	group.Wait()
	time.Sleep(2 * bookingTime)
	count, lost := 0, 0
	for _, request := range booked.all {
		for _, arrival := range runs.of(request.id) {
			if late := arrival.Begun.Sub(reported); arrival.TargetID == leaving.ID && late > drain && arrival.Status != http.StatusMisdirectedRequest {
				count++
				if request.status != http.StatusOK {
					lost++
				}
				record.printf("DRAIN: %s reached i-0 %.3f s after its report, and was answered %d", request.id, late.Seconds(), request.status)
			}
		}
	}
	record.printf("%d bookings, %d reached i-0 too late, %d of these were not answered with success", len(booked.all), count, lost)
	return count, nil
}

// entry returns the entry of a target, the sequence-th that it writes, without some fields.
func entry(target placer.Target, sequence int, without ...string) ([]byte, error) {
	var fields map[string]any
	if err := json.Unmarshal(faker.EncodeTarget(target), &fields); err != nil {
		return nil, fmt.Errorf("decode entry: %w", err)
	}
	fields["Sequence"] = sequence
	for _, name := range without {
		delete(fields, name)
	}
	return json.Marshal(fields)
}

// state returns the state that an entry names. One that lacks Version names none.
func state(value []byte) string {
	var fields struct{ State, Version string }
	if json.Unmarshal(value, &fields) != nil || fields.Version == "" {
		return ""
	}
	return fields.State
}

// book sends bookings one after the other until the context ends.
func (sent *sent) book(ctx context.Context, booker int, vm *vm) {
	for i := 0; ctx.Err() == nil; i++ {
		request := sentRequest{id: fmt.Sprintf("booking-%d-%d", booker, i), vm: vm.name, at: time.Now()}
		request.status = sendOne(nil, vm, faker.Request{Host: host, Method: http.MethodPost, Path: "/book/1", Body: request.id, ID: request.id, Key: key, Remaining: patience})
		sent.mutex.Lock()
		sent.all = append(sent.all, request)
		sent.mutex.Unlock()
		if request.status == http.StatusServiceUnavailable {
			time.Sleep(refusedPause)
		}
	}
}
