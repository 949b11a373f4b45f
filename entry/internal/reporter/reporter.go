// Package reporter collects a VM's observations of the targets of its region and sends
// them in batches to the VMs that hold the permits to eject these targets.
//
// Batches are sent 50 ms after the first observation that isn't good, with all other
// observations until then, and otherwise each second.
//
// # Usage
//
//	reporter := &reporter.Reporter{Self: self, Holders: steward, Caller: caller, ReportLeaving: steward.ReportLeaving}
//	router.Observer = reporter
//	go reporter.Run(ctx)
package reporter

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/ejector"
	"godwitramp.example/core/watcher"
)

const (
	coalesceDelay = 50 * time.Millisecond
	flushPeriod   = time.Second
	callTimeout   = time.Second
	// Method is the name of the net/rpc method that receives reports.
	Method = "Ejection.Report"
	// queueLength limits the queue of observations, which keeps requests from waiting for
	// a lock of the reporter. Observations are dropped while it is full.
	queueLength = 4096
)

var dropped = metrics.GetOrCreateCounter("godwitramp_observations_dropped_total")

// Report is one VM's evidence for one holder of permits, by group.
type Report struct {
	Groups []GroupBatch
}

// GroupBatch is the evidence about the targets of one group.
type GroupBatch struct {
	Group ejector.Group
	Batch ejector.Batch
}

// Caller calls other VMs.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Holders finds the VMs that hold the permits of a group.
type Holders interface {
	// Holders returns the addresses of these VMs without duplicates.
	Holders(group ejector.Group) []string
}

// Reporter implements router.Observer. Fields are set before Run.
type Reporter struct {
	Self    watcher.Peer
	Holders Holders
	Caller  Caller
	// ReportLeaving is called for targets that announce that they are leaving.
	ReportLeaving func(target configurator.Path, region string)

	once  sync.Once
	queue chan ejector.Observation
}

func (reporter *Reporter) observations() chan ejector.Observation {
	reporter.once.Do(func() { reporter.queue = make(chan ejector.Observation, queueLength) })
	return reporter.queue
}

// Observe queues an observation. It never blocks and may be called concurrently.
func (reporter *Reporter) Observe(observation ejector.Observation) {
	select {
	case reporter.observations() <- observation:
	default:
		dropped.Inc()
	}
}

// Run sends reports until the context ends. It returns nil.
func (reporter *Reporter) Run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	tallies := make(tallies)
	flush := time.NewTimer(flushPeriod)
	defer flush.Stop()
	urgent := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case observation := <-reporter.observations():
			if observation.Kind == ejector.Leaving {
				reporter.ReportLeaving(observation.Target, observation.Region)
				continue
			}
			if observation.Region != reporter.Self.Region {
				continue
			}
			tallies.add(observation)
			if observation.Kind != ejector.Good && !urgent {
				urgent = true
				flush.Reset(coalesceDelay)
			}
		case <-flush.C:
			reporter.send(ctx, &group, tallies.batches(reporter.Self))
			clear(tallies)
			urgent = false
			flush.Reset(flushPeriod)
		}
	}
}

// send calls each holder once, with the batches of all its groups.
func (reporter *Reporter) send(ctx context.Context, group *sync.WaitGroup, batches []GroupBatch) {
	reports := make(map[string]*Report)
	for _, batch := range batches {
		for _, address := range reporter.Holders.Holders(batch.Group) {
			if reports[address] == nil {
				reports[address] = &Report{}
			}
			reports[address].Groups = append(reports[address].Groups, batch)
		}
	}
	for address, report := range reports {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			// A lost report only delays an ejection: the next reports carry new evidence.
			_ = reporter.Caller.Call(ctx, address, Method, *report, new(bool))
		})
	}
}

// tallies are the counts of observations by target.
type tallies map[configurator.Path]*ejector.Tally

func (tallies tallies) add(observation ejector.Observation) {
	tally := tallies[observation.Target]
	if tally == nil {
		tally = &ejector.Tally{Target: observation.Target}
		tallies[observation.Target] = tally
	}
	switch observation.Kind {
	case ejector.Good:
		tally.Good++
	case ejector.Slow:
		tally.Slow++
	case ejector.Bad:
		tally.Bad++
	}
}

// batches returns the counts by group. Their order is random.
func (tallies tallies) batches(self watcher.Peer) []GroupBatch {
	services := make(map[configurator.Path]int)
	var batches []GroupBatch
	for target, tally := range tallies {
		service := target.Parent()
		i, known := services[service]
		if !known {
			i = len(batches)
			services[service] = i
			batches = append(batches, GroupBatch{
				Group: ejector.Group{Service: service, Region: self.Region},
				Batch: ejector.Batch{VM: self.Name, DataCentre: self.DataCentre},
			})
		}
		batches[i].Batch.Tallies = append(batches[i].Batch.Tallies, *tally)
	}
	return batches
}
