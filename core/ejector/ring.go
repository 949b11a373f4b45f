package ejector

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// pointsPerVM is the number of points of each VM on a ring.
const pointsPerVM = 8

// Ring distributes permits and probes over VMs by consistent hashing. A VM that
// joins or leaves changes only the keys next to its points.
type Ring struct {
	points []point
	vms    int
}

type point struct {
	hash uint64
	vm   string
}

// NewRing returns a ring of the VMs with the given names.
func NewRing(vms []string) Ring {
	ring := Ring{vms: len(vms)}
	for _, vm := range vms {
		for i := range pointsPerVM {
			ring.points = append(ring.points, point{hash: xxhash.Sum64String(fmt.Sprint(vm, "#", i)), vm: vm})
		}
	}
	slices.SortFunc(ring.points, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.vm, b.vm))
	})
	return ring
}

// Next returns the first distinct VMs after the hash of the key, at most count.
func (ring Ring) Next(key string, count int) []string {
	count = min(count, ring.vms)
	start, _ := slices.BinarySearchFunc(ring.points, xxhash.Sum64String(key), func(point point, hash uint64) int {
		return cmp.Compare(point.hash, hash)
	})
	var vms []string
	for i := 0; len(vms) < count; i++ {
		vm := ring.points[(start+i)%len(ring.points)].vm
		if !slices.Contains(vms, vm) {
			vms = append(vms, vm)
		}
	}
	return vms
}
