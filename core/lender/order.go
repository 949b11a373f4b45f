package lender

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"godwitramp.example/core/limiter"
)

// weight is the rendezvous hash of a VM for a shard. VMs are ranked by falling
// weight, so that the others keep their order when a VM joins or leaves.
func weight(shard limiter.Shard, vm string) uint64 {
	var buffer [68]byte
	binary.LittleEndian.PutUint32(buffer[:], uint32(shard))
	n := copy(buffer[4:], vm)
	return xxhash.Sum64(buffer[:4+n])
}

// CollectorIndex returns the index of the VM that collects for the shard, or -1 if
// there is no VM.
func CollectorIndex(shard limiter.Shard, vms []string) int {
	first, best := -1, uint64(0)
	for i, vm := range vms {
		if found := weight(shard, vm); first < 0 || found > best {
			first, best = i, found
		}
	}
	return first
}

// PositionOf returns the position of a VM among the others in a shard's order.
func PositionOf(shard limiter.Shard, vm string, others []string) Position {
	position := Position{VMs: 1}
	own := weight(shard, vm)
	for _, other := range others {
		if other == vm {
			continue
		}
		position.VMs++
		if weight(shard, other) > own {
			position.Rank++
		}
	}
	return position
}
