// Package arranger decides which VMs read the store and whom each VM asks for
// news, from the list of live VMs alone.
//
// The VMs of a data centre stand in levels, in the order of a hash of their
// names: a few readers on level 0, and on each further level up to eight times
// as many VMs as on the one above. A VM asks a random VM of the level above;
// readers ask the store and the readers of other data centres. Now and then
// each VM asks one of a few others, drawn for it from the whole fleet, so that
// news and evidence get round a cut as long as there is a path. The calls that a VM makes and answers don't grow
// with the fleet.
//
// # Usage
//
//	place := arranger.Arrange(members.Self(), members.Live())
//	for _, peer := range place.Next(random) {
//		// Exchange news with the peer.
//	}
package arranger

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"godwitramp.example/core/watcher"
)

const (
	// ReadersPerDataCentre is the number of VMs on level 0.
	ReadersPerDataCentre = 4
	// FanOut is how many VMs ask one VM of the level above on average.
	FanOut = 8
	// wanderOdds is one in how many turns a VM asks one of the others.
	wanderOdds = 4
	// otherCount bounds the connections that a VM keeps open.
	otherCount = 8
)

// Place is where a VM stands.
type Place struct {
	Level int
	// Above are the VMs that this one asks: the level above, or for a reader
	// the other readers of the fleet.
	Above []watcher.Peer
	// First is true for one VM of the data centre.
	First bool
	// Others are a few VMs anywhere, other ones for each VM.
	Others []watcher.Peer
	hash   uint64
}

// Reader reports whether the VM reads the store.
func (place Place) Reader() bool { return place.Level == 0 }

// Arrange returns the place of a VM among the live ones.
func Arrange(self watcher.Peer, live []watcher.Peer) Place {
	own := order(append(within(live, self.DataCentre), self))
	rank := slices.IndexFunc(own, func(peer watcher.Peer) bool { return peer.Name == self.Name })
	place := Place{First: rank == 0, Others: others(self, live), hash: xxhash.Sum64String(self.Name)}
	start, end := 0, ReadersPerDataCentre
	for rank >= end {
		place.Above = own[start:end]
		start, end = end, end+(end-start)*FanOut
		place.Level++
	}
	if place.Level == 0 {
		place.Above = otherReaders(self, live, own)
	}
	return place
}

// otherReaders returns the readers of all data centres but for the VM itself.
// Own is its data centre in order.
func otherReaders(self watcher.Peer, live, own []watcher.Peer) []watcher.Peer {
	var readers []watcher.Peer
	for _, peer := range own[:min(len(own), ReadersPerDataCentre)] {
		if peer.Name != self.Name {
			readers = append(readers, peer)
		}
	}
	for _, centre := range dataCentres(live) {
		if centre == self.DataCentre {
			continue
		}
		peers := order(within(live, centre))
		readers = append(readers, peers[:min(len(peers), ReadersPerDataCentre)]...)
	}
	return readers
}

// others returns the VMs with the highest hashes of both names.
func others(self watcher.Peer, live []watcher.Peer) []watcher.Peer {
	type scored struct {
		score uint64
		at    int
	}
	best := make([]scored, 0, otherCount+1)
	for i, peer := range live {
		next := scored{xxhash.Sum64String(self.Name + "\x00" + peer.Name), i}
		if len(best) == otherCount && next.score <= best[otherCount-1].score {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, next, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
		best = slices.Insert(best, at, next)
		best = best[:min(len(best), otherCount)]
	}
	found := make([]watcher.Peer, len(best))
	for i, scored := range best {
		found[i] = live[scored.at]
	}
	return found
}

func dataCentres(peers []watcher.Peer) []string {
	names := make(map[string]bool)
	for _, peer := range peers {
		names[peer.DataCentre] = true
	}
	return slices.Sorted(maps.Keys(names))
}

func within(peers []watcher.Peer, dataCentre string) []watcher.Peer {
	var found []watcher.Peer
	for _, peer := range peers {
		if peer.DataCentre == dataCentre {
			found = append(found, peer)
		}
	}
	return found
}

// order returns the VMs of a data centre by the hash of their names.
func order(peers []watcher.Peer) []watcher.Peer {
	type ranked struct {
		hash uint64
		at   int
	}
	ranks := make([]ranked, len(peers))
	for i, peer := range peers {
		ranks[i] = ranked{xxhash.Sum64String(peer.Name), i}
	}
	slices.SortFunc(ranks, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(peers[a.at].Name, peers[b.at].Name))
	})
	sorted := make([]watcher.Peer, len(peers))
	for i, rank := range ranks {
		sorted[i] = peers[rank.at]
	}
	return sorted
}

// Upward returns the VM that gets this one's confirmations, and another one
// after each failed attempt. It reports false if there is none.
//
// The choice lasts, so that only one reader's row holds a VM's confirmation
// and a change costs a reader few writes.
func (place Place) Upward(attempt uint64) (watcher.Peer, bool) {
	if len(place.Above) == 0 {
		return watcher.Peer{}, false
	}
	return place.Above[(place.hash+attempt)%uint64(len(place.Above))], true
}

// Next returns the VMs to ask in this turn, none twice.
func (place Place) Next(random *rand.Rand) []watcher.Peer {
	var next []watcher.Peer
	add := func(peers []watcher.Peer) {
		if len(peers) == 0 {
			return
		}
		peer := peers[random.IntN(len(peers))]
		if !slices.Contains(next, peer) {
			next = append(next, peer)
		}
	}
	add(place.Above)
	if place.Reader() {
		add(place.Above)
	}
	if random.IntN(wanderOdds) == 0 || len(next) == 0 {
		add(place.Others)
	}
	return next
}
