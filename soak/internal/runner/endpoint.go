package runner

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
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
	// heartbeatPeriod is the time between two writes of the entry of a target whose coldness changes.
	heartbeatPeriod = 1500 * time.Millisecond
	// addressReuseDelay is how long after a crash another target gets the address.
	addressReuseDelay = 2 * time.Second
	// restartTime is how long a target is down that starts again under another ID.
	restartTime = 200 * time.Millisecond
	// crashedTime is how long a target is down after a request has crashed it.
	crashedTime = 2 * time.Second
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
	// coldUntil is until when the current target is cold.
	coldUntil time.Time
	server    *http.Server
	listener  net.Listener

	// entryMutex is held while an entry is written or deleted.
	entryMutex sync.Mutex
	// leaving is true if the entry of the current target says that it leaves.
	leaving bool
	// sequence is the number of the entry of the current target, and reportsCold whether that says that it is cold.
	sequence    int64
	reportsCold bool
	// gone holds the IDs of earlier targets, and of the current one once it has crashed.
	gone []string
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
	if endpoint.runner.Plan.HasWarmups() {
		group.Go(func() { endpoint.sendHeartbeats(ctx) })
	}
	return endpoint.start(ctx, services[endpoint.index%len(services)])
}

// start starts a new target of the service and writes its entry to the store.
func (endpoint *endpoint) start(ctx context.Context, service string) error {
	listener, err := net.Listen("tcp", endpoint.link.To)
	if err != nil {
		return fmt.Errorf("start target: %w", err)
	}
	endpoint.entryMutex.Lock() // no heartbeat before the first entry
	defer endpoint.entryMutex.Unlock()
	endpoint.mutex.Lock()
	endpoint.starts++
	target := &faker.Target{
		ID: fmt.Sprintf("i-%03d-%d", endpoint.index, endpoint.starts), Service: service, Slots: targetSlots, ServiceTime: targetServiceTime,
		Record: func(arrival faker.Arrival) {
			endpoint.runner.update(func(record *auditor.Record) { record.Arrivals = append(record.Arrivals, arrival) })
		},
	}
	if endpoint.runner.Plan.HasWarmups() {
		target.Warmup = endpoint.warmup
	}
	target.Crash = sync.OnceFunc(func() { endpoint.crashAtOnce(ctx, target) })
	target.HidesCrashes = endpoint.runner.Plan.Silences()
	target.CopiesMisdirected = endpoint.runner.Plan.Strays()
	server := &http.Server{Handler: target, ReadHeaderTimeout: time.Minute, ConnContext: faker.KeepConnection}
	endpoint.target, endpoint.server, endpoint.listener, endpoint.startedAt = target, server, listener, time.Now()
	endpoint.mutex.Unlock()
	if endpoint.runner.Plan.HasWarmups() {
		endpoint.becomeCold()
	}
	endpoint.runner.addPlace(target.ID, endpoint.dataCentre())
	endpoint.link.SetDown(false)
	if endpoint.runner.Plan.Silences() {
		if err := endpoint.link.SetSilent(false); err != nil {
			return fmt.Errorf("start target: %w", err)
		}
	}
	go func() { _ = server.Serve(listener) }() // ends with close
	endpoint.leaving, endpoint.sequence = false, 0
	endpoint.putEntry(target)
	return nil
}

// writeLeaving writes to the store that the current target leaves.
func (endpoint *endpoint) writeLeaving(target *faker.Target) {
	endpoint.entryMutex.Lock()
	defer endpoint.entryMutex.Unlock()
	endpoint.leaving = true
	endpoint.putEntry(target)
}

// sendHeartbeats writes the entry at regular times until the context ends.
func (endpoint *endpoint) sendHeartbeats(ctx context.Context) {
	for timer.Sleep(ctx, heartbeatPeriod) {
		endpoint.sendHeartbeat()
	}
}

// sendHeartbeat writes the entry of the current target, unless the target is gone or the entry would say nothing new.
func (endpoint *endpoint) sendHeartbeat() {
	endpoint.entryMutex.Lock()
	defer endpoint.entryMutex.Unlock()
	target := endpoint.current()
	if !slices.Contains(endpoint.gone, target.ID) && (endpoint.reportsCold || endpoint.warmup() > 0) {
		endpoint.putEntry(target)
	}
}

// becomeCold makes the current target cold.
func (endpoint *endpoint) becomeCold() {
	endpoint.mutex.Lock()
	now := time.Now()
	endpoint.coldUntil = now.Add(warmupTime)
	span := auditor.ColdSpan{TargetID: endpoint.target.ID, From: now, Until: endpoint.coldUntil}
	endpoint.mutex.Unlock()
	endpoint.runner.update(func(record *auditor.Record) { record.ColdSpans = append(record.ColdSpans, span) })
}

// makeCold makes the current target cold again. It reports that at once, or with its next heartbeat.
func (endpoint *endpoint) makeCold(reports bool) {
	endpoint.becomeCold()
	if reports {
		endpoint.sendHeartbeat()
	}
}

// warmup returns how much longer the current target is cold.
func (endpoint *endpoint) warmup() time.Duration {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	return max(0, time.Until(endpoint.coldUntil))
}

// putEntry writes the entry of a target. The entryMutex must be held.
func (endpoint *endpoint) putEntry(target *faker.Target) {
	if endpoint.sequence == 0 || endpoint.runner.Plan.HasWarmups() {
		endpoint.sequence++
	}
	endpoint.reportsCold = endpoint.warmup() > 0
	store := &endpoint.runner.store
	store.write(func() { store.Put(platform.TargetTable, "", target.ID, endpoint.entry(target)) })
}

// dataCentre returns that of the endpoint's targets.
func (endpoint *endpoint) dataCentre() string { return dataCentres[endpoint.index%len(dataCentres)] }

// entry returns the entry of the current target. The entryMutex must be held.
func (endpoint *endpoint) entry(target *faker.Target) []byte {
	warmup := endpoint.warmup()
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	return faker.EncodeEntry(placer.Target{
		ID: target.ID, Service: target.Service, Address: endpoint.address, Slots: target.Slots, Leaving: endpoint.leaving,
		DataCentre: endpoint.dataCentre(), Incarnation: endpoint.startedAt.UnixMilli(),
		Warmup: warmup,
	}, endpoint.sequence)
}

// rewriteEntry writes the entry of the current target again, unless the target is gone or,
// if onlyChanged is true, the store has the entry.
func (endpoint *endpoint) rewriteEntry(onlyChanged bool) {
	endpoint.entryMutex.Lock()
	defer endpoint.entryMutex.Unlock()
	target := endpoint.current()
	if slices.Contains(endpoint.gone, target.ID) {
		return
	}
	inStore := bytes.Equal(endpoint.runner.store.Row(platform.TargetTable, "", target.ID), endpoint.entry(target))
	if !onlyChanged || !inStore {
		endpoint.putEntry(target)
	}
}

// endEntry notes that a target has ended, so that its entry isn't written again.
func (endpoint *endpoint) endEntry(targetID string) {
	endpoint.entryMutex.Lock()
	defer endpoint.entryMutex.Unlock()
	endpoint.gone = append(endpoint.gone, targetID)
}

// deleteEntry deletes the entry of a target that has ended.
func (endpoint *endpoint) deleteEntry(targetID string) {
	store := &endpoint.runner.store
	store.write(func() { store.Delete(platform.TargetTable, "", targetID) })
}

// deleteOldEntries deletes entries of targets that have ended, which a restore has brought
// back.
func (endpoint *endpoint) deleteOldEntries() {
	endpoint.entryMutex.Lock()
	defer endpoint.entryMutex.Unlock()
	for _, targetID := range endpoint.gone {
		if endpoint.runner.store.Row(platform.TargetTable, "", targetID) != nil {
			endpoint.deleteEntry(targetID)
		}
	}
}

// close stops the target at once.
func (endpoint *endpoint) close() {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	_ = endpoint.listener.Close() // the server may not know it yet
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
	endpoint.writeLeaving(target)
	departure := auditor.Departure{TargetID: target.ID, Acknowledged: time.Now()}
	endpoint.runner.update(func(record *auditor.Record) { record.Departures = append(record.Departures, departure) })
	if !timer.Sleep(ctx, leavingServeTime) {
		return
	}
	defer endpoint.runner.beginDisturbance(target.ID)()
	endpoint.close()
	endpoint.endEntry(target.ID)
	endpoint.deleteEntry(target.ID)
	endpoint.startReplacement(ctx, target.Service)
}

// crash stops the target at once. Another target, of the given service, gets the
// address after a pause; the entry of the first is deleted after entryTimeout.
func (endpoint *endpoint) crash(ctx context.Context, after time.Duration, service string) {
	endpoint.replacing.Lock()
	defer endpoint.replacing.Unlock()
	target := endpoint.current()
	defer endpoint.runner.beginDisturbance(target.ID)()
	endpoint.close()
	endpoint.endEntry(target.ID)
	if !timer.Sleep(ctx, after) {
		return
	}
	endpoint.startReplacement(ctx, service)
	if !timer.Sleep(ctx, entryTimeout-after) {
		return
	}
	endpoint.deleteEntry(target.ID)
}

// crashAtOnce ends the target under a request that crashes it, and refuses connections, or lets them hang,
// until another one is up.
func (endpoint *endpoint) crashAtOnce(ctx context.Context, target *faker.Target) {
	end := endpoint.runner.beginDisturbance(target.ID)
	switch {
	case endpoint.current() != target:
	case endpoint.runner.Plan.Silences():
		if err := endpoint.link.SetSilent(true); err != nil {
			endpoint.runner.addViolation("starts", "silence a target: %v", err)
		}
		endpoint.close()
	default:
		endpoint.link.SetDown(true)
		endpoint.close()
	}
	go func() {
		defer end()
		endpoint.crash(ctx, crashedTime, target.Service)
	}()
}

// startReplacement starts another target and reports a violation if that fails.
func (endpoint *endpoint) startReplacement(ctx context.Context, service string) {
	if err := endpoint.start(ctx, service); err != nil {
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
