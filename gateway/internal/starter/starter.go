// Package starter puts the parts of the gateway program together and runs them
// until a planned stop has ended.
//
// # Usage
//
//	starter := &starter.Starter{Settings: settings, Log: log}
//	starter.Open()
//	err := starter.Run(ctx) // ctx ends when the planned stop begins
package starter

import (
	"context"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
	"godwitramp.example/core/throttler"
	"godwitramp.example/core/verifier"
	"godwitramp.example/gateway/internal/dispatcher"
	"godwitramp.example/gateway/internal/loader"
	"godwitramp.example/gateway/internal/receiver"
	"godwitramp.example/gateway/internal/tracker"
	"godwitramp.example/platform"
	"godwitramp.example/shell/exchanger"
	"godwitramp.example/shell/timer"
)

const (
	// trustMargin is kept of the time within which a withdrawn key must have
	// stopped, for the way of an attempt to its target.
	trustMargin = 300 * time.Millisecond
	// callerDescriptors is the part of the descriptors that callers may take;
	// the rest is for targets and files.
	callerDescriptors = 0.6
	// bodyMemory is the part of the memory that bodies of requests may take.
	bodyMemory = 0.25
	// answerMemory is the part of the memory that answers may take which are still
	// coming.
	answerMemory = 0.15
	// heapMemory is the part of the memory that the heap should stay within.
	heapMemory = 0.7
)

// Starter runs one VM. Fields are set before Open.
type Starter struct {
	Settings loader.Settings
	Log      *logrus.Entry

	leaving    atomic.Bool
	store      *platform.Store
	tracker    *tracker.Tracker
	messages   *messages
	dispatcher *dispatcher.Dispatcher
	// started is closed once the VM can serve.
	started  chan struct{}
	receiver *receiver.Receiver
}

// Run serves until the context ends, then stops as planned: it says that it
// leaves, goes on accepting until the balancer has moved on, finishes its
// requests and returns.
func (starter *Starter) Run(ctx context.Context) error {
	settings := starter.Settings
	debug.SetMemoryLimit(int64(heapMemory * float64(settings.MemoryMB) * (1 << 20)))
	callers, err := net.Listen("tcp", settings.Callers)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	defer group.Wait()
	defer stopWork()
	endpoints, err := starter.startEndpoints()
	if err != nil {
		return err
	}
	defer endpoints.close()
	group.Go(func() { _ = starter.tracker.Run(work) })
	group.Go(func() { starter.join(work) })
	group.Go(func() { _ = starter.dispatcher.Exchanger.Run(work) })
	failed := make(chan error, 1)
	group.Go(func() { failed <- starter.receiver.Run(work, callers) })
	starter.Log.WithFields(logrus.Fields{"callers": settings.Callers, "store": settings.Store}).Info("started")
	select {
	case err := <-failed:
		return fmt.Errorf("serve callers: %w", err)
	case <-ctx.Done():
	}
	starter.stop()
	return nil
}

// Open puts the parts together. It comes before all other calls.
func (starter *Starter) Open() {
	settings := starter.Settings
	starter.store = &platform.Store{Address: settings.Store, Clock: timer.Now}
	starter.messages = &messages{}
	starter.started = make(chan struct{})
	starter.tracker = &tracker.Tracker{
		Store: starter.store, Group: starter.messages, Clock: timer.Now, Log: starter.Log,
		MaxConfigurationStaleness: settings.Propagation, MaxTargetStaleness: settings.Leaving,
	}
	starter.dispatcher = &dispatcher.Dispatcher{
		Tracker: starter.tracker, Messenger: starter.messages, Exchanger: &exchanger.Exchanger{},
		Place:   placer.Locality{Region: settings.Region, DataCentre: settings.DataCentre},
		Regions: settings.Regions, Clock: timer.Now, Log: starter.Log,
		Policy: policyOf(settings), Started: starter.started,
		MaxAnswerBytes: int64(answerMemory * float64(settings.MemoryMB) * (1 << 20)),
	}
	starter.dispatcher.Open()
	var once sync.Once
	check := func() {
		if starter.messages.joined() && starter.tracker.Complete() {
			once.Do(func() { close(starter.started) })
		}
	}
	starter.tracker.OnConfiguration = starter.dispatcher.Configure
	starter.tracker.OnTargets = starter.dispatcher.Target
	starter.tracker.OnComplete = check
	starter.messages.onJoin = check
	starter.tracker.Open()
	starter.receiver = &receiver.Receiver{
		Handler: starter.dispatcher, Limits: starter.limits,
		MaxConnections: int(callerDescriptors * float64(settings.Descriptors)),
		MaxBodyBytes:   int64(bodyMemory * float64(settings.MemoryMB) * (1 << 20)),
		Log:            starter.Log,
	}
}

func policyOf(settings loader.Settings) dispatcher.Policy {
	return dispatcher.Policy{
		Rates: throttler.Tolerance{
			Window: settings.RateWindow, Overshoot: settings.RateOvershoot, Extra: settings.RateTolerance,
		},
		RetryRatio: settings.RetryRatio, RetryExtra: settings.RetryExtra, RetryWindow: settings.RetryWindow,
		Configuration: verifier.Policy{
			Propagation: settings.Propagation, UnreachableGrace: settings.Stretch, Withdrawal: settings.Withdrawal - trustMargin,
		},
	}
}

// Reload takes over new settings while the VM runs: those of keys, retries and
// rates. The others hold from the next start on.
func (starter *Starter) Reload(settings loader.Settings) {
	starter.dispatcher.SetPolicy(policyOf(settings))
	starter.Log.Info("settings-reloaded")
}

func (starter *Starter) limits() indexer.Limits {
	if index := starter.tracker.Index(); index != nil {
		return index.Limits
	}
	return indexer.Limits{}
}
