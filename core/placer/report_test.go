package placer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/placer"
)

func TestLostRequestsAreReportedWhateverTheOutcome(t *testing.T) {
	for _, outcome := range []placer.Outcome{
		placer.Failed, placer.FailedLate, placer.Slow, placer.Full, placer.Unreachable, placer.Unknown,
	} {
		is := is.New(t)
		vm := at("a1")
		report := vm.Report(placer.Failure{Service: "s", Outcome: outcome, Suspicion: 0.9, Lost: true}, 0)
		is.True(report.Request)
		is.Equal(report.Target, outcome == placer.FailedLate)
		is.Equal(vm.Report(placer.Failure{Service: "s", Outcome: outcome, Suspicion: 0.9}, 0), placer.Report{})
	}
}

// While everything fails, reports must not grow with the load.
func TestReportsEndOnceTheFleetKnows(t *testing.T) {
	is := is.New(t)
	vm := at("a1")
	vm.FleetShare = 0.25
	reported := 0
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		if vm.Report(placer.Failure{Service: "s", Outcome: placer.Slow, Lost: true}, now).Request {
			reported++
			for range 4 {
				vm.RecordFleetFailure("s", 1000, now)
			}
		}
	}
	is.True(reported > 100)
	is.True(reported < 10_000/4) // all fail, so a share of 0.12 of them is enough
	is.True(vm.Degraded("s", 10*time.Second))
}
