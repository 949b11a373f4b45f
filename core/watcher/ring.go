package watcher

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Fan-out of a VM, independent of the size of the fleet.
const (
	centreSuccessors = 2
	regionSuccessors = 1
	// speakersPerRegion is the number of VMs of each region that call other regions.
	speakersPerRegion = 3
)

// ringPosition hashes a name to its position on a ring.
func ringPosition(name string, ring string) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(ring) // never fails
	_, _ = hash.WriteString("\x00")
	_, _ = hash.WriteString(name)
	return hash.Sum64()
}

// nearest keeps the count peers with the smallest distances, in ascending
// order.
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

// neighbours returns the peers that self calls in each period: its successors
// on the rings of its data centre and of its region and, if self is one of its
// region's speakers, one speaker of every other region. The peers must include
// self.
func neighbours(peers []Peer, self Peer) []Peer {
	centre := nearest{count: centreSuccessors}
	region := nearest{count: regionSuccessors}
	speakersByRegion := make(map[string]*nearest)
	for _, peer := range peers {
		regionSpeakers := speakersByRegion[peer.Region]
		if regionSpeakers == nil {
			regionSpeakers = &nearest{count: speakersPerRegion}
			speakersByRegion[peer.Region] = regionSpeakers
		}
		regionSpeakers.add(peer, ringPosition(peer.Name, "speaker"))
		if peer.Region != self.Region || peer.Name == self.Name {
			continue
		}
		// Unsigned subtraction wraps around the ring.
		region.add(peer, ringPosition(peer.Name, "region")-ringPosition(self.Name, "region"))
		if peer.DataCentre == self.DataCentre {
			centre.add(peer, ringPosition(peer.Name, "centre")-ringPosition(self.Name, "centre"))
		}
	}
	found := append(centre.peers, region.peers...)
	return distinct(append(found, remoteSpeakers(speakersByRegion, self)...))
}

// remoteSpeakers returns the speakers of other regions that self calls. It
// returns none if self isn't a speaker.
func remoteSpeakers(speakersByRegion map[string]*nearest, self Peer) []Peer {
	own := speakersByRegion[self.Region].peers
	index := slices.IndexFunc(own, func(peer Peer) bool { return peer.Name == self.Name })
	if index < 0 {
		return nil
	}
	var found []Peer
	for region, others := range speakersByRegion {
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
