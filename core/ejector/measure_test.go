package ejector_test

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/ejector"
)

var (
	healthyHours = flag.Float64("hours", 0.1, "length of the traffic in TestMeasureFalseEjections")
	trafficSeed  = flag.Uint64("traffic-seed", 99, "seed of the traffic in TestMeasureFalseEjections")
	faultTrials  = flag.Int("trials", 1, "trials of each fault in TestMeasureDetection")
)

// targetEjected reports whether the faulty target receives nothing more from any VM
// of its region or, for the baseline, from half of the VMs in its data centre.
func (fleet *fleet) targetEjected() bool {
	out, all := 0, 0
	for _, node := range fleet.members {
		if fleet.baseline && node.locality.DataCentre != "r0-0" || node.locality.Region != "r0" {
			continue
		}
		all++
		excluded := slices.ContainsFunc(node.active(fleet, 0), func(o ejector.ActiveEjection) bool { return o.Target == targetPath(0) })
		if excluded || node.consecutiveFailures[targetPath(0)] >= 5 {
			out++
		}
	}
	return out == all || fleet.baseline && 2*out >= all
}

// detect returns the times until the target is ejected, and the share of bad answers
// within the limit, over all trials. The limit stands for a target that is never
// ejected.
func detect(slots int, noise float64, fault fault, baseline bool, limit time.Duration) (times []time.Duration, bad float64) {
	for trial := range *faultTrials {
		fleet := newFleet(uint64(trial), slots, noise, fault, baseline)
		out := limit
		fleet.every(5*time.Millisecond, faultStart, func() {
			if out == limit && fleet.targetEjected() {
				out = fleet.now - faultStart
			}
		})
		fleet.run(faultStart + limit)
		times = append(times, out)
		bad += float64(fleet.bad) / float64(fleet.requests) / float64(*faultTrials)
	}
	slices.Sort(times)
	return times, bad
}

func quantile(times []time.Duration, fraction float64) time.Duration {
	return times[int(fraction*float64(len(times)-1))].Round(time.Millisecond)
}

// TestMeasureDetection prints detection times next to those of a baseline in which
// each VM ejects after five consecutive failures.
//
//	go test ./ejector -run TestMeasureDetection -v -trials 100
func TestMeasureDetection(t *testing.T) {
	is := is.New(t)
	const limit = 20 * time.Second
	flapping := func(since time.Duration) float64 {
		if since/(3*time.Second)%2 == 0 {
			return 0.5
		}
		return 0
	}
	t.Log("slots noise fault | median p99 bad share | baseline median p99 bad share")
	siteSlots := []int{4, 6}
	if *faultTrials == 1 {
		siteSlots = siteSlots[:1] // a single trial gives no figures worth comparing between sites
	}
	for _, slots := range siteSlots {
		for _, noise := range []float64{0.001, 0.01} {
			for _, fault := range []fault{
				{name: "half fail", errors: constantShare(0.5)}, {name: "10x slower", slowness: 10},
				{name: "silent", silent: true}, {name: "flapping", errors: flapping},
			} {
				times, bad := detect(slots, noise, fault, false, limit)
				baseline, baselineBad := detect(slots, noise, fault, true, limit)
				t.Logf("%d %.3f %s | %v %v %.4f | %v %v %.4f", slots, noise, fault.name, quantile(times, 0.5), quantile(times, 0.99), bad,
					quantile(baseline, 0.5), quantile(baseline, 0.99), baselineBad)
				is.True(quantile(times, 0.5) < limit) // the fault is detected
			}
		}
	}
}

// TestMeasureFalseEjections runs traffic without a faulty target.
//
//	go test ./ejector -run TestMeasureFalseEjections -v -hours 24 -timeout 1h
func TestMeasureFalseEjections(t *testing.T) {
	is := is.New(t)
	for _, noise := range []float64{0.001, 0.01} {
		for _, fault := range []fault{{name: "healthy"}, {name: "one partitioned VM", partition: true}} {
			fleet := newFleet(*trafficSeed, 4, noise, fault, false)
			length := time.Duration(*healthyHours * float64(time.Hour))
			fleet.run(faultStart + length)
			t.Logf("%v of %s traffic, noise %.3f: %d ejections, at most %d of a region out", length, fault.name, noise, fleet.ejections, fleet.maxEjected)
			is.Equal(fleet.ejections, 0) // no false ejection
		}
	}
}
