package watcher

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Fan-out of a VM, whatever the size of the fleet.
const (
	centreSuccessors = 2
	regionSuccessors = 1
	// speakers is the number of VMs of a region that call other regions.
	speakers = 3
)

// place is the position of a name in the order of one ring.
func place(name string, ring string) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(ring) // never fails
	_, _ = hash.WriteString("\x00")
	_, _ = hash.WriteString(name)
	return hash.Sum64()
}

// nearest keeps the peers with the smallest distances.
type nearest struct {
	count     int
	peers     []Peer
	distances []uint64
}

func (nearest *nearest) add(peer Peer, distance uint64) {
	at, _ := slices.BinarySearch(nearest.distances, distance)
	if at >= nearest.count {
		return
	}
	nearest.distances = slices.Insert(nearest.distances, at, distance)
	nearest.peers = slices.Insert(nearest.peers, at, peer)
	if len(nearest.peers) > nearest.count {
		nearest.distances = nearest.distances[:nearest.count]
		nearest.peers = nearest.peers[:nearest.count]
	}
}

// neighbours returns the peers that self calls in each period: the next ones
// on the ring of its data centre and of its region, and, if self is one of its
// region's speakers, one speaker of every other region. The peers contain
// self.
func neighbours(peers []Peer, self Peer) []Peer {
	centre := nearest{count: centreSuccessors}
	region := nearest{count: regionSuccessors}
	speaking := make(map[string]*nearest)
	for _, peer := range peers {
		regionSpeakers := speaking[peer.Region]
		if regionSpeakers == nil {
			regionSpeakers = &nearest{count: speakers}
			speaking[peer.Region] = regionSpeakers
		}
		regionSpeakers.add(peer, place(peer.Name, "speaker"))
		if peer.Region != self.Region || peer.Name == self.Name {
			continue
		}
		// Unsigned subtraction goes round the ring.
		region.add(peer, place(peer.Name, "region")-place(self.Name, "region"))
		if peer.DataCentre == self.DataCentre {
			centre.add(peer, place(peer.Name, "centre")-place(self.Name, "centre"))
		}
	}
	found := append(centre.peers, region.peers...)
	return distinct(append(found, counterparts(speaking, self)...))
}

// counterparts returns the speakers of other regions that self calls, none if
// self isn't a speaker.
func counterparts(speaking map[string]*nearest, self Peer) []Peer {
	own := speaking[self.Region].peers
	index := slices.IndexFunc(own, func(peer Peer) bool { return peer.Name == self.Name })
	if index < 0 {
		return nil
	}
	var found []Peer
	for region, others := range speaking {
		if region != self.Region {
			found = append(found, others.peers[index%len(others.peers)])
		}
	}
	return found
}

func distinct(peers []Peer) []Peer {
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return slices.CompactFunc(peers, func(a, b Peer) bool { return a.Name == b.Name })
}
