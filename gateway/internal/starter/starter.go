// Package starter creates and connects the parts of the gateway program, runs them and
// performs the planned stop.
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
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/indexer"
	"godwitramp.example/core/keeper"
	"godwitramp.example/core/placer"
	"godwitramp.example/core/throttler"
	"godwitramp.example/core/verifier"
	"godwitramp.example/gateway/internal/dispatcher"
	"godwitramp.example/gateway/internal/forwarder"
	"godwitramp.example/gateway/internal/loader"
	"godwitramp.example/gateway/internal/receiver"
	"godwitramp.example/gateway/internal/registrar"
	"godwitramp.example/gateway/internal/tracker"
	"godwitramp.example/platform"
	"godwitramp.example/shell/exchanger"
	"godwitramp.example/shell/timer"
)

const (
	// withdrawalMargin is subtracted from the time within which a withdrawn key must stop
	// working, because an attempt takes time to reach its target.
	withdrawalMargin = 300 * time.Millisecond
	// evacuationBound is the time after the start of an evacuation within which requests to the data centre must end to be
	// sent. withdrawalMargin is subtracted, as for withdrawn keys.
	evacuationBound = 5 * time.Second
	// callerDescriptorShare is the share of the file descriptors for callers'
	// connections. The rest is for targets and files.
	callerDescriptorShare = 0.6
	// bodyMemoryShare is the share of the memory for request bodies.
	bodyMemoryShare = 0.25
	// answerMemoryShare is the share of the memory for answers that are still arriving.
	answerMemoryShare = 0.15
	// forwardMemoryShare is the share of the memory for requests and answers of other VMs.
	forwardMemoryShare = 0.1
	// targetDialTimeout bounds the time for a connection to a target, and targetUnackedTimeout that for
	// an acknowledgement of what was sent on it.
	targetDialTimeout    = 400 * time.Millisecond
	targetUnackedTimeout = 1500 * time.Millisecond
	// heapMemoryShare is the share of the memory that is set as the soft memory limit of
	// Go's runtime.
	heapMemoryShare = 0.7
)

// Starter runs one VM. The fields must be set before Open.
type Starter struct {
	Settings loader.Settings
	Log      *logrus.Entry

	leaving    atomic.Bool
	store      *platform.Store
	tracker    *tracker.Tracker
	messages   *messages
	dispatcher *dispatcher.Dispatcher
	// started is closed once the VM has joined the fleet and has read the configuration
	// and the targets.
	started  chan struct{}
	receiver *receiver.Receiver
	// forwarder passes requests on to other VMs.
	forwarder *forwarder.Forwarder
	// registrar is set once the VM has joined the fleet.
	registrar atomic.Pointer[registrar.Registrar]
	// blocksChanged has a value while the store's blocks may differ from the dispatcher's.
	blocksChanged chan struct{}
}

// Run serves until the context ends and then performs a planned stop: it reports that it
// isn't ready, accepts connections until the balancer has stopped sending them, finishes
// its requests within the grace and returns. It returns an error if it can't listen or
// accept connections.
func (starter *Starter) Run(ctx context.Context) error {
	settings := starter.Settings
	debug.SetMemoryLimit(int64(heapMemoryShare * float64(settings.MemoryMB) * (1 << 20)))
	callers, err := net.Listen("tcp", settings.Callers)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	defer group.Wait()
	defer stopBackground()
	endpoints, err := starter.startEndpoints()
	if err != nil {
		return err
	}
	defer endpoints.close()
	group.Go(func() { _ = starter.tracker.Run(background) })
	group.Go(func() { starter.join(background) })
	group.Go(func() { _ = starter.dispatcher.Exchanger.Run(background) })
	group.Go(func() { starter.dispatcher.RunProbes(background) })
	group.Go(func() {
		if err := starter.forwarder.Run(background); err != nil {
			starter.Log.WithError(err).Error("forwarding-unavailable")
		}
	})
	failed := make(chan error, 1)
	group.Go(func() { failed <- starter.receiver.Run(background, callers) })
	starter.Log.WithFields(logrus.Fields{"callers": settings.Callers, "store": settings.Store}).Info("started")
	select {
	case err := <-failed:
		return fmt.Errorf("serve callers: %w", err)
	case <-ctx.Done():
	}
	starter.stop()
	return nil
}

// Open creates and connects the parts. It must be called before all other methods.
func (starter *Starter) Open() {
	settings := starter.Settings
	starter.store = &platform.Store{Address: settings.Store, Clock: timer.Now}
	starter.messages = &messages{}
	starter.started = make(chan struct{})
	starter.blocksChanged = make(chan struct{}, 1)
	starter.tracker = &tracker.Tracker{
		Store: starter.store, Group: starter.messages, Clock: timer.Now, Log: starter.Log,
		MaxConfigurationStaleness: settings.Propagation, MaxTargetStaleness: settings.Leaving, Regions: settings.Regions,
	}
	starter.dispatcher = &dispatcher.Dispatcher{
		Tracker: starter.tracker, Messenger: starter.messages, Exchanger: &exchanger.Exchanger{DialTimeout: targetDialTimeout, UnackedTimeout: targetUnackedTimeout},
		Candidates: starter.messages.Candidates, Group: starter.messages,
		Locality: placer.Locality{Region: settings.Region, DataCentre: settings.DataCentre},
		Regions:  settings.Regions, Clock: timer.Now, Log: starter.Log,
		Unconfirmed: func() bool { return keeper.Restored(starter.store.Era()) && !starter.messages.claimsKnown() },
		Policy:      policyOf(settings), Started: starter.started, FleetKey: starter.messages.key,
		OnBlocksChange: starter.requestBlocksWrite, WritesBlocks: func() bool { return starter.messages.Rank() == 0 },
		MaxAnswerBytes: int64(answerMemoryShare * float64(settings.MemoryMB) * (1 << 20)),
	}
	starter.dispatcher.Open()
	starter.forwarder = &forwarder.Forwarder{
		Name: settings.Name, Address: settings.Messages, Key: starter.messages.key, Handler: starter.dispatcher, Log: starter.Log,
		MaxBytes: int64(forwardMemoryShare * float64(settings.MemoryMB) * (1 << 20)),
	}
	starter.forwarder.Open()
	starter.dispatcher.Forwarder = starter.forwarder
	var once sync.Once
	checkStarted := func() {
		if starter.messages.joined() && starter.tracker.Complete() {
			once.Do(func() { close(starter.started) })
		}
	}
	starter.tracker.OnConfiguration = starter.dispatcher.Configure
	starter.tracker.OnTargets = starter.dispatcher.SetTargets
	starter.tracker.OnEvacuation = starter.dispatcher.SetEvacuated
	starter.tracker.InFlight = starter.dispatcher.InFlight
	starter.tracker.OnComplete = checkStarted
	starter.messages.onJoin = checkStarted
	starter.tracker.Open()
	starter.receiver = &receiver.Receiver{
		Handler: starter.dispatcher, Limits: starter.limits,
		MaxConnections: int(callerDescriptorShare * float64(settings.Descriptors)),
		MaxBodyBytes:   int64(bodyMemoryShare * float64(settings.MemoryMB) * (1 << 20)),
		Patience:       patience,
		RequestID:      requestID,
		Log:            starter.Log,
	}
}

// patience returns how long a caller waits for its answer, 0 if it doesn't say so.
func patience(header http.Header) time.Duration {
	request, err := platform.ReadRequest(header)
	if err != nil {
		return 0 // the request is refused once it has been read
	}
	return request.Remaining
}

// requestID returns the ID of a request, "" if it has none.
func requestID(header http.Header) string {
	request, err := platform.ReadRequest(header)
	if err != nil {
		return "" // the request is refused once it has been read
	}
	return request.ID
}

func policyOf(settings loader.Settings) dispatcher.Policy {
	return dispatcher.Policy{
		Rates: throttler.Tolerance{
			Window: settings.RateWindow, Overshoot: settings.RateOvershoot, Extra: settings.RateTolerance,
		},
		RetryRatio: settings.RetryRatio, RetryExtra: settings.RetryExtra, RetryWindow: settings.RetryWindow, TargetFloor: settings.TargetFloor,
		BlockTime: settings.BlockTime, Hedges: settings.Hedges, Prioritise: settings.Prioritise,
		Warmup: placer.WarmupBounds{Overshoot: settings.WarmupOvershoot, Tolerance: settings.WarmupTolerance},
		Configuration: verifier.Policy{
			Propagation: settings.Propagation, UnreachableGrace: settings.UnreachableGrace, Withdrawal: settings.Withdrawal - withdrawalMargin,
			Evacuation: evacuationBound - withdrawalMargin,
		},
	}
}

// Reload applies the settings that belong to the dispatcher's policy while the VM runs:
// age of the configuration, withdrawal of keys, retries, hedges, priorities, rates, floor of used targets and
// blocks of requests. Other settings take effect at the next start.
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
