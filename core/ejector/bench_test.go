package ejector_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/ejector"
	"godwitramp.example/core/timekeeper"
)

func BenchmarkDetectorAdd(b *testing.B) {
	for _, targets := range []int{4, 13, 52} {
		b.Run(fmt.Sprint(targets, "-targets"), func(b *testing.B) {
			detector := &ejector.Detector{Region: "r1"}
			detector.Configure(declare(0.5, targets), 0)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				tally := ejector.Tally{Target: targetPath(i % targets), Good: 9, Bad: i / targets % 10 / 9}
				detector.Add(ejector.Batch{VM: "vm", DataCentre: "r1-1", Tallies: []ejector.Tally{tally}}, time.Duration(i)*time.Millisecond)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkView applies renewals of all permits in turn. B/permit is the memory of
// the view and of one copy of the statement.
func BenchmarkView(b *testing.B) {
	for _, permits := range []int{100, 1000, 25_000} {
		b.Run(fmt.Sprint(permits, "-permits"), func(b *testing.B) {
			var view ejector.View
			before := heapBytes()
			statements := make([]ejector.Statement, permits)
			for i := range statements {
				service := configurator.Path(fmt.Sprintf("/team/services/s%04d", i/12))
				statements[i] = ejector.Statement{Holder: "vm-0001", Address: "10.0.0.1:9000", Term: 1, Permit: ejector.PermitID{
					Group: ejector.Group{Service: service, Region: fmt.Sprint("r", i/3%4)}, Index: i % 3,
				}}
				view.Apply(statements[i], timekeeper.At(0))
			}
			perPermit := float64(heapBytes()-before) / float64(permits)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				statement := &statements[i%permits]
				statement.Sequence++
				view.Apply(*statement, timekeeper.At(time.Duration(i)))
			}
			b.ReportMetric(perPermit, "B/permit")
		})
	}
}

func BenchmarkRingNext(b *testing.B) {
	for _, vms := range []int{40, 400, 5800} {
		b.Run(fmt.Sprint(vms, "-vms"), func(b *testing.B) {
			names := make([]string, vms)
			for i := range names {
				names[i] = fmt.Sprint("vm-", i)
			}
			ring := ejector.NewRing(names)
			for i := 0; b.Loop(); i++ {
				ring.Next(string(targetPath(i%1000)), 3)
			}
		})
	}
}
