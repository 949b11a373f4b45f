package starter

import (
	"context"
	"fmt"
	"net/rpc"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"godwitramp.example/core/burner"
	"godwitramp.example/entry/internal/forwarder"
	"godwitramp.example/entry/internal/observer"
	"godwitramp.example/entry/internal/persister"
	"godwitramp.example/shell/archiver"
	"godwitramp.example/shell/caller"
	"godwitramp.example/shell/connector"
)

// startBurn runs what counts requests and keeps the counters of the burn report.
func (starter *Starter) startBurn(
	ctx context.Context, group *sync.WaitGroup, platform connector.Platform, calls *caller.Caller, services *rpc.Server,
) error {
	self := starter.gossiper.Self()
	starter.persister = &persister.Persister{
		Members: starter.gossiper, Caller: calls, Log: starter.Log,
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

// handOverLimit bounds the last handing over of counters at a planned stop.
const handOverLimit = 5 * time.Second

// handOverCounters brings the counters to the store or to a peer.
func (starter *Starter) handOverCounters(ctx context.Context) {
	limit, cancel := context.WithTimeout(ctx, handOverLimit)
	defer cancel()
	if err := starter.persister.Stop(limit); err != nil {
		starter.Log.WithError(err).Error("burn-counters-lost")
	}
}

// forwarded counts a request at its end.
func (starter *Starter) forwarded(record forwarder.Record) {
	starter.observer.Observe(observer.Of(record, starter.syncer.Table()))
}

// refused counts a request that was not admitted.
func (starter *Starter) refused(job forwarder.Job, refusal forwarder.Refusal) {
	starter.observer.Observe(observer.OfRefusal(job, refusal))
}
