package runner

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"godwitramp.example/platform/faker"
	"godwitramp.example/shell/timer"
	"godwitramp.example/soak/internal/auditor"
	"godwitramp.example/soak/internal/planner"
)

const (
	// copyPeriod is the time between two copies of the store, of which maxCopies are kept.
	copyPeriod = 200 * time.Millisecond
	maxCopies  = 50
	// The store is restored from a copy that is between minCopyAge and maxCopyAge old.
	minCopyAge = 300 * time.Millisecond
	maxCopyAge = 7 * time.Second
	// rewriteTime is the longest time after a restore until the operator and a target
	// write again.
	rewriteTime = 500 * time.Millisecond
)

// storeHost serves the store and restores it from copies. Writers of the platform call
// write; the calls of VMs arrive over HTTP.
type storeHost struct {
	faker.Store

	// away is held for writing while the store is away.
	away sync.RWMutex

	mutex       sync.Mutex
	isAway      bool
	connections map[net.Conn]bool
	copies      []storeCopy
}

// storeCopy is a copy of the store and the time at which it was taken.
type storeCopy struct {
	faker.Snapshot
	taken time.Time
}

// serve handles the calls of VMs on the listener until the context ends.
func (storeHost *storeHost) serve(ctx context.Context, group *sync.WaitGroup, listener net.Listener) {
	storeHost.connections = make(map[net.Conn]bool)
	server := &http.Server{Handler: storeHost, ConnState: storeHost.track, ReadHeaderTimeout: time.Minute}
	group.Go(func() { _ = server.Serve(listener) }) // ends with Close
	context.AfterFunc(ctx, func() { _ = server.Close() })
}

// track records open connections.
func (storeHost *storeHost) track(connection net.Conn, state http.ConnState) {
	storeHost.mutex.Lock()
	defer storeHost.mutex.Unlock()
	switch state {
	case http.StateNew:
		storeHost.connections[connection] = true
	case http.StateClosed, http.StateHijacked:
		delete(storeHost.connections, connection)
	}
}

// ServeHTTP handles a call, or closes its connection while the store is away.
func (storeHost *storeHost) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	storeHost.mutex.Lock()
	isAway := storeHost.isAway
	storeHost.mutex.Unlock()
	if isAway {
		panic(http.ErrAbortHandler) // closes the connection
	}
	storeHost.Store.ServeHTTP(writer, request)
}

// write runs a write of the platform once the store is there.
func (storeHost *storeHost) write(write func()) {
	storeHost.away.RLock()
	defer storeHost.away.RUnlock()
	write()
}

// takeCopies copies the store at regular times until the context ends.
func (storeHost *storeHost) takeCopies(ctx context.Context) {
	for ctx.Err() == nil {
		next := storeCopy{taken: time.Now()}
		next.Snapshot = storeHost.Snapshot()
		storeHost.mutex.Lock()
		storeHost.copies = append(storeHost.copies, next)
		storeHost.copies = storeHost.copies[max(0, len(storeHost.copies)-maxCopies):]
		storeHost.mutex.Unlock()
		timer.Sleep(ctx, copyPeriod)
	}
}

// copyOf returns the last copy that was taken before the time, else the first one.
func (storeHost *storeHost) copyOf(before time.Time) storeCopy {
	storeHost.mutex.Lock()
	defer storeHost.mutex.Unlock()
	found := storeHost.copies[0]
	for _, storeCopy := range storeHost.copies {
		if storeCopy.taken.Before(before) {
			found = storeCopy
		}
	}
	return found
}

// setAway closes all connections and any new one, or stops doing so.
func (storeHost *storeHost) setAway(isAway bool) {
	storeHost.mutex.Lock()
	defer storeHost.mutex.Unlock()
	storeHost.isAway = isAway
	for connection := range storeHost.connections {
		if tcp, ok := connection.(*net.TCPConn); ok && isAway {
			_ = tcp.SetLinger(0) // a reset
		}
		if isAway {
			_ = connection.Close()
		}
	}
}

// restore makes the store go away for a time and come back from the last copy that is at
// least the given age old.
func (storeHost *storeHost) restore(ctx context.Context, away, age time.Duration) auditor.Restore {
	storeHost.away.Lock()
	defer storeHost.away.Unlock()
	restore := auditor.Restore{From: time.Now()}
	storeCopy := storeHost.copyOf(restore.From.Add(-age))
	restore.Copied = storeCopy.taken
	storeHost.setAway(true)
	timer.Sleep(ctx, away)
	storeHost.Restore(storeCopy.Snapshot)
	storeHost.setAway(false)
	return restore
}

// restoreStore restores the store from an older copy. Then the operator writes the newest
// configuration again and targets their entries, mostly those that the copy lacks; entries of
// targets that are gone are deleted after entryTimeout.
func (runner *Runner) restoreStore(ctx context.Context, fault planner.Fault) {
	random := rand.New(rand.NewPCG(runner.Plan.Seed, uint64(fault.At)))
	age := minCopyAge + time.Duration(random.Int64N(int64(maxCopyAge-minCopyAge)))
	endDisturbance := runner.beginDisturbance(auditor.Store)
	restore := runner.store.restore(ctx, fault.Duration, age)
	endDisturbance()
	index := runner.configuration.addRestore(restore)
	var group sync.WaitGroup
	rewrite := func(write func()) {
		delay := time.Duration(random.Int64N(int64(rewriteTime)))
		group.Go(func() {
			if timer.Sleep(ctx, delay) {
				write()
			}
		})
	}
	rewrite(func() { runner.configuration.rewrite(index) })
	// If all targets write, versions pass those that were known before at once.
	onlyChanged := random.IntN(3) > 0
	for _, endpoint := range runner.endpoints {
		rewrite(func() { endpoint.rewriteEntry(onlyChanged) })
	}
	group.Wait()
	if !timer.Sleep(ctx, entryTimeout) {
		return
	}
	for _, endpoint := range runner.endpoints {
		endpoint.deleteOldEntries()
	}
}
