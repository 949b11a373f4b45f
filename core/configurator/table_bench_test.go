package configurator_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"runtime"
	"slices"
	"testing"

	"godwitramp.example/core/configurator"
)

// sizes are the divisors of the full size: 380,000 organisations with a key
// each, 200,000 routes, and 110,000 targets of 2,100 services.
var sizes = []int{100, 10, 1}

func largeState(b *testing.B, divisor int) *configurator.State {
	b.Helper()
	var entries []configurator.Entry
	add := func(path configurator.Path, fields ...configurator.Field) {
		entries = append(entries, configurator.Entry{Path: path, Fields: fields})
	}
	for n := range 380_000 / divisor {
		add(path("/a/organisations/o%d", n), configurator.Field{Name: "burst", Value: "5"}, configurator.Field{Name: "rate", Value: "5"})
		add(path("/a/organisations/o%d/keys/k", n), keyField(n))
	}
	services := max(1, 2100/divisor)
	for n := range services {
		add(path("/a/services/s%d", n))
	}
	for n := range 200_000 / divisor {
		add(path("/a/routes/r%d", n), configurator.Field{Name: "prefix", Value: fmt.Sprintf("/r/%d", n)},
			configurator.Field{Name: "service", Value: fmt.Sprintf("s%d", n%services)})
	}
	for n := range 110_000 / divisor {
		add(path("/a/services/s%d/targets/t%d", n%services, n), configurator.Field{Name: "address", Value: "127.0.0.1:80"},
			configurator.Field{Name: "data-centre", Value: "d"}, configurator.Field{Name: "region", Value: "r"})
	}
	snapshot := configurator.Snapshot{Revision: 1, Entries: entries}
	for _, entry := range entries {
		snapshot.Digest = snapshot.Digest.Add(entry)
	}
	state := configurator.NewState()
	if err := state.Load(snapshot); err != nil {
		b.Fatal(err)
	}
	return state
}

func keyField(n int) configurator.Field {
	digest := sha256.Sum256(fmt.Append(nil, n))
	return configurator.Field{Name: "sha-256", Value: hex.EncodeToString(digest[:])}
}

func BenchmarkOneChange(b *testing.B) {
	for _, divisor := range sizes {
		state := largeState(b, divisor)
		table, problems := configurator.Compile(state.All())
		if len(problems) > 0 {
			b.Fatal(problems[0])
		}
		change := configurator.Change{Revision: 2, Team: "a", Deletes: []configurator.Path{"/a/organisations/o1/keys/k"}}
		b.Run(fmt.Sprintf("update/1:%d", divisor), func(b *testing.B) {
			for b.Loop() {
				table.Update(state, change)
			}
		})
		b.Run(fmt.Sprintf("compile/1:%d", divisor), func(b *testing.B) {
			for b.Loop() {
				configurator.Compile(state.All())
			}
		})
	}
}

func BenchmarkLookUp(b *testing.B) {
	for _, divisor := range sizes {
		state := largeState(b, divisor)
		table, _ := configurator.Compile(state.All())
		hashes := slices.Collect(func(yield func(configurator.KeyHash) bool) {
			for n := range 1000 {
				if !yield(sha256.Sum256(fmt.Append(nil, n))) {
					return
				}
			}
		})
		b.Run(fmt.Sprintf("key/1:%d", divisor), func(b *testing.B) {
			for n := 0; b.Loop(); n++ {
				if table.Key(hashes[n%len(hashes)]) == nil {
					b.Fatal("key is missing")
				}
			}
		})
	}
}

// BenchmarkMemory reports the heap size of a state with its table.
func BenchmarkMemory(b *testing.B) {
	for _, divisor := range sizes {
		b.Run(fmt.Sprintf("1:%d", divisor), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				state := largeState(b, divisor)
				table, _ := configurator.Compile(state.All())
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(state)
				runtime.KeepAlive(table)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		})
	}
}
