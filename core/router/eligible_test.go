package router_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/router"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "300", "rapid.steps": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// naive lists until when each target is out, by cause.
type naive struct {
	shed, leave, eject map[configurator.Path]time.Duration
}

// eligible filters the declared targets.
func (naive naive) eligible(ask router.Ask, spills bool) []configurator.Path {
	var paths []configurator.Path
	for _, target := range ask.Service.Targets {
		until := max(naive.shed[target.Path], naive.leave[target.Path], naive.eject[target.Path])
		if !target.Leaving && ask.Now >= until && (spills || target.Region == "r1") && !slices.Contains(ask.Tried, target.Path) {
			paths = append(paths, target.Path)
		}
	}
	return paths
}

func drawService(t *rapid.T) *configurator.ServiceTargets {
	service := declare(0.5)
	for i := range rapid.IntRange(1, 6).Draw(t, "targets") {
		region := fmt.Sprint("r", rapid.IntRange(1, 2).Draw(t, "region"))
		service.Targets = append(service.Targets, configurator.Target{
			Path: path(fmt.Sprint("t", i)), Region: region, DataCentre: region + fmt.Sprint("-", rapid.IntRange(1, 2).Draw(t, "centre")),
			Slots: 4, Leaving: rapid.IntRange(0, 5).Draw(t, "leaving") == 0,
		})
	}
	return service
}

// TestPickAgainstFilter compares picks with a filter over all targets, over
// random histories of answers, ejections and configurations.
func TestPickAgainstFilter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spills := rapid.Bool().Draw(t, "spills")
		picker, _ := start(spills)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		service, now := drawService(t), time.Duration(0)
		naive := naive{shed: map[configurator.Path]time.Duration{}, leave: map[configurator.Path]time.Duration{}}
		picker.Eject(service, nil, now)
		target := func(t *rapid.T) configurator.Path {
			return service.Targets[rapid.IntRange(0, len(service.Targets)-1).Draw(t, "target")].Path
		}
		until := func(t *rapid.T) time.Duration {
			return now + time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds"))*time.Second
		}
		t.Repeat(map[string]func(*rapid.T){
			"shed": func(t *rapid.T) {
				path, until := target(t), until(t)
				picker.Done(router.Result{Target: path, Kind: router.Shed, RetryAfter: until - now}, now)
				naive.shed[path] = max(naive.shed[path], until)
			},
			"leave": func(t *rapid.T) {
				path, until := target(t), until(t)
				picker.Leave(service, path, until, now)
				naive.leave[path] = max(naive.leave[path], until)
			},
			"eject": func(t *rapid.T) {
				path, until := target(t), until(t)
				picker.Eject(service, []router.Ejection{{Target: path, Until: until}}, now)
				naive.eject = map[configurator.Path]time.Duration{path: until}
			},
			"configure": func(t *rapid.T) {
				service = drawService(t)
				picker.Eject(service, nil, now)
				naive.eject = nil
				for _, known := range []map[configurator.Path]time.Duration{naive.shed, naive.leave} {
					for path := range known {
						if !slices.ContainsFunc(service.Targets, func(target configurator.Target) bool { return target.Path == path }) {
							delete(known, path) // a target that comes back is a new one
						}
					}
				}
			},
			"time": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond },
			"": func(t *rapid.T) {
				ask := router.Ask{Service: service, Now: now}
				for {
					want := naive.eligible(ask, spills)
					got, ok := picker.Pick(ask, random)
					if ok != (len(want) > 0) || ok && !slices.Contains(want, got.Path) {
						t.Fatalf("picked %q, the filter allows %v", got.Path, want)
					}
					if !ok {
						return
					}
					picker.Done(router.Result{Target: got.Path, Kind: router.Cancelled}, now)
					ask.Tried = append(ask.Tried, got.Path)
				}
			},
		})
	})
}
