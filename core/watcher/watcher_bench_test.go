package watcher_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"godwitramp.example/core/watcher"
)

// sizes are the fleet sizes of the benchmarks, in VMs.
var sizes = []int{40, 640, 5_800}

// fullView returns the watcher of a VM that knows all others.
func fullView(size int) *watcher.Watcher {
	self := watcher.New(newPeer(0))
	for i := 1; i < size; i++ {
		self.HandleCall(watcher.Exchange{From: watcher.Record{Peer: newPeer(i)}}, time.Second)
	}
	return self
}

// BenchmarkPeriod measures one period without changes: choosing the VMs to call
// and checking all members for timeouts.
func BenchmarkPeriod(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			self, random := fullView(size), rand.New(rand.NewPCG(1, 1))
			for b.Loop() {
				self.Tick(time.Second)
				self.PeersToCall(time.Second, random)
			}
		})
	}
}

// BenchmarkRestart measures merging the restart of one VM and recomputing the
// neighbours.
func BenchmarkRestart(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			self, peer := fullView(size), newPeer(1)
			for b.Loop() {
				peer.Incarnation++
				self.HandleCall(watcher.Exchange{From: watcher.Record{Peer: peer}}, time.Second)
				self.Live()
			}
		})
	}
}

// BenchmarkMemory reports the heap bytes per known VM.
func BenchmarkMemory(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				self := fullView(size)
				self.Live()
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(self)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "B/vm")
		})
	}
}
