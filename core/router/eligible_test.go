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

// model holds the end of each target's exclusion, by cause.
type model struct {
	shed, leave, eject map[configurator.Path]time.Duration
}

// eligible returns the declared targets that a pick may return.
func (model model) eligible(info router.PickInfo, spillAllowed bool) []configurator.Path {
	var paths []configurator.Path
	for _, target := range info.Service.Targets {
		until := max(model.shed[target.Path], model.leave[target.Path], model.eject[target.Path])
		if !target.Leaving && info.Now >= until && (spillAllowed || target.Region == "r1") && !slices.Contains(info.Tried, target.Path) {
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

// Pick must return exactly the targets that a filter over all of them allows, over
// random histories of shed answers, leaving targets, ejections and configurations.
func TestPickMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spillAllowed := rapid.Bool().Draw(t, "spills")
		picker, _ := newRouter(spillAllowed)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		service, now := drawService(t), time.Duration(0)
		model := model{shed: map[configurator.Path]time.Duration{}, leave: map[configurator.Path]time.Duration{}}
		picker.SetEjections(service, nil, now)
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
				model.shed[path] = max(model.shed[path], until)
			},
			"leave": func(t *rapid.T) {
				path, until := target(t), until(t)
				picker.MarkLeaving(service, path, until, now)
				model.leave[path] = max(model.leave[path], until)
			},
			"eject": func(t *rapid.T) {
				path, until := target(t), until(t)
				picker.SetEjections(service, []router.Ejection{{Target: path, Until: until}}, now)
				model.eject = map[configurator.Path]time.Duration{path: until}
			},
			"configure": func(t *rapid.T) {
				service = drawService(t)
				picker.SetEjections(service, nil, now)
				model.eject = nil
				for _, known := range []map[configurator.Path]time.Duration{model.shed, model.leave} {
					for path := range known {
						if !slices.ContainsFunc(service.Targets, func(target configurator.Target) bool { return target.Path == path }) {
							delete(known, path) // a target that is declared again is a new one
						}
					}
				}
			},
			"time": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond },
			"": func(t *rapid.T) {
				info := router.PickInfo{Service: service, Now: now}
				for {
					want := model.eligible(info, spillAllowed)
					got, ok := picker.Pick(info, random)
					if ok != (len(want) > 0) || ok && !slices.Contains(want, got.Path) {
						t.Fatalf("picked %q, the filter allows %v", got.Path, want)
					}
					if !ok {
						return
					}
					picker.Done(router.Result{Target: got.Path, Kind: router.Cancelled}, now)
					info.Tried = append(info.Tried, got.Path)
				}
			},
		})
	})
}
