package starter

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"godwitramp.example/core/burner"
	"godwitramp.example/entry/internal/forwarder"
	"godwitramp.example/entry/internal/observer"
	"godwitramp.example/entry/internal/persister"
	"godwitramp.example/shell/archiver"
)

// startBurn runs what counts requests and keeps the counters of the burn report.
func (starter *Starter) startBurn(parts *parts) error {
	self := starter.gossiper.Self()
	starter.persister = &persister.Persister{
		Members: starter.gossiper, Caller: parts.calls, Log: starter.Log,
		Archiver: &archiver.Archiver{
			Platform: parts.platform, DataCentre: self.DataCentre,
			Owner: burner.Source{VM: self.Name, Incarnation: self.Incarnation},
		},
	}
	starter.observer = &observer.Observer{Set: metrics.GetDefaultSet(), Counter: starter.persister}
	parts.run(starter.persister.Run)
	return parts.serve(persister.ServiceName, starter.persister.Receiver())
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
	starter.observer.Observe(observer.FromRecord(record, starter.syncer.Table()))
}

// refused counts a request that was not admitted.
func (starter *Starter) refused(job forwarder.Job, refusal forwarder.Refusal) {
	starter.observer.Observe(observer.FromRefusal(job, refusal))
}
