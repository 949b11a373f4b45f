package burner

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// GroupSize is the approximate number of VMs of a data centre that send their
// counters to the same uploader.
const GroupSize = 16

// Uploaders returns the names of the VMs that may merge and store the counters
// of the named VM, in the order to try them. The names must be those of all live
// VMs of its data centre, including the VM itself. VMs with the same names agree
// on the order by rendezvous hashing of their group.
func Uploaders(name string, names []string) []string {
	groups := uint64((len(names) + GroupSize - 1) / GroupSize)
	group := strconv.FormatUint(xxhash.Sum64String(name)%max(1, groups), 10)
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(group+" "+a), xxhash.Sum64String(group+" "+b)), cmp.Compare(a, b))
	})
	return ranked
}
