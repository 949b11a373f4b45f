package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
	"godwitramp.example/platform"
	"godwitramp.example/platform/faker"
)

const (
	// withdrawal is the bound Revocation.
	withdrawal = 5 * time.Second
	// withdrawnKey is taken away during the case.
	withdrawnKey = "withdrawn-key-of-the-crews"
	// storeAway is how long the store is away before it comes back from the copy.
	storeAway = time.Second
	// rewriteDelay is how long after that the operator writes the newest configuration again.
	rewriteDelay = time.Second
	// restartDelay is how long after its end a process is started again.
	restartDelay = 200 * time.Millisecond
	// callers is the number of callers that use the withdrawn key.
	callers = 8
)

// playWithdrawn takes a key away, has the store come back from a copy from before that, and kills
// one VM. No request with the key that is sent later than withdrawal after the acknowledgement may
// run.
func playWithdrawn(ctx context.Context, record *record, trouble bool) (int, error) {
	configuration := indexer.Configuration{
		Version: 10,
		Routes: []indexer.Route{
			{Name: "read", Host: host, Prefix: "/read/", Idempotent: true, Timeout: 2 * time.Second, LatencyObjective: time.Second, Attempts: 2, Priority: 2,
				Shares: []indexer.Share{{Service: "kundlist", Weight: 1}}},
		},
		Services:      []indexer.Service{{Name: "kundlist", HealthPath: "/health", ConnectionLimit: 360}},
		Organisations: []indexer.Organisation{{Name: organisation, Keys: []string{key, withdrawnKey}}},
		Limits:        indexer.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	fleet, err := openFleet(record, configuration)
	if err != nil {
		return 0, err
	}
	defer fleet.close()
	runs := &runs{}
	for i := range 2 {
		target := &target{Target: faker.Target{ID: fmt.Sprint("i-", i), Service: "kundlist", Slots: 4, ServiceTime: 20 * time.Millisecond, Record: runs.add}}
		if err := target.open(); err != nil {
			return 0, err
		}
		fleet.putTarget(placer.Target{ID: target.ID, Service: "kundlist", Address: target.listener.Addr().String(), DataCentre: dataCentres[i], Slots: 4, Incarnation: 1000})
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	balancer := &balancer{}
	for i := range 2 {
		vm, err := fleet.startVM(fmt.Sprint("vm-", i), dataCentres[0])
		if err != nil {
			return 0, err
		}
		if err := vm.awaitReady(ctx); err != nil {
			return 0, err
		}
		balancer.vms = append(balancer.vms, vm)
	}
	go balancer.run(ctx)

	var group sync.WaitGroup
	sent := &sent{}
	for caller := range callers {
		group.Go(func() { sent.play(ctx, caller, balancer) })
	}
	time.Sleep(2 * time.Second)
	copied := fleet.store.Snapshot()
	record.printf("the store makes a copy; r10 is in force, with both keys")
	time.Sleep(time.Second)
	configuration.Version = 12
	configuration.Organisations = []indexer.Organisation{{Name: organisation, Keys: []string{key}}}
	value := faker.EncodeConfiguration(configuration)
	fleet.store.Put(platform.ConfigurationTable, "", platform.ConfigurationKey, value)
	acknowledged := time.Now()
	record.printf("r12 is acknowledged: it takes a key away")
	time.Sleep(withdrawal + time.Second)
	if trouble {
		record.printf("the store goes away")
		fleet.store.SetFaults(faker.Faults{Refuse: http.StatusServiceUnavailable})
	}
	back := time.Now().Add(storeAway)
	time.Sleep(storeAway / 4)
	record.printf("vm-0 is killed")
	fleet.vms[0].kill()
	time.Sleep(restartDelay)
	if err := fleet.vms[0].start(); err != nil {
		return 0, err
	}
	record.printf("vm-0 is started again")
	time.Sleep(time.Until(back))
	if trouble {
		fleet.store.Restore(copied)
		fleet.store.SetFaults(faker.Faults{})
		record.printf("the store is back from a copy of before r12")
	}
	restored := time.Now()
	time.Sleep(time.Until(restored.Add(rewriteDelay)))
	if trouble {
		fleet.store.Put(platform.ConfigurationTable, "", platform.ConfigurationKey, value)
		record.printf("the operator has written r12 again")
	}
	time.Sleep(4 * time.Second)
	cancel()
	group.Wait()
	time.Sleep(200 * time.Millisecond)
	slices.SortFunc(sent.all, func(a, b sentRequest) int { return a.at.Compare(b.at) })
	count := 0
	for _, request := range sent.all {
		ran := slices.ContainsFunc(runs.of(request.id), func(arrival faker.Arrival) bool { return arrival.Run })
		record.printf("%s with the withdrawn key, sent at %.3f s to %s, %.3f s after the acknowledgement: answered %d, ran: %t",
			request.id, request.at.Sub(record.start).Seconds(), request.vm, request.at.Sub(acknowledged).Seconds(), request.status, ran)
		if ran && request.at.Sub(acknowledged) > withdrawal {
			record.printf("  CONFIG: %s ran %.3f s after the key was taken away", request.id, request.at.Sub(acknowledged).Seconds())
			count++
		}
	}
	return count, nil
}

// sent holds the requests with the withdrawn key.
type sent struct {
	mutex sync.Mutex
	all   []sentRequest
}

type sentRequest struct {
	id, vm string
	at     time.Time
	status int
}

// play sends a request with each key in turn, each on a new connection, until the context ends.
func (sent *sent) play(ctx context.Context, caller int, balancer *balancer) {
	for i := 0; ctx.Err() == nil; i++ {
		vm := balancer.pick()
		sendOne(nil, vm, faker.Request{Host: host, Method: http.MethodGet, Path: "/read/1", ID: fmt.Sprintf("good-%d-%d", caller, i), Key: key, Remaining: patience})
		vm = balancer.pick()
		request := sentRequest{id: fmt.Sprintf("old-%d-%d", caller, i), vm: vm.name, at: time.Now()}
		request.status = sendOne(nil, vm, faker.Request{Host: host, Method: http.MethodGet, Path: "/read/1", ID: request.id, Key: withdrawnKey, Remaining: patience})
		sent.mutex.Lock()
		sent.all = append(sent.all, request)
		sent.mutex.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
}
