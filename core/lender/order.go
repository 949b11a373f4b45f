package lender

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"godwitramp.example/core/limiter"
)

// weight orders the VMs of a shard (rendezvous hashing): when a VM comes or
// goes, the others keep their order.
func weight(shard limiter.Shard, vm string) uint64 {
	var buffer [68]byte
	binary.LittleEndian.PutUint32(buffer[:], uint32(shard))
	n := copy(buffer[4:], vm)
	return xxhash.Sum64(buffer[:4+n])
}

// First returns the index of the VM that collects for the shard, or -1 if
// there is no VM.
func First(shard limiter.Shard, vms []string) int {
	first, best := -1, uint64(0)
	for i, vm := range vms {
		if found := weight(shard, vm); first < 0 || found > best {
			first, best = i, found
		}
	}
	return first
}

// PlaceOf returns the place of a VM among the others in a shard's order.
func PlaceOf(shard limiter.Shard, vm string, others []string) Place {
	place := Place{VMs: 1}
	own := weight(shard, vm)
	for _, other := range others {
		if other == vm {
			continue
		}
		place.VMs++
		if weight(shard, other) > own {
			place.Rank++
		}
	}
	return place
}
