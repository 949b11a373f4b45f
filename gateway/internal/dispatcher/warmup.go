package dispatcher

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
	"godwitramp.example/shell/timer"
)

// warmupsOf returns the warm-up of each service that has one.
func warmupsOf(index *indexer.Index) map[string]placer.Warmup {
	warmups := make(map[string]placer.Warmup)
	for i := range index.Services {
		if service := &index.Services[i]; service.WarmupRate > 0 {
			warmups[service.Name] = placer.Warmup{Rate: service.WarmupRate, Time: service.WarmupTime}
		}
	}
	return warmups
}

// believeWarmups tells the buckets of the service's cold targets how much of the group's tokens this VM may spend.
func (state *state) believeWarmups(service string, now time.Duration) {
	for bucket := range state.placer.WarmupBuckets(service, now) {
		state.believe(bucket, now)
	}
}

// warmupWithheld reports whether cold targets of the service have tokens that this VM may spend once it has heard the
// VMs of its group, and whether no target of the data centre has room until then.
func (state *state) warmupWithheld(service string, now time.Duration) (withheld, short bool) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if state.group == nil || !state.joined {
		return false, false
	}
	state.believeWarmups(service, now)
	return state.placer.WarmupWithheld(service, now)
}

// hearGroupForWarmup asks the VMs of the group for a message if tokens of cold targets are withheld until they are
// heard, and waits for it if there is no room near. Otherwise the answers serve the next requests.
func (handler *handler) hearGroupForWarmup(ctx context.Context) {
	dispatcher := handler.dispatcher
	withheld, short := dispatcher.state.warmupWithheld(handler.job.service, dispatcher.Clock())
	if !withheld || !dispatcher.Group.AskGroup() {
		return
	}
	if short {
		countGroupAsk()
		timer.Sleep(ctx, hearTime)
	}
}

// connectionLost records that a connection to the target ended before its answer.
func (state *state) connectionLost(target placer.Target, now time.Duration) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.placer.ConnectionLost(target, now)
}

// cold reports whether a target counts as cold.
func (state *state) cold(target string, now time.Duration) bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.placer.Cold(target, now)
}

func (state *state) warmupChanges(now time.Duration) (cold, warm []placer.Target, count int) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.placer.WarmupChanges(now)
}

// maxLoggedWarmups is the number of targets that become cold or warm at once up to which each has a line.
const maxLoggedWarmups = 8

// logWarmups logs the targets that have become cold or warm since the last call, and counts the cold ones.
func (dispatcher *Dispatcher) logWarmups() {
	cold, warm, count := dispatcher.state.warmupChanges(dispatcher.Clock())
	if len(cold)+len(warm) > 0 {
		setColdTargets(count)
	}
	dispatcher.logTargets("target-cold", cold)
	dispatcher.logTargets("target-warm", warm)
}

// logTargets logs what has become of targets: a line for each, or one for all if they are many.
func (dispatcher *Dispatcher) logTargets(event string, targets []placer.Target) {
	if len(targets) > maxLoggedWarmups {
		ids := make([]string, 0, len(targets))
		for _, target := range targets {
			ids = append(ids, target.ID)
		}
		dispatcher.Log.WithField("targets", ids).Info(event)
		return
	}
	for _, target := range targets {
		dispatcher.Log.WithFields(logrus.Fields{
			"target": target.ID, "service": target.Service, "data-centre": target.DataCentre, "incarnation": target.Incarnation, "warm-up": target.Warmup,
		}).Info(event)
	}
}
