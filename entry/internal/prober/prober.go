// Package prober asks the health endpoints of targets: which ones leave, which
// ones fail, and how busy they say they are.
//
// Each target is probed by two VMs of its region, whatever the size of the
// fleet. What the endpoint says never ejects a target and never keeps one in
// use; it only lengthens a stay out, hints at load, and tells who leaves.
//
// A target answers GET /health with status 200 and a body such as "load 2 of
// 4", the slots that are busy; or with 503 and a body that begins with
// "leaving" if it takes no new requests.
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
	"godwitramp.example/shell/timer"
)

const (
	period = time.Second
	// VMs that probe a target.
	probers       = 2
	probeTimeout  = time.Second
	maxInProgress = 64
	maxBodyBytes  = 256
	healthPath    = "/health"
	leavingPrefix = "leaving"
)

// Tables gives the configuration in force.
type Tables interface {
	// Table returns the configuration, or nil before the first one.
	Table() *configurator.Table
}

// Steward takes what the endpoints say.
type Steward interface {
	// Leave takes note that the target takes no new requests.
	Leave(target configurator.Path, region string)
	// Sick takes note that the target's endpoint fails.
	Sick(target configurator.Path)
}

// Prober probes the targets that fall to this VM. Fields are set before Run.
type Prober struct {
	Members watcher.Members
	Tables  Tables
	Router  *router.Router
	Steward Steward
	// Now is the router's clock.
	Now func() time.Duration
	// HTTP sends the probes; unless set, each goes on a connection of its own,
	// so that it also proves that new connections work.
	HTTP *http.Client

	table  *configurator.Table
	vms    []string
	chosen []configurator.Target
}

// Run probes until the context ends.
func (prober *Prober) Run(ctx context.Context) error {
	if prober.HTTP == nil {
		prober.HTTP = &http.Client{
			Transport:     &http.Transport{DisableKeepAlives: true},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	var group sync.WaitGroup
	defer group.Wait()
	slots := make(chan struct{}, maxInProgress)
	for {
		targets := prober.targets()
		pause := period / time.Duration(max(1, len(targets)))
		for _, target := range targets {
			select {
			case slots <- struct{}{}:
				group.Go(func() {
					defer func() { <-slots }()
					prober.probe(ctx, target)
				})
			default: // too many probes hang; the next round follows
			}
			if !timer.Sleep(ctx, pause) {
				return nil
			}
		}
		if len(targets) == 0 && !timer.Sleep(ctx, period) {
			return nil
		}
	}
}

// targets returns the targets that this VM probes. They are chosen anew when
// the configuration or the VMs of the region change.
func (prober *Prober) targets() []configurator.Target {
	table, self := prober.Tables.Table(), prober.Members.Self()
	vms := []string{self.Name}
	for _, peer := range prober.Members.Live() {
		if peer.Region == self.Region {
			vms = append(vms, peer.Name)
		}
	}
	slices.Sort(vms)
	if table == nil || table == prober.table && slices.Equal(vms, prober.vms) {
		return prober.chosen
	}
	prober.table, prober.vms, prober.chosen = table, vms, nil
	ring := ejector.NewRing(vms)
	for service := range table.Services() {
		for _, target := range service.Targets {
			if target.Region == self.Region && slices.Contains(ring.Next(string(target.Path), probers), self.Name) {
				prober.chosen = append(prober.chosen, target)
			}
		}
	}
	return prober.chosen
}

func (prober *Prober) probe(ctx context.Context, target configurator.Target) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	status, body, err := prober.ask(ctx, target)
	switch {
	case ctx.Err() == context.Canceled:
	case err == nil && status == http.StatusServiceUnavailable && strings.HasPrefix(body, leavingPrefix):
		prober.Steward.Leave(target.Path, target.Region)
	case err != nil || status != http.StatusOK:
		prober.Steward.Sick(target.Path)
	default:
		if busy, ok := parseLoad(body); ok {
			prober.Router.ReportLoad(target.Path, busy, prober.Now())
		}
	}
}

// parseLoad returns the busy share of the target's slots.
func parseLoad(body string) (float64, bool) {
	var running, slots int
	if _, err := fmt.Sscanf(body, "load %d of %d", &running, &slots); err != nil || running < 0 || slots <= 0 {
		return 0, false
	}
	return float64(running) / float64(slots), true
}

func (prober *Prober) ask(ctx context.Context, target configurator.Target) (status int, body string, err error) {
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
