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

type spillPolicy bool

func (spillPolicy spillPolicy) MaySpill(string, string, string) bool { return bool(spillPolicy) }

func path(name string) configurator.Path {
	return configurator.Path("/a/services/s/targets/" + name)
}

func declare(floor float64, targets ...configurator.Target) *configurator.ServiceTargets {
	return &configurator.ServiceTargets{Service: configurator.Service{Path: "/a/services/s", Floor: floor}, Targets: targets}
}

// nearService returns a service with targets t0, t1 and so on in the VM's data centre.
func nearService(floor float64, count int) *configurator.ServiceTargets {
	service := declare(floor)
	for i := range count {
		service.Targets = append(service.Targets, configurator.Target{
			Path: path(fmt.Sprint("t", i)), Service: service.Path, Region: "r1", DataCentre: "r1-1", Slots: 4,
		})
	}
	return service
}

func newRouter(spillAllowed bool) (*router.Router, *rand.Rand) {
	return &router.Router{Locality: router.Locality{Region: "r1", DataCentre: "r1-1"}, SpilloverLimit: spillPolicy(spillAllowed)}, rand.New(rand.NewPCG(1, 1))
}

// countPicks counts the attempts per target over n attempts that end at once.
func countPicks(picker *router.Router, service *configurator.ServiceTargets, random *rand.Rand, n int, now time.Duration) map[string]int {
	counts := make(map[string]int)
	for range n {
		if target, ok := picker.Pick(router.PickInfo{Service: service, Now: now}, random); ok {
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
	for _, spillAllowed := range []bool{true, false} {
		is := is.New(t)
		picker, random := newRouter(spillAllowed)
		wants := []string{"near", "region"}
		if spillAllowed {
			wants = append(wants, "far")
		}
		var tried []configurator.Path
		for _, want := range wants {
			target, ok := picker.Pick(router.PickInfo{Service: service, Tried: tried}, random)
			is.True(ok)
			is.Equal(target.Path.Name(), want)
			tried = append(tried, target.Path)
		}
		_, ok := picker.Pick(router.PickInfo{Service: service, Tried: tried}, random)
		is.True(!ok)
	}
}

func TestShedTargetIsExcludedUntilRetryAfter(t *testing.T) {
	is := is.New(t)
	picker, random := newRouter(false)
	service := nearService(0.5, 2)
	is.Equal(len(countPicks(picker, service, random, 100, 0)), 2)
	picker.Done(router.Result{Target: path("t0"), Kind: router.Shed, RetryAfter: time.Second}, 0)
	is.Equal(countPicks(picker, service, random, 100, time.Second-1)["t0"], 0)
	is.True(countPicks(picker, service, random, 100, time.Second)["t0"] > 0)
	for _, name := range []string{"t0", "t1"} {
		picker.Done(router.Result{Target: path(name), Kind: router.Shed, RetryAfter: time.Minute}, time.Second)
	}
	is.Equal(len(countPicks(picker, service, random, 10, 2*time.Second)), 0)
	is.Equal(picker.WaitTime(service.Path, 2*time.Second), 29*time.Second) // the pause is capped at 30 s
}

// A target that sheds is tried again after the typical latency, doubled while it keeps
// shedding. A Retry-After above one second is always respected.
func TestShedBackoffDoublesUpToRetryAfter(t *testing.T) {
	is := is.New(t)
	picker, random := newRouter(false)
	service, now := nearService(0.5, 1), time.Duration(0)
	answer := func(kind router.ResultKind, retryAfter time.Duration) time.Duration {
		_, ok := picker.Pick(router.PickInfo{Service: service, Now: now}, random)
		is.True(ok)
		picker.Done(router.Result{Target: path("t0"), Kind: kind, Latency: 20 * time.Millisecond, RetryAfter: retryAfter}, now)
		wait := picker.WaitTime(service.Path, now).Round(time.Millisecond)
		now += wait + time.Millisecond
		return wait
	}
	is.Equal(answer(router.Shed, time.Second), time.Second) // the typical latency is unknown
	is.Equal(answer(router.Good, 0), time.Duration(0))
	for _, milliseconds := range []time.Duration{20, 40, 80, 160, 320, 640, 1000, 1000} {
		is.Equal(answer(router.Shed, time.Second), milliseconds*time.Millisecond)
	}
	is.Equal(answer(router.Good, 0), time.Duration(0))
	is.Equal(answer(router.Shed, time.Second), 20*time.Millisecond)
	for _, retryAfter := range []time.Duration{2 * time.Second, 5 * time.Second, 30 * time.Second} {
		is.Equal(answer(router.Shed, retryAfter), retryAfter)
	}
}

func TestWaitTimeCountsReachableTargets(t *testing.T) {
	is := is.New(t)
	service := nearService(0.5, 1)
	service.Targets = append(service.Targets, configurator.Target{Path: path("far"), Region: "r2", DataCentre: "r2-1", Slots: 4})
	for _, spillAllowed := range []bool{false, true} {
		picker, random := newRouter(false)
		want := 100 * time.Millisecond // the spillover limit is used up
		if !spillAllowed {
			picker.SpilloverLimit, want = nil, 3*time.Second
		}
		countPicks(picker, service, random, 1, 0)
		is.Equal(picker.WaitTime(service.Path, 0), time.Duration(0))
		picker.Done(router.Result{Target: path("t0"), Kind: router.Shed, RetryAfter: 3 * time.Second}, 0)
		is.Equal(len(countPicks(picker, service, random, 10, 0)), 0)
		is.Equal(picker.WaitTime(service.Path, 0), want)
	}
}

func TestLeavingTargetIsNotPicked(t *testing.T) {
	is := is.New(t)
	picker, random := newRouter(false)
	service := nearService(0.5, 2)
	countPicks(picker, service, random, 1, 0)
	picker.Done(router.Result{Target: path("t0"), Kind: router.Leaving}, 0)
	is.Equal(countPicks(picker, service, random, 100, 0)["t0"], 0)
	picker.MarkLeaving(service, path("t1"), time.Minute, 0)
	is.Equal(len(countPicks(picker, service, random, 10, 0)), 0)
}

func TestReturningTargetRampsUp(t *testing.T) {
	is := is.New(t)
	picker, random := newRouter(false)
	service := nearService(0.5, 2)
	countPicks(picker, service, random, 1, 0)
	picker.SetEjections(service, []router.Ejection{{Target: path("t0"), Until: time.Minute}}, 0)
	is.Equal(countPicks(picker, service, random, 1000, time.Minute-1)["t0"], 0)
	last := 0
	for _, passed := range []time.Duration{0, 3 * time.Second, 10 * time.Second} {
		got := countPicks(picker, service, random, 1000, time.Minute+passed)["t0"]
		is.True(got > last)
		last = got
	}
	is.True(last > 450)
}

func TestAvoidanceKeepsTheFloor(t *testing.T) {
	is := is.New(t)
	picker, random := newRouter(false)
	service := nearService(0.5, 4)
	countPicks(picker, service, random, 1, 0)
	for i := range 4 {
		for range 5 {
			picker.Done(router.Result{Target: path(fmt.Sprint("t", i)), Kind: router.Failed}, 0)
		}
	}
	is.Equal(len(countPicks(picker, service, random, 1000, 0)), 2) // two of four are avoided
	picker.SetEjections(service, []router.Ejection{{Target: path("t3"), Until: time.Minute}}, 0)
	is.Equal(len(countPicks(picker, service, random, 1000, 0)), 2) // the ejection replaces an avoidance
}

func TestTimeoutOnReusedConnectionIsNoEvidence(t *testing.T) {
	is := is.New(t)
	picker, random := newRouter(false)
	service := nearService(0.5, 2)
	countPicks(picker, service, random, 1, 0)
	for range 10 {
		picker.Done(router.Result{Target: path("t0"), Kind: router.TimedOut}, 0)
	}
	is.True(countPicks(picker, service, random, 100, 0)["t0"] > 0)
	for range 10 {
		picker.Done(router.Result{Target: path("t0"), Kind: router.TimedOut, FreshConnection: true}, 0)
	}
	is.Equal(countPicks(picker, service, random, 100, 0)["t0"], 0)
}
