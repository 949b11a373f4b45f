// Package prober probes the health endpoints of targets. It finds out which targets are
// leaving, which are unhealthy and how many of their slots are busy.
//
// Each target is probed by two VMs of its region, whatever the size of the fleet. The
// result of a probe never ejects a target and never prevents its ejection: a failure
// only prolongs an ejection, a load is a hint for the router, and a leaving target gets
// no new requests.
//
// A target answers GET /health with status 200 and a body such as "load 2 of 4", its busy
// and all its slots, or with 503 and a body that begins with "leaving" if it accepts no
// new requests.
//
// # Usage
//
//	prober := &prober.Prober{Members: members, Tables: syncer, Router: router, Steward: steward, Now: clock.Now}
//	go prober.Run(ctx)
package prober

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/ejector"
	"godwitramp.example/core/router"
	"godwitramp.example/core/watcher"
	"godwitramp.example/shell/detector"
	"godwitramp.example/shell/timer"
)

const (
	probePeriod = time.Second
	// vmsPerTarget is the number of VMs that probe a target.
	vmsPerTarget  = 2
	probeTimeout  = time.Second
	maxInFlight   = 64
	maxBodyBytes  = 256
	healthPath    = "/health"
	leavingPrefix = "leaving"
)

// Tables provides the configuration in force.
type Tables interface {
	// Table returns nil before the first configuration is loaded.
	Table() *configurator.Table
}

// Steward receives the results of probes.
type Steward interface {
	// ReportLeaving records that the target accepts no new requests.
	ReportLeaving(target configurator.Path, region string)
	// ReportUnhealthy records that a probe of the target failed.
	ReportUnhealthy(target configurator.Path)
}

// Prober probes the targets that are assigned to this VM. Fields are set before Run.
type Prober struct {
	Members watcher.Members
	Tables  Tables
	Router  *router.Router
	Steward Steward
	// Now is the router's clock.
	Now func() time.Duration
	// HTTP sends the probes. If it is nil, each probe uses a new connection, so that it
	// also checks that the target accepts connections.
	HTTP *http.Client

	table    *configurator.Table
	vms      []string
	assigned []configurator.Target
}

// Run probes each assigned target about once a second until the context ends. It returns
// nil.
func (prober *Prober) Run(ctx context.Context) error {
	if prober.HTTP == nil {
		prober.HTTP = &http.Client{
			Transport:     detector.Transport{Transport: &http.Transport{DisableKeepAlives: true}},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	var group sync.WaitGroup
	defer group.Wait()
	slots := make(chan struct{}, maxInFlight)
	for {
		targets := prober.assignedTargets()
		interval := probePeriod / time.Duration(max(1, len(targets)))
		for _, target := range targets {
			select {
			case slots <- struct{}{}:
				group.Go(func() {
					defer func() { <-slots }()
					prober.probe(ctx, target)
				})
			default: // too many probes are in flight; the target is probed in the next round
			}
			if !timer.Sleep(ctx, interval) {
				return nil
			}
		}
		if len(targets) == 0 && !timer.Sleep(ctx, probePeriod) {
			return nil
		}
	}
}

// assignedTargets returns the targets that this VM probes. They are recomputed when the
// configuration or the live VMs of the region change.
func (prober *Prober) assignedTargets() []configurator.Target {
	table, self := prober.Tables.Table(), prober.Members.Self()
	vms := []string{self.Name}
	for _, peer := range prober.Members.Live() {
		if peer.Region == self.Region {
			vms = append(vms, peer.Name)
		}
	}
	slices.Sort(vms)
	if table == nil || table == prober.table && slices.Equal(vms, prober.vms) {
		return prober.assigned
	}
	prober.table, prober.vms, prober.assigned = table, vms, nil
	ring := ejector.NewRing(vms)
	for service := range table.Services() {
		for _, target := range service.Targets {
			if target.Region == self.Region && slices.Contains(ring.Next(string(target.Path), vmsPerTarget), self.Name) {
				prober.assigned = append(prober.assigned, target)
			}
		}
	}
	return prober.assigned
}

func (prober *Prober) probe(ctx context.Context, target configurator.Target) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	status, body, err := prober.fetchHealth(ctx, target)
	switch {
	case ctx.Err() == context.Canceled:
	case err == nil && status == http.StatusServiceUnavailable && strings.HasPrefix(body, leavingPrefix):
		prober.Steward.ReportLeaving(target.Path, target.Region)
	case err != nil || status != http.StatusOK:
		prober.Steward.ReportUnhealthy(target.Path)
	default:
		if load, ok := parseLoad(body); ok {
			prober.Router.ReportLoad(target.Path, load, prober.Now())
		}
	}
}

// parseLoad returns the share of the target's slots that are busy. It reports false if
// the body has no valid load.
func parseLoad(body string) (float64, bool) {
	var busySlots, slots int
	if _, err := fmt.Sscanf(body, "load %d of %d", &busySlots, &slots); err != nil || busySlots < 0 || slots <= 0 {
		return 0, false
	}
	return float64(busySlots) / float64(slots), true
}

func (prober *Prober) fetchHealth(ctx context.Context, target configurator.Target) (status int, body string, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.Address.String()+healthPath, http.NoBody)
	if err != nil {
		return 0, "", fmt.Errorf("make probe: %w", err)
	}
	response, err := prober.HTTP.Do(request)
	if err != nil {
		return 0, "", fmt.Errorf("send probe: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return 0, "", fmt.Errorf("read answer to probe: %w", err)
	}
	return response.StatusCode, string(answer), nil
}
