package runner

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"godwitramp.example/core/placer"
	"godwitramp.example/platform"
	"godwitramp.example/platform/faker"
	"godwitramp.example/shell/timer"
	"godwitramp.example/soak/internal/auditor"
	"godwitramp.example/soak/internal/relayer"
)

const (
	targetSlots = 4
	targetWork  = 20 * time.Millisecond
	// entryTimeout is how long the store keeps the entry of a target that has
	// crashed: three times the second between two of its reports.
	entryTimeout = 3 * time.Second
	// reuseAfter is how soon another target may get the address.
	addressReuseDelay = 2 * time.Second
	// departTimeout is how long a target that leaves goes on serving, long enough
	// for late requests to be seen.
	leavingServeTime = 3 * leaving
	// tellAhead is how much sooner some targets say in their answers that they leave
	// than the store does.
	announceLead = leaving + 1500*time.Millisecond
)

// place is an address at which one target after another serves.
type endpoint struct {
	runner  *Runner
	index   int
	address string
	// way is what VMs connect to.
	link *relayer.Relayer

	// changing is held while the target is replaced.
	replacing sync.Mutex
	mutex     sync.Mutex
	target    *faker.Target
	starts    int
	// born is when the present target started.
	startedAt time.Time
	server    *http.Server
}

func (endpoint *endpoint) open(ctx context.Context, group *sync.WaitGroup) error {
	network := &endpoint.runner.network
	endpoint.address = network.address(endpointHosts, endpoint.index, basePort)
	listener, err := net.Listen("tcp", endpoint.address)
	if err != nil {
		return fmt.Errorf("open address of a target: %w", err)
	}
	endpoint.link = &relayer.Relayer{Listener: listener, To: network.address(targetHosts, endpoint.index, basePort)}
	group.Go(func() { endpoint.link.Run(ctx) })
	context.AfterFunc(ctx, endpoint.close)
	return endpoint.start(services[endpoint.index%len(services)])
}

// start starts a new target of a service and enters it in the store.
func (endpoint *endpoint) start(service string) error {
	listener, err := net.Listen("tcp", endpoint.link.To)
	if err != nil {
		return fmt.Errorf("start target: %w", err)
	}
	endpoint.mutex.Lock()
	endpoint.starts++
	target := &faker.Target{
		ID: fmt.Sprintf("i-%03d-%d", endpoint.index, endpoint.starts), Service: service, Slots: targetSlots, Work: targetWork,
		Record: endpoint.runner.addArrival,
	}
	server := &http.Server{Handler: target, ReadHeaderTimeout: time.Minute}
	endpoint.target, endpoint.server, endpoint.startedAt = target, server, time.Now()
	endpoint.mutex.Unlock()
	go func() { _ = server.Serve(listener) }() // ends with close
	endpoint.writeEntry(target, false)
	return nil
}

// enter writes the target's entry.
func (endpoint *endpoint) writeEntry(target *faker.Target, leaving bool) {
	endpoint.mutex.Lock()
	startedAt := endpoint.startedAt
	endpoint.mutex.Unlock()
	endpoint.runner.store.Put(platform.TargetTable, "", target.ID, faker.EncodeTarget(placer.Target{
		ID: target.ID, Service: target.Service, Address: endpoint.address, Slots: target.Slots, Leaving: leaving,
		DataCentre: dataCentres[endpoint.index%len(dataCentres)], Incarnation: startedAt.UnixMilli(),
	}))
}

// close ends the target at once.
func (endpoint *endpoint) close() {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	_ = endpoint.server.Close()
}

func (endpoint *endpoint) current() *faker.Target {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	return endpoint.target
}

// leave takes the target away as planned and starts another.
func (endpoint *endpoint) replaceAsPlanned(ctx context.Context) {
	endpoint.replacing.Lock()
	defer endpoint.replacing.Unlock()
	target := endpoint.current()
	target.Leave()
	if endpoint.index%2 == 1 && !timer.Sleep(ctx, announceLead) {
		return
	}
	endpoint.writeEntry(target, true)
	endpoint.runner.mutex.Lock()
	endpoint.runner.record.Departures = append(endpoint.runner.record.Departures,
		auditor.Departure{TargetID: target.ID, Acknowledged: time.Now()})
	endpoint.runner.mutex.Unlock()
	if !timer.Sleep(ctx, leavingServeTime) {
		return
	}
	defer endpoint.runner.beginDisturbance(target.ID)()
	endpoint.close()
	endpoint.runner.store.Delete(platform.TargetTable, "", target.ID)
	endpoint.startReplacement(target.Service)
}

// crash ends the target at once; its entry stays for a while. Another target, of
// the given service, gets the address after a pause.
func (endpoint *endpoint) crash(ctx context.Context, after time.Duration, service string) {
	endpoint.replacing.Lock()
	defer endpoint.replacing.Unlock()
	target := endpoint.current()
	defer endpoint.runner.beginDisturbance(target.ID)()
	endpoint.close()
	if !timer.Sleep(ctx, after) {
		return
	}
	endpoint.startReplacement(service)
	if !timer.Sleep(ctx, entryTimeout-after) {
		return
	}
	endpoint.runner.store.Delete(platform.TargetTable, "", target.ID)
}

func (endpoint *endpoint) startReplacement(service string) {
	if err := endpoint.start(service); err != nil {
		endpoint.runner.addViolation("starts", "%v", err)
	}
}

// spoil sets faults of the target for a while.
func (endpoint *endpoint) injectFaults(ctx context.Context, faults faker.TargetFaults, duration time.Duration) {
	target := endpoint.current()
	defer endpoint.runner.beginDisturbance(target.ID)()
	target.SetFaults(faults)
	timer.Sleep(ctx, duration)
	target.SetFaults(faker.TargetFaults{})
}

// hinder sets trouble on the way to the target for a while.
func (endpoint *endpoint) disruptLink(ctx context.Context, faults relayer.Faults, duration time.Duration) {
	target := endpoint.current()
	defer endpoint.runner.beginDisturbance(target.ID)()
	defer endpoint.runner.beginDisturbance(auditor.LinkTo(target.ID))()
	endpoint.link.SetFaults(faults)
	timer.Sleep(ctx, duration)
	endpoint.link.SetFaults(relayer.Faults{})
}
