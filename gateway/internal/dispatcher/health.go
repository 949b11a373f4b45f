package dispatcher

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/placer"
	"godwitramp.example/gateway/internal/messenger"
	"godwitramp.example/platform"
	"godwitramp.example/shell/exchanger"
	"godwitramp.example/shell/recoverer"
)

const (
	// probeCheckInterval is how often due probes are looked for.
	probeCheckInterval = 100 * time.Millisecond
	// healthCheckTimeout is shorter than the interval between two probes of a target, so that none has two at once.
	healthCheckTimeout = 350 * time.Millisecond
	// maxHealthBytes limits the body of a health check's answer that is read.
	maxHealthBytes = 4 << 10
)

// RunProbes probes targets until the context ends. It returns once all probes have ended.
func (dispatcher *Dispatcher) RunProbes(ctx context.Context) {
	ticker := time.NewTicker(probeCheckInterval)
	defer ticker.Stop()
	var probes sync.WaitGroup
	defer probes.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var due []placer.Target
		recoverer.Do(dispatcher.Log, func() { due = dispatcher.dueProbes() })
		for _, target := range due {
			probes.Go(func() {
				recoverer.Do(dispatcher.Log.WithField("target", target.ID), func() { dispatcher.checkHealth(ctx, target) })
			})
		}
	}
}

// dueProbes returns the targets to probe now.
func (dispatcher *Dispatcher) dueProbes() []placer.Target {
	if dispatcher.Group == nil {
		return nil
	}
	probes := dispatcher.Group.ProbeFilter()
	if probes == nil {
		return nil
	}
	state, now := &dispatcher.state, dispatcher.Clock()
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if !state.joined {
		return nil
	}
	return state.placer.DueProbes(probes, now)
}

// checkHealth asks the health check of a target how much longer the target is cold, and tells all VMs if it is.
func (dispatcher *Dispatcher) checkHealth(ctx context.Context, target placer.Target) {
	index := dispatcher.Tracker.Index()
	if index == nil {
		return
	}
	service := index.Service(target.Service)
	if service == nil || service.HealthPath == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	header := http.Header{"User-Agent": {""}} // prevents net/http from adding its own
	platform.WriteAttempt(header, platform.Attempt{TargetID: target.ID, Remaining: healthCheckTimeout})
	// The answer bears no ID of a request, so that its connection must carry no others.
	answer, err := dispatcher.Exchanger.Do(ctx, exchanger.Call{
		Address: target.Address, FreshOnly: true,
		Request: &http.Request{Method: http.MethodGet, URL: &url.URL{Opaque: service.HealthPath}, Host: target.Address, Header: header, Close: true},
	})
	if err != nil {
		countProbe("failed")
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Response.Body, maxHealthBytes))
	answer.Close()
	switch remaining, ok := platform.ReadWarmup(answer.Response); {
	case !ok:
		countProbe("unknown")
	case remaining == 0:
		countProbe("warm")
	default:
		countProbe("cold")
		dispatcher.recordCold(target, remaining)
	}
}

// recordCold records that a probe has found a target cold, and tells all VMs.
func (dispatcher *Dispatcher) recordCold(target placer.Target, remaining time.Duration) {
	state := &dispatcher.state
	state.mutex.Lock()
	known := state.placer.ReportWarmup(target.ID, target.Incarnation, remaining, dispatcher.Clock())
	state.mutex.Unlock()
	if !known {
		return
	}
	event := messenger.Event{Kind: messenger.TargetCold, Name: target.ID, Incarnation: target.Incarnation, Remaining: remaining}
	dispatcher.Messenger.SendToGroup(event)
	dispatcher.Messenger.SendToFleet(event)
	dispatcher.Log.WithFields(logrus.Fields{
		"target": target.ID, "service": target.Service, "incarnation": target.Incarnation, "remaining": remaining,
	}).Info("probe-found-cold")
}
