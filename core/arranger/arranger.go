// Package arranger computes the overlay over which VMs distribute the
// configuration: which VMs read the store, and which peers each VM calls. The
// list of live VMs is its only input, so VMs with the same list agree without
// coordination.
//
// The VMs of a data centre form a tree. Ordered by the hash of their names, the
// first few are the readers on level 0, and each further level has up to eight
// times as many VMs as the one above. A VM calls a random VM of the level above;
// readers read the store and call the readers of all data centres. In one of four
// turns on average, a VM also calls one of a small fixed sample of the whole
// fleet, so that changes and evidence get around a partition as long as a path
// exists. The number of calls that a VM makes and answers does not grow with the
// fleet.
//
// # Usage
//
//	position := arranger.Arrange(members.Self(), members.Live())
//	for _, peer := range position.PeersToCall(random) {
//		// Exchange changes with the peer.
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
	// ReadersPerDataCentre is the number of VMs on level 0 of each data centre.
	ReadersPerDataCentre = 4
	// FanOut is the average number of VMs that call one VM of the level above.
	FanOut = 8
	// sampleOdds is the mean number of turns between two calls of a VM to its
	// sample.
	sampleOdds = 4
	// sampleSize is the number of VMs in a sample. It limits the connections that
	// a VM keeps open.
	sampleSize = 8
)

// Position is the place of a VM in the overlay.
type Position struct {
	// Level is the number of hops to a reader.
	Level int
	// Parents are the VMs of the level above or, for a reader, the other readers
	// of the fleet.
	Parents []watcher.Peer
	// First is true for the first VM in the order of the data centre. While VMs
	// have different lists, several VMs or none may be first.
	First bool
	// Sample has up to sampleSize VMs of the whole fleet, different ones for each
	// VM.
	Sample   []watcher.Peer
	nameHash uint64
}

// Reader reports whether the VM reads the store.
func (position Position) Reader() bool { return position.Level == 0 }

// Arrange returns the position of a VM among the other live VMs.
func Arrange(self watcher.Peer, live []watcher.Peer) Position {
	own := sortedByHash(append(inDataCentre(live, self.DataCentre), self))
	rank := slices.IndexFunc(own, func(peer watcher.Peer) bool { return peer.Name == self.Name })
	position := Position{First: rank == 0, Sample: sample(self, live), nameHash: xxhash.Sum64String(self.Name)}
	start, end := 0, ReadersPerDataCentre
	for rank >= end {
		position.Parents = own[start:end]
		start, end = end, end+(end-start)*FanOut
		position.Level++
	}
	if position.Level == 0 {
		position.Parents = otherReaders(self, live, own)
	}
	return position
}

// otherReaders returns the readers of all data centres except the VM itself.
// Own has the VMs of its data centre, sorted by hash.
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
		peers := sortedByHash(inDataCentre(live, centre))
		readers = append(readers, peers[:min(len(peers), ReadersPerDataCentre)]...)
	}
	return readers
}

// sample chooses VMs by rendezvous hashing: those with the highest hashes of the
// pair of names.
func sample(self watcher.Peer, live []watcher.Peer) []watcher.Peer {
	type scored struct {
		score uint64
		index int
	}
	best := make([]scored, 0, sampleSize+1)
	for i, peer := range live {
		next := scored{xxhash.Sum64String(self.Name + "\x00" + peer.Name), i}
		if len(best) == sampleSize && next.score <= best[sampleSize-1].score {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, next, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
		best = slices.Insert(best, at, next)
		best = best[:min(len(best), sampleSize)]
	}
	found := make([]watcher.Peer, len(best))
	for i, scored := range best {
		found[i] = live[scored.index]
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

func inDataCentre(peers []watcher.Peer, dataCentre string) []watcher.Peer {
	var found []watcher.Peer
	for _, peer := range peers {
		if peer.DataCentre == dataCentre {
			found = append(found, peer)
		}
	}
	return found
}

// sortedByHash returns the VMs of a data centre by the hash of their names.
func sortedByHash(peers []watcher.Peer) []watcher.Peer {
	type ranked struct {
		hash  uint64
		index int
	}
	ranks := make([]ranked, len(peers))
	for i, peer := range peers {
		ranks[i] = ranked{xxhash.Sum64String(peer.Name), i}
	}
	slices.SortFunc(ranks, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(peers[a.index].Name, peers[b.index].Name))
	})
	sorted := make([]watcher.Peer, len(peers))
	for i, rank := range ranks {
		sorted[i] = peers[rank.index]
	}
	return sorted
}

// Parent returns the VM to which this one sends its confirmations. Each failed
// attempt selects the next parent. It returns false if there are no parents.
//
// The choice is stable, so that a VM's confirmation is in the row of only one
// reader, and a change of the configuration costs a reader few writes.
func (position Position) Parent(attempt uint64) (watcher.Peer, bool) {
	if len(position.Parents) == 0 {
		return watcher.Peer{}, false
	}
	return position.Parents[(position.nameHash+attempt)%uint64(len(position.Parents))], true
}

// PeersToCall returns the VMs to call in this turn without duplicates: a parent,
// for readers up to two, and a VM of the sample in one of sampleOdds turns and
// whenever there are no parents.
func (position Position) PeersToCall(random *rand.Rand) []watcher.Peer {
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
	add(position.Parents)
	if position.Reader() {
		add(position.Parents)
	}
	if random.IntN(sampleOdds) == 0 || len(next) == 0 {
		add(position.Sample)
	}
	return next
}
