package starter

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/rpc"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"godwitramp.example/core/burner"
	"godwitramp.example/core/watcher"
	"godwitramp.example/entry/internal/forwarder"
	"godwitramp.example/entry/internal/observer"
	"godwitramp.example/entry/internal/persister"
	"godwitramp.example/shell/archiver"
	"godwitramp.example/shell/caller"
	"godwitramp.example/shell/connector"
)

// startBurn runs what counts requests and keeps the counters of the burn report.
func (starter *Starter) startBurn(
	ctx context.Context, group *sync.WaitGroup, platform connector.Platform, tls *tls.Config, services *rpc.Server,
) error {
	settings := starter.Settings
	self := watcher.Peer{
		Name: settings.Name, Region: settings.Region, DataCentre: settings.DataCentre, Address: settings.Peers,
		Incarnation: uint64(time.Now().UnixNano()),
	}
	calls := &caller.Caller{TLS: tls}
	context.AfterFunc(ctx, calls.Close)
	starter.persister = &persister.Persister{
		Members: alone{self: self}, Caller: calls, Log: starter.Log,
		Archiver: &archiver.Archiver{
			Platform: platform, DataCentre: self.DataCentre,
			Owner: burner.Source{VM: self.Name, Incarnation: self.Incarnation},
		},
	}
	starter.observer = &observer.Observer{Set: metrics.GetDefaultSet(), Counter: starter.persister}
	if err := services.RegisterName(persister.ServiceName, starter.persister.Receiver()); err != nil {
		return fmt.Errorf("register counters: %w", err)
	}
	group.Go(func() { _ = starter.persister.Run(ctx) })
	return nil
}

// forwarded counts a request at its end.
func (starter *Starter) forwarded(record forwarder.Record) {
	starter.observer.Observe(observer.Of(record, starter.syncer.Table()))
}

// refused counts a request that was not admitted.
func (starter *Starter) refused(job forwarder.Job, refusal forwarder.Refusal) {
	starter.observer.Observe(observer.OfRefusal(job, refusal))
}

// alone is a fleet of one VM, which stores its own counters.
type alone struct{ self watcher.Peer }

// Self returns the VM.
func (alone alone) Self() watcher.Peer { return alone.self }

// Live returns no other VM.
func (alone alone) Live() []watcher.Peer { return nil }
