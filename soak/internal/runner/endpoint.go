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
	targetSlots       = 4
	targetServiceTime = 20 * time.Millisecond
	// entryTimeout is how long the store keeps the entry of a crashed target: three
	// of its heartbeat periods of one second.
	entryTimeout = 3 * time.Second
	// addressReuseDelay is how long after a crash another target gets the address.
	addressReuseDelay = 2 * time.Second
	// leavingServeTime is how long a leaving target continues to serve, long enough to
	// observe requests that arrive too late.
	leavingServeTime = 3 * leaving
	// announceLead is how much earlier than the store some targets announce, in their
	// answers, that they leave.
	announceLead = leaving + 1500*time.Millisecond
)

// endpoint is an address at which targets serve one after another.
type endpoint struct {
	runner  *Runner
	index   int
	address string
	// link is the relayer that VMs connect to.
	link *relayer.Relayer

	// replacing is held while the target is replaced.
	replacing sync.Mutex
	mutex     sync.Mutex
	target    *faker.Target
	starts    int
	// startedAt is when the current target started.
	startedAt time.Time
	server    *http.Server
}

// open starts the relayer and the first target.
func (endpoint *endpoint) open(ctx context.Context, group *sync.WaitGroup) error {
	network := &endpoint.runner.network
	endpoint.address = network.address(endpointHosts, endpoint.index, basePort)
	listener, err := net.Listen("tcp", endpoint.address)
	if err != nil {
		return fmt.Errorf("listen on the address of a target: %w", err)
	}
	endpoint.link = &relayer.Relayer{Listener: listener, To: network.address(targetHosts, endpoint.index, basePort)}
	group.Go(func() { endpoint.link.Run(ctx) })
	context.AfterFunc(ctx, endpoint.close)
	return endpoint.start(services[endpoint.index%len(services)])
}

// start starts a new target of the service and writes its entry to the store.
func (endpoint *endpoint) start(service string) error {
	listener, err := net.Listen("tcp", endpoint.link.To)
	if err != nil {
		return fmt.Errorf("start target: %w", err)
	}
	endpoint.mutex.Lock()
	endpoint.starts++
	target := &faker.Target{
		ID: fmt.Sprintf("i-%03d-%d", endpoint.index, endpoint.starts), Service: service, Slots: targetSlots, ServiceTime: targetServiceTime,
		Record: endpoint.runner.addArrival,
	}
	server := &http.Server{Handler: target, ReadHeaderTimeout: time.Minute}
	endpoint.target, endpoint.server, endpoint.startedAt = target, server, time.Now()
	endpoint.mutex.Unlock()
	go func() { _ = server.Serve(listener) }() // ends with close
	endpoint.writeEntry(target, false)
	return nil
}

// writeEntry writes the entry of the target to the store.
func (endpoint *endpoint) writeEntry(target *faker.Target, leaving bool) {
	endpoint.mutex.Lock()
	startedAt := endpoint.startedAt
	endpoint.mutex.Unlock()
	endpoint.runner.store.Put(platform.TargetTable, "", target.ID, faker.EncodeTarget(placer.Target{
		ID: target.ID, Service: target.Service, Address: endpoint.address, Slots: target.Slots, Leaving: leaving,
		DataCentre: dataCentres[endpoint.index%len(dataCentres)], Incarnation: startedAt.UnixMilli(),
	}))
}

// close stops the target at once.
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

// replaceAsPlanned makes the target leave as planned and starts another one. Targets at
// odd indices announce in their answers that they leave, announceLead before their entry
// in the store says so.
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

// crash stops the target at once. Another target, of the given service, gets the
// address after a pause; the entry of the first is deleted after entryTimeout.
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

// startReplacement starts another target and reports a violation if that fails.
func (endpoint *endpoint) startReplacement(service string) {
	if err := endpoint.start(service); err != nil {
		endpoint.runner.addViolation("starts", "%v", err)
	}
}

// injectFaults sets faults of the target for the duration.
func (endpoint *endpoint) injectFaults(ctx context.Context, faults faker.TargetFaults, duration time.Duration) {
	target := endpoint.current()
	defer endpoint.runner.beginDisturbance(target.ID)()
	target.SetFaults(faults)
	timer.Sleep(ctx, duration)
	target.SetFaults(faker.TargetFaults{})
}

// disruptLink sets faults of the link to the target for the duration.
func (endpoint *endpoint) disruptLink(ctx context.Context, faults relayer.Faults, duration time.Duration) {
	target := endpoint.current()
	defer endpoint.runner.beginDisturbance(target.ID)()
	defer endpoint.runner.beginDisturbance(auditor.LinkTo(target.ID))()
	endpoint.link.SetFaults(faults)
	timer.Sleep(ctx, duration)
	endpoint.link.SetFaults(relayer.Faults{})
}
