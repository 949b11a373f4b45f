// Package registrant runs a simulated target of the users' platform as a process. The
// target registers itself in the simulated store, and leaves as planned when its
// context ends.
//
// # Usage
//
//	registrant := &registrant.Registrant{Listener: listener, Store: client, Target: placer.Target{ID: "i-1"}}
//	err := registrant.Run(ctx)
//
// POST /stand-in/faults with the JSON form of faker.TargetFaults replaces the faults;
// GET /stand-in/record returns the requests that the target received.
package registrant

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"godwitramp.example/core/placer"
	"godwitramp.example/platform"
	"godwitramp.example/platform/faker"
	"godwitramp.example/standin/internal/storekeeper"
	"godwitramp.example/standin/internal/switcher"
)

// Registrant is a simulated target. Fields are set before Run.
type Registrant struct {
	Listener net.Listener
	Store    storekeeper.Client
	// Target is the entry in the store. Run sets its address and incarnation.
	Target placer.Target
	// ServiceTime is how long a request takes.
	ServiceTime time.Duration
	// Linger is how long the target continues to serve after it has announced that it
	// leaves.
	Linger time.Duration

	mutex    sync.Mutex
	arrivals []faker.Arrival
}

const writeEntryTimeout = 10 * time.Second

// Run registers the target and serves. When the context ends, it marks the target as
// leaving, serves for Linger, deletes the entry and returns.
func (registrant *Registrant) Run(ctx context.Context) error {
	registrant.Target.Address = registrant.Listener.Addr().String()
	registrant.Target.Incarnation = time.Now().UnixMilli()
	target := &faker.Target{
		ID: registrant.Target.ID, Service: registrant.Target.Service, Slots: registrant.Target.Slots, ServiceTime: registrant.ServiceTime,
		Record: registrant.record,
	}
	server := &http.Server{Handler: registrant.handler(target), ReadHeaderTimeout: time.Minute}
	served := make(chan error, 1)
	go func() { served <- server.Serve(registrant.Listener) }()
	if err := registrant.writeEntry(ctx, false); err != nil {
		return err
	}
	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	target.Leave()
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeEntryTimeout)
	defer cancel()
	if err := registrant.writeEntry(leaveCtx, true); err != nil {
		return err
	}
	time.Sleep(registrant.Linger)
	row := platform.Row{Table: platform.TargetTable, Key: registrant.Target.ID, Deleted: true}
	return errors.Join(registrant.Store.Put(leaveCtx, row), server.Close())
}

// writeEntry writes the entry of the target. It retries for writeEntryTimeout, since
// the store may still be starting.
func (registrant *Registrant) writeEntry(ctx context.Context, leaving bool) error {
	target := registrant.Target
	target.Leaving = leaving
	row := platform.Row{Table: platform.TargetTable, Key: target.ID, Value: faker.EncodeTarget(target)}
	deadline := time.Now().Add(writeEntryTimeout)
	for {
		err := registrant.Store.Put(ctx, row)
		if err == nil || ctx.Err() != nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (registrant *Registrant) handler(target *faker.Target) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", target)
	mux.HandleFunc("POST "+switcher.FaultsPath, switcher.Handle(target.SetFaults))
	mux.HandleFunc("GET "+switcher.RecordPath, func(writer http.ResponseWriter, _ *http.Request) {
		registrant.mutex.Lock()
		arrivals := slices.Clone(registrant.arrivals)
		registrant.mutex.Unlock()
		_ = json.NewEncoder(writer).Encode(arrivals) // on failure the caller gets an incomplete answer
	})
	return mux
}

func (registrant *Registrant) record(arrival faker.Arrival) {
	registrant.mutex.Lock()
	defer registrant.mutex.Unlock()
	registrant.arrivals = append(registrant.arrivals, arrival)
}
