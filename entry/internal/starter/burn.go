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

// startBurnCounters starts the counting of requests and the persister, which stores
// the counters of the burn report.
func (starter *Starter) startBurnCounters(environment *environment) error {
	self := starter.gossiper.Self()
	starter.persister = &persister.Persister{
		Members: starter.gossiper, Caller: environment.calls, Log: starter.Log,
		Archiver: &archiver.Archiver{
			Platform: environment.platform, DataCentre: self.DataCentre,
			Owner: burner.Source{VM: self.Name, Incarnation: self.Incarnation},
		},
	}
	starter.observer = &observer.Observer{Set: metrics.GetDefaultSet(), Counter: starter.persister}
	environment.run(starter.persister.Run)
	return environment.serve(persister.ServiceName, starter.persister.Receiver())
}

// handOverTimeout limits the final flush of counters at a planned stop.
const handOverTimeout = 5 * time.Second

// handOverCounters brings the remaining counters to the store or to a peer.
func (starter *Starter) handOverCounters(ctx context.Context) {
	timeoutCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := starter.persister.Stop(timeoutCtx); err != nil {
		starter.Log.WithError(err).Error("burn-counters-lost")
	}
}

// recordForwarded counts a request when it has ended.
func (starter *Starter) recordForwarded(record forwarder.Record) {
	starter.observer.Observe(observer.FromRecord(record, starter.syncer.Table()))
}

// recordRefused counts a request that was not admitted.
func (starter *Starter) recordRefused(job forwarder.Job, refusal forwarder.Refusal) {
	starter.observer.Observe(observer.FromRefusal(job, refusal))
}
