package router_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/router"
)

// declareFleet returns services with equal numbers of targets over three regions.
func declareFleet(services, targets int) []*configurator.ServiceTargets {
	var all []*configurator.ServiceTargets
	for s := range services {
		service := configurator.Service{Path: configurator.Path(fmt.Sprint("/a/services/s", s)), Floor: 0.5}
		declared := &configurator.ServiceTargets{Service: service}
		for t := range targets {
			region := fmt.Sprint("r", 1+t%3)
			declared.Targets = append(declared.Targets, configurator.Target{
				Path: configurator.Path(fmt.Sprint(service.Path, "/targets/t", t)), Service: service.Path,
				Region: region, DataCentre: fmt.Sprint(region, "-", 1+t/3%2), Slots: 4,
			})
		}
		all = append(all, declared)
	}
	return all
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func BenchmarkPick(b *testing.B) {
	for _, size := range []struct{ services, targets int }{{4, 12}, {100, 52}, {2100, 52}, {1, 110_000}} {
		b.Run(fmt.Sprint(size.services*size.targets, "-targets-", size.services, "-services"), func(b *testing.B) {
			services := declareFleet(size.services, size.targets)
			picker, random := newRouter(true)
			before := heapBytes()
			for _, service := range services {
				countPicks(picker, service, random, 1, 0)
			}
			perTarget := float64(heapBytes()-before) / float64(size.services*size.targets)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := time.Duration(i) * time.Microsecond
				target, _ := picker.Pick(router.PickInfo{Service: services[i%len(services)], Now: now}, random)
				picker.Done(router.Result{Target: target.Path, Latency: 20 * time.Millisecond}, now)
			}
			b.ReportMetric(perTarget, "B/target")
		})
	}
}

func BenchmarkPickParallel(b *testing.B) {
	services := declareFleet(4, 12)
	picker, _ := newRouter(true)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		random := rand.New(rand.NewPCG(1, 1))
		for i := 0; pb.Next(); i++ {
			target, _ := picker.Pick(router.PickInfo{Service: services[i%len(services)]}, random)
			picker.Done(router.Result{Target: target.Path, Latency: 20 * time.Millisecond}, 0)
		}
	})
}
