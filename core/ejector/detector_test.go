package ejector_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/ejector"
)

// countOutliers simulates ten VMs of two data centres that report every 100 ms for
// 10 s; tally returns the observations of a VM at a target. It returns how many
// targets are outliers at any time.
func countOutliers(tally func(vm, target int) ejector.Tally) int {
	detector := &ejector.Detector{Region: "r1"}
	detector.Configure(declare(0.5, 4), 0)
	outliers := make(map[string]bool)
	for step := range 100 {
		now := time.Duration(step) * 100 * time.Millisecond
		for vm := range 10 {
			batch := ejector.Batch{VM: fmt.Sprint("vm", vm), DataCentre: fmt.Sprint("r1-", 1+vm%2)}
			for target := range 4 {
				counts := tally(vm, target)
				counts.Target = targetPath(target)
				batch.Tallies = append(batch.Tallies, counts)
			}
			detector.Add(batch, now)
		}
		for _, outlier := range detector.Outliers(now) {
			outliers[outlier.Target.Name()] = true
		}
	}
	return len(outliers)
}

func TestDetectorFindsOutliers(t *testing.T) {
	good, bad, noisy := ejector.Tally{Good: 2}, ejector.Tally{Bad: 20}, ejector.Tally{Good: 100, Bad: 1}
	for _, test := range []struct {
		name string
		want int
		bad  func(vm, target int) bool
	}{
		{"all well", 0, func(int, int) bool { return false }},
		{"one target fails for all", 1, func(_, target int) bool { return target == 0 }},
		{"one VM finds one target bad", 0, func(vm, target int) bool { return vm == 0 && target == 0 }},
		{"one VM finds all targets bad", 0, func(vm, _ int) bool { return vm == 0 }},
		{"the other data centre finds the target bad", 0, func(vm, target int) bool { return vm%2 == 1 && target == 0 }},
		{"the data centre beside the target finds it bad", 1, func(vm, target int) bool { return vm%2 == 0 && target == 0 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(countOutliers(func(vm, target int) ejector.Tally {
				switch {
				case test.bad(vm, target):
					return bad
				case vm == 2:
					return noisy
				default:
					return good
				}
			}), test.want)
		})
	}
}
