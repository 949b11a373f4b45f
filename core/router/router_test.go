package router_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/router"
)

type spill bool

func (spill spill) MaySpill(string, string, string) bool { return bool(spill) }

func path(name string) configurator.Path {
	return configurator.Path("/a/services/s/targets/" + name)
}

func declare(floor float64, targets ...configurator.Target) *configurator.ServiceTargets {
	return &configurator.ServiceTargets{Service: configurator.Service{Path: "/a/services/s", Floor: floor}, Targets: targets}
}

// near returns a service with targets t0, t1 and so on beside the VM.
func near(floor float64, count int) *configurator.ServiceTargets {
	service := declare(floor)
	for i := range count {
		service.Targets = append(service.Targets, configurator.Target{
			Path: path(fmt.Sprint("t", i)), Service: service.Path, Region: "r1", DataCentre: "r1-1", Slots: 4,
		})
	}
	return service
}

func start(spills bool) (*router.Router, *rand.Rand) {
	return &router.Router{Place: router.Place{Region: "r1", DataCentre: "r1-1"}, Spill: spill(spills)}, rand.New(rand.NewPCG(1, 1))
}

// picks counts where n attempts go that end at once.
func picks(picker *router.Router, service *configurator.ServiceTargets, random *rand.Rand, n int, now time.Duration) map[string]int {
	counts := make(map[string]int)
	for range n {
		if target, ok := picker.Pick(router.Ask{Service: service, Now: now}, random); ok {
			counts[target.Path.Name()]++
			picker.Done(router.Result{Target: target.Path, Kind: router.Cancelled}, now)
		}
	}
	return counts
}

func TestPickPrefersNearTargets(t *testing.T) {
	service := declare(0.5,
		configurator.Target{Path: path("far"), Region: "r2", DataCentre: "r2-1"},
		configurator.Target{Path: path("region"), Region: "r1", DataCentre: "r1-2"},
		configurator.Target{Path: path("near"), Region: "r1", DataCentre: "r1-1"},
		configurator.Target{Path: path("leaving"), Region: "r1", DataCentre: "r1-1", Leaving: true},
	)
	for _, spills := range []bool{true, false} {
		is := is.New(t)
		picker, random := start(spills)
		wants := []string{"near", "region"}
		if spills {
			wants = append(wants, "far")
		}
		var tried []configurator.Path
		for _, want := range wants {
			target, ok := picker.Pick(router.Ask{Service: service, Tried: tried}, random)
			is.True(ok)
			is.Equal(target.Path.Name(), want)
			tried = append(tried, target.Path)
		}
		_, ok := picker.Pick(router.Ask{Service: service, Tried: tried}, random)
		is.True(!ok)
	}
}

func TestShedTargetGetsNothingUntilItsTime(t *testing.T) {
	is := is.New(t)
	picker, random := start(false)
	service := near(0.5, 2)
	is.Equal(len(picks(picker, service, random, 100, 0)), 2)
	picker.Done(router.Result{Target: path("t0"), Kind: router.Shed, RetryAfter: time.Second}, 0)
	is.Equal(picks(picker, service, random, 100, time.Second-1)["t0"], 0)
	is.True(picks(picker, service, random, 100, time.Second)["t0"] > 0)
	for _, name := range []string{"t0", "t1"} {
		picker.Done(router.Result{Target: path(name), Kind: router.Shed, RetryAfter: time.Minute}, time.Second)
	}
	is.Equal(len(picks(picker, service, random, 10, 2*time.Second)), 0)
	is.Equal(picker.Wait(service.Path, 2*time.Second), 29*time.Second) // the pause is bounded
}

// A target that sheds is tried again after the usual latency, ever later while
// it goes on shedding, and not before its time if it asks for long.
func TestPauseAfterShed(t *testing.T) {
	is := is.New(t)
	picker, random := start(false)
	service, now := near(0.5, 1), time.Duration(0)
	answer := func(kind router.ResultKind, asked time.Duration) time.Duration {
		_, ok := picker.Pick(router.Ask{Service: service, Now: now}, random)
		is.True(ok)
		picker.Done(router.Result{Target: path("t0"), Kind: kind, Latency: 20 * time.Millisecond, RetryAfter: asked}, now)
		wait := picker.Wait(service.Path, now).Round(time.Millisecond)
		now += wait + time.Millisecond
		return wait
	}
	is.Equal(answer(router.Shed, time.Second), time.Second) // the usual latency isn't known
	is.Equal(answer(router.Good, 0), time.Duration(0))
	for _, milliseconds := range []time.Duration{20, 40, 80, 160, 320, 640, 1000, 1000} {
		is.Equal(answer(router.Shed, time.Second), milliseconds*time.Millisecond)
	}
	is.Equal(answer(router.Good, 0), time.Duration(0))
	is.Equal(answer(router.Shed, time.Second), 20*time.Millisecond)
	for _, asked := range []time.Duration{2 * time.Second, 5 * time.Second, 30 * time.Second} {
		is.Equal(answer(router.Shed, asked), asked)
	}
}

func TestWaitCountsReachableTargets(t *testing.T) {
	is := is.New(t)
	service := near(0.5, 1)
	service.Targets = append(service.Targets, configurator.Target{Path: path("far"), Region: "r2", DataCentre: "r2-1", Slots: 4})
	for _, spills := range []bool{false, true} {
		picker, random := start(false)
		want := 100 * time.Millisecond // the spill is used up
		if !spills {
			picker.Spill, want = nil, 3*time.Second
		}
		picks(picker, service, random, 1, 0)
		is.Equal(picker.Wait(service.Path, 0), time.Duration(0))
		picker.Done(router.Result{Target: path("t0"), Kind: router.Shed, RetryAfter: 3 * time.Second}, 0)
		is.Equal(len(picks(picker, service, random, 10, 0)), 0)
		is.Equal(picker.Wait(service.Path, 0), want)
	}
}

func TestLeavingTargetGetsNothing(t *testing.T) {
	is := is.New(t)
	picker, random := start(false)
	service := near(0.5, 2)
	picks(picker, service, random, 1, 0)
	picker.Done(router.Result{Target: path("t0"), Kind: router.Leaving}, 0)
	is.Equal(picks(picker, service, random, 100, 0)["t0"], 0)
	picker.Leave(service, path("t1"), time.Minute, 0)
	is.Equal(len(picks(picker, service, random, 10, 0)), 0)
}

func TestReturningTargetRampsUp(t *testing.T) {
	is := is.New(t)
	picker, random := start(false)
	service := near(0.5, 2)
	picks(picker, service, random, 1, 0)
	picker.Eject(service, []router.Ejection{{Target: path("t0"), Until: time.Minute}}, 0)
	is.Equal(picks(picker, service, random, 1000, time.Minute-1)["t0"], 0)
	last := 0
	for _, passed := range []time.Duration{0, 3 * time.Second, 10 * time.Second} {
		got := picks(picker, service, random, 1000, time.Minute+passed)["t0"]
		is.True(got > last)
		last = got
	}
	is.True(last > 450)
}

func TestAvoidanceKeepsTheFloor(t *testing.T) {
	is := is.New(t)
	picker, random := start(false)
	service := near(0.5, 4)
	picks(picker, service, random, 1, 0)
	for i := range 4 {
		for range 5 {
			picker.Done(router.Result{Target: path(fmt.Sprint("t", i)), Kind: router.Failed}, 0)
		}
	}
	is.Equal(len(picks(picker, service, random, 1000, 0)), 2) // two of four are avoided
	picker.Eject(service, []router.Ejection{{Target: path("t3"), Until: time.Minute}}, 0)
	is.Equal(len(picks(picker, service, random, 1000, 0)), 2) // an ejection takes the place of an avoidance
}

func TestSilentConnectionIsNotTheTargetsFault(t *testing.T) {
	is := is.New(t)
	picker, random := start(false)
	service := near(0.5, 2)
	picks(picker, service, random, 1, 0)
	for range 10 {
		picker.Done(router.Result{Target: path("t0"), Kind: router.TimedOut}, 0)
	}
	is.True(picks(picker, service, random, 100, 0)["t0"] > 0)
	for range 10 {
		picker.Done(router.Result{Target: path("t0"), Kind: router.TimedOut, FreshConnection: true}, 0)
	}
	is.Equal(picks(picker, service, random, 100, 0)["t0"], 0)
}
