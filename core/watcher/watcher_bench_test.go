package watcher_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"godwitramp.example/core/watcher"
)

// sizes are numbers of VMs.
var sizes = []int{40, 640, 5_800}

// full returns a VM that knows all others.
func full(size int) *watcher.Watcher {
	self := watcher.New(newPeer(0))
	for i := 1; i < size; i++ {
		self.Receive(watcher.Exchange{From: watcher.Record{Peer: newPeer(i)}}, time.Second)
	}
	return self
}

// BenchmarkPeriod is one period without news: the VMs to call and the checks
// of all members.
func BenchmarkPeriod(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			self, random := full(size), rand.New(rand.NewPCG(1, 1))
			for b.Loop() {
				self.Tick(time.Second)
				self.Targets(time.Second, random)
			}
		})
	}
}

// BenchmarkNews is one VM that restarts, with the neighbours found anew.
func BenchmarkNews(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			self, peer := full(size), newPeer(1)
			for b.Loop() {
				peer.Incarnation++
				self.Receive(watcher.Exchange{From: watcher.Record{Peer: peer}}, time.Second)
				self.Live()
			}
		})
	}
}

// BenchmarkMemory reports the bytes that one known VM takes.
func BenchmarkMemory(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				self := full(size)
				self.Live()
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(self)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "B/vm")
		})
	}
}
