package router_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/router"
)

// completion is the scheduled end of a request.
type completion struct {
	at, latency time.Duration
	vm, target  int
}

type completions []completion

func (completions completions) Len() int           { return len(completions) }
func (completions completions) Less(i, j int) bool { return completions[i].at < completions[j].at }
func (completions completions) Swap(i, j int) {
	completions[i], completions[j] = completions[j], completions[i]
}
func (completions *completions) Push(x any) { *completions = append(*completions, x.(completion)) }
func (completions *completions) Pop() any {
	last := (*completions)[len(*completions)-1]
	*completions = (*completions)[:len(*completions)-1]
	return last
}

// spread sends Poisson traffic from the VMs of one region to its targets. It returns
// the fraction of attempts that were shed, and the fraction of requests that found no
// free slot in three attempts.
func spread(slots int, load float64, retryAfter time.Duration, choose func(vm int, info router.PickInfo, random *rand.Rand) (configurator.Target, bool), done func(vm int, result router.Result, now time.Duration)) (shed, refused float64) {
	const vms, targets, work, length = 14, 4, 20 * time.Millisecond, 60 * time.Second
	random := rand.New(rand.NewPCG(7, 7))
	service := nearService(0.5, targets)
	busy := make([]int, targets)
	index := make(map[configurator.Path]int)
	for i := range service.Targets {
		service.Targets[i].DataCentre = fmt.Sprint("r1-", 1+i%2)
		service.Targets[i].Slots = slots
		index[service.Targets[i].Path] = i
	}
	var running completions
	perSecond := load * float64(targets*slots) / work.Seconds()
	attempts, sheds, requests, refusals := 0, 0, 0, 0
	for now := time.Duration(0); now < length; now += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
		for len(running) > 0 && running[0].at <= now {
			ended := heap.Pop(&running).(completion)
			busy[ended.target]--
			done(ended.vm, router.Result{Target: service.Targets[ended.target].Path, Latency: ended.latency}, ended.at)
		}
		vm, info, served := random.IntN(vms), router.PickInfo{Service: service, Now: now}, false
		requests++
		for len(info.Tried) < 3 && !served {
			target, ok := choose(vm, info, random)
			if !ok {
				break
			}
			attempts++
			info.Tried = append(info.Tried, target.Path)
			i := index[target.Path]
			if served = busy[i] < slots; served {
				busy[i]++
				latency := time.Duration(random.ExpFloat64() * float64(work))
				heap.Push(&running, completion{at: now + latency, latency: latency, vm: vm, target: i})
				continue
			}
			sheds++
			done(vm, router.Result{Target: target.Path, Kind: router.Shed, RetryAfter: retryAfter}, now)
		}
		if !served {
			refusals++
		}
	}
	return float64(sheds) / float64(attempts), float64(refusals) / float64(requests)
}

// The router must shed no more than a random choice, and with pauses after shed
// answers refuse no more requests than the second baseline. The test also prints the
// fractions for the slots of both users. The baselines are a random target, and the
// one of two random targets with fewer requests in flight from the same VM.
func TestMeasureSpread(t *testing.T) {
	is := is.New(t)
	uniform := func(_ int, info router.PickInfo, random *rand.Rand) (configurator.Target, bool) {
		return info.Service.Targets[random.IntN(len(info.Service.Targets))], true
	}
	t.Log("slots load | random shed refused | two local counts shed refused | router shed refused | router with Retry-After 1s shed refused")
	for _, slots := range []int{4, 6} {
		for _, load := range []float64{0.3, 0.5, 0.7} {
			var counts [14]map[configurator.Path]int
			var routers [14]*router.Router
			for vm := range routers {
				counts[vm] = make(map[configurator.Path]int)
				routers[vm] = &router.Router{Locality: router.Locality{Region: "r1", DataCentre: fmt.Sprint("r1-", 1+vm%2)}}
			}
			twoCounts := func(vm int, info router.PickInfo, random *rand.Rand) (configurator.Target, bool) {
				first, _ := uniform(vm, info, random)
				second, _ := uniform(vm, info, random)
				if counts[vm][second.Path] < counts[vm][first.Path] {
					first = second
				}
				counts[vm][first.Path]++
				return first, true
			}
			shedRandom, refusedRandom := spread(slots, load, 0, uniform, func(int, router.Result, time.Duration) {})
			shedCounts, refusedCounts := spread(slots, load, 0, twoCounts, func(vm int, result router.Result, _ time.Duration) { counts[vm][result.Target]-- })
			route := func(vm int, info router.PickInfo, random *rand.Rand) (configurator.Target, bool) {
				return routers[vm].Pick(info, random)
			}
			done := func(vm int, result router.Result, now time.Duration) { routers[vm].Done(result, now) }
			shed, refused := spread(slots, load, 0, route, done)
			for vm := range routers {
				routers[vm] = &router.Router{Locality: routers[vm].Locality}
			}
			shedWait, refusedWait := spread(slots, load, time.Second, route, done)
			t.Logf("%d %.1f | %.4f %.4f | %.4f %.4f | %.4f %.4f | %.4f %.4f", slots, load, shedRandom, refusedRandom,
				shedCounts, refusedCounts, shed, refused, shedWait, refusedWait)
			is.True(shed <= shedRandom) // the router sheds no more than a random choice
			is.True(shedWait <= shedRandom)
			is.True(refusedWait <= refusedCounts) // pauses refuse no more than the baseline without pauses
		}
	}
}
