package arranger_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/core/arranger"
	"godwitramp.example/core/watcher"
)

func fleet(size, dataCentres int) []watcher.Peer {
	peers := make([]watcher.Peer, size)
	for i := range peers {
		peers[i] = watcher.Peer{Name: fmt.Sprintf("vm-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%dataCentres)}
	}
	return peers
}

func without(peers []watcher.Peer, i int) []watcher.Peer {
	return append(append([]watcher.Peer{}, peers[:i]...), peers[i+1:]...)
}

// TestCallLoadIsBoundedAcrossFleetSizes checks that the numbers of readers and
// levels and the calls to the busiest VM stay bounded at 40, 640 and 2,560 VMs.
func TestCallLoadIsBoundedAcrossFleetSizes(t *testing.T) {
	for _, test := range []struct{ size, dataCentres, readers, levels, busiest int }{
		{40, 6, 24, 2, 20}, {640, 6, 24, 4, 20}, {2560, 10, 40, 4, 20},
	} {
		is := is.New(t)
		peers := fleet(test.size, test.dataCentres)
		random := rand.New(rand.NewPCG(1, 2))
		readers, deepest := 0, 0
		calls := make(map[string]float64)
		const turns = 10
		for i, self := range peers {
			position := arranger.Arrange(self, without(peers, i))
			deepest = max(deepest, position.Level)
			if position.Reader() {
				readers++
			}
			for range turns {
				for _, peer := range position.PeersToCall(random) {
					is.True(peer.Name != self.Name)
					calls[peer.Name] += 1.0 / turns
				}
			}
		}
		is.Equal(readers, test.readers) // readers of the store
		is.True(deepest < test.levels)  // hops to the readers
		busiest := 0.0
		for _, count := range calls {
			busiest = max(busiest, count)
		}
		t.Logf("%d VMs: %d readers, deepest level %d, busiest VM answers %.1f calls a turn", test.size, readers, deepest, busiest)
		is.True(busiest < float64(test.busiest)) // calls a turn to one VM
	}
}

func BenchmarkArrange(b *testing.B) {
	for _, size := range []int{40, 640, 5800} {
		peers := fleet(size, 10)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for n := 0; b.Loop(); n++ {
				self := n % size
				arranger.Arrange(peers[self], peers)
			}
		})
	}
}
