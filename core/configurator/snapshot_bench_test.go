package configurator_test

import (
	"fmt"
	"testing"

	"godwitramp.example/core/configurator"
)

func BenchmarkSnapshot(b *testing.B) {
	for _, divisor := range sizes {
		state := largeState(b, divisor)
		snapshot := state.Snapshot()
		data, err := snapshot.Encode()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("encode/1:%d", divisor), func(b *testing.B) {
			for b.Loop() {
				_, _ = snapshot.Encode()
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
		b.Run(fmt.Sprintf("load/1:%d", divisor), func(b *testing.B) {
			for b.Loop() {
				decoded, err := configurator.DecodeSnapshot(data)
				if err != nil {
					b.Fatal(err)
				}
				if err := configurator.NewState().Load(decoded); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("clone/1:%d", divisor), func(b *testing.B) {
			for b.Loop() {
				state.Clone()
			}
		})
	}
}
