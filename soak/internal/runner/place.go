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
	slots = 4
	work  = 20 * time.Millisecond
	// entryTimeout is how long the store keeps the entry of a target that has
	// crashed: three times the second between two of its reports.
	entryTimeout = 3 * time.Second
	// reuseAfter is how soon another target may get the address.
	reuseAfter = 2 * time.Second
	// departTimeout is how long a target that leaves goes on serving, long enough
	// for late requests to be seen.
	departTimeout = 3 * leaving
	// tellAhead is how much sooner some targets say in their answers that they leave
	// than the store does.
	tellAhead = leaving + 1500*time.Millisecond
)

// place is an address at which one target after another serves.
type place struct {
	runner  *Runner
	number  int
	address string
	// way is what VMs connect to.
	way *relayer.Relayer

	// changing is held while the target is replaced.
	changing sync.Mutex
	mutex    sync.Mutex
	target   *faker.Target
	starts   int
	// born is when the present target started.
	born   time.Time
	server *http.Server
}

func (place *place) open(ctx context.Context, group *sync.WaitGroup) error {
	network := &place.runner.network
	place.address = network.address(placeHosts, place.number, port)
	listener, err := net.Listen("tcp", place.address)
	if err != nil {
		return fmt.Errorf("open address of a target: %w", err)
	}
	place.way = &relayer.Relayer{Listener: listener, To: network.address(backHosts, place.number, port)}
	group.Go(func() { place.way.Run(ctx) })
	context.AfterFunc(ctx, place.close)
	return place.start(services[place.number%len(services)])
}

// start starts a new target of a service and enters it in the store.
func (place *place) start(service string) error {
	listener, err := net.Listen("tcp", place.way.To)
	if err != nil {
		return fmt.Errorf("start target: %w", err)
	}
	place.mutex.Lock()
	place.starts++
	target := &faker.Target{
		ID: fmt.Sprintf("i-%03d-%d", place.number, place.starts), Service: service, Slots: slots, Work: work,
		Record: place.runner.addArrival,
	}
	server := &http.Server{Handler: target, ReadHeaderTimeout: time.Minute}
	place.target, place.server, place.born = target, server, time.Now()
	place.mutex.Unlock()
	go func() { _ = server.Serve(listener) }() // ends with close
	place.enter(target, false)
	return nil
}

// enter writes the target's entry.
func (place *place) enter(target *faker.Target, leaving bool) {
	place.mutex.Lock()
	born := place.born
	place.mutex.Unlock()
	place.runner.store.Put(platform.TargetTable, "", target.ID, faker.EncodeTarget(placer.Target{
		ID: target.ID, Service: target.Service, Address: place.address, Slots: target.Slots, Leaving: leaving,
		DataCentre: dataCentres[place.number%len(dataCentres)], Incarnation: born.UnixMilli(),
	}))
}

// close ends the target at once.
func (place *place) close() {
	place.mutex.Lock()
	defer place.mutex.Unlock()
	_ = place.server.Close()
}

func (place *place) current() *faker.Target {
	place.mutex.Lock()
	defer place.mutex.Unlock()
	return place.target
}

// leave takes the target away as planned and starts another.
func (place *place) leave(ctx context.Context) {
	place.changing.Lock()
	defer place.changing.Unlock()
	target := place.current()
	target.Leave()
	if place.number%2 == 1 && !timer.Sleep(ctx, tellAhead) {
		return
	}
	place.enter(target, true)
	place.runner.mutex.Lock()
	place.runner.record.Departures = append(place.runner.record.Departures,
		auditor.Departure{TargetID: target.ID, Acknowledged: time.Now()})
	place.runner.mutex.Unlock()
	if !timer.Sleep(ctx, departTimeout) {
		return
	}
	defer place.runner.disturb(target.ID)()
	place.close()
	place.runner.store.Delete(platform.TargetTable, "", target.ID)
	place.startAgain(target.Service)
}

// crash ends the target at once; its entry stays for a while. Another target, of
// the given service, gets the address after a pause.
func (place *place) crash(ctx context.Context, after time.Duration, service string) {
	place.changing.Lock()
	defer place.changing.Unlock()
	target := place.current()
	defer place.runner.disturb(target.ID)()
	place.close()
	if !timer.Sleep(ctx, after) {
		return
	}
	place.startAgain(service)
	if !timer.Sleep(ctx, entryTimeout-after) {
		return
	}
	place.runner.store.Delete(platform.TargetTable, "", target.ID)
}

func (place *place) startAgain(service string) {
	if err := place.start(service); err != nil {
		place.runner.violate("starts", "%v", err)
	}
}

// spoil sets faults of the target for a while.
func (place *place) spoil(ctx context.Context, faults faker.TargetFaults, duration time.Duration) {
	target := place.current()
	defer place.runner.disturb(target.ID)()
	target.SetFaults(faults)
	timer.Sleep(ctx, duration)
	target.SetFaults(faker.TargetFaults{})
}

// hinder sets trouble on the way to the target for a while.
func (place *place) hinder(ctx context.Context, trouble relayer.Trouble, duration time.Duration) {
	target := place.current()
	defer place.runner.disturb(target.ID)()
	defer place.runner.disturb(auditor.WayTo(target.ID))()
	place.way.Set(trouble)
	timer.Sleep(ctx, duration)
	place.way.Set(relayer.Trouble{})
}
