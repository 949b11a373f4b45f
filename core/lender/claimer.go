package lender

import (
	"time"

	"godwitramp.example/core/limiter"
	"godwitramp.example/core/timekeeper"
)

// Owner is who a row of the table service gives a part to.
type Owner struct {
	// Name is the name of the VM, empty for a part that was given back.
	Name string `json:"name"`
	// Address is where the VM's process listens for other VMs.
	Address string `json:"address"`
	// Boot names the start of the VM's operating system.
	Boot string `json:"boot"`
	// Incarnation rises with each start of the VM's process.
	Incarnation uint64 `json:"incarnation"`
	// Free is true for a part that was given back while it was lent to nobody.
	Free bool `json:"free,omitempty"`
}

// succeeds reports whether the owner's start proves that the other owner has
// ended: it listens on the same address since the same boot.
func (owner Owner) succeeds(other Owner) bool {
	return owner.Name == other.Name && owner.Address == other.Address && owner.Boot == other.Boot &&
		owner.Boot != "" && owner.Incarnation > other.Incarnation
}

// Row is what the table service says of a part.
type Row struct {
	Part Part
	// Version is 0 for a part that nobody has ever held.
	Version uint64
	Owner   Owner
}

// Claim is a row to be written if its version is still the given one.
type Claim struct {
	Part    Part
	Version uint64
	// Fresh parts are lent to nobody.
	Fresh bool
}

// Claimer decides which parts a VM claims. It isn't safe for concurrent use.
type Claimer struct {
	Self Owner

	seen map[Part]observation
}

// observation is since when a row has been the same.
type observation struct {
	version uint64
	since   timekeeper.Reading
}

// Place is a VM's place in the order of a shard.
type Place struct {
	// Rank counts from 0; VMs is the number of VMs in the order.
	Rank, VMs int
}

// Mine reports whether it falls to the VM to claim the part if it is free.
func (place Place) Mine(index int) bool {
	holders := min(place.VMs, Parts)
	return holders > 0 && index%holders == place.Rank
}

// Claims returns what to claim of a shard. Rows are those that exist, read
// before now.
func (claimer *Claimer) Claims(shard limiter.Shard, rows []Row, place Place, now timekeeper.Reading) []Claim {
	if claimer.seen == nil {
		claimer.seen = make(map[Part]observation)
	}
	known := make(map[int]Row, len(rows))
	for _, row := range rows {
		known[row.Part.Index] = row
	}
	var claims []Claim
	for index := range Parts {
		row, ok := known[index]
		if !ok {
			row = Row{Part: Part{Shard: shard, Index: index}}
		}
		if claim, ok := claimer.claim(row, place.Mine(index), now); ok {
			claims = append(claims, claim)
		}
	}
	return claims
}

func (claimer *Claimer) claim(row Row, mine bool, now timekeeper.Reading) (Claim, bool) {
	claim := Claim{Part: row.Part, Version: row.Version}
	switch {
	case row.Version == 0:
		claim.Fresh = true
		return claim, mine
	case row.Owner.Name == "":
		claim.Fresh = row.Owner.Free
		return claim, mine
	case row.Owner == claimer.Self, claimer.Self.succeeds(row.Owner):
		return claim, true
	}
	return claim, claimer.ended(row, now) && mine
}

// ended reports whether the lease of a row's owner has ended: the row has
// stayed the same for longer than a lease by both clocks of this VM.
func (claimer *Claimer) ended(row Row, now timekeeper.Reading) bool {
	seen, ok := claimer.seen[row.Part]
	if !ok || seen.version != row.Version {
		claimer.seen[row.Part] = observation{version: row.Version, since: now}
		return false
	}
	lease := timekeeper.Lease{Start: seen.since, Length: PartLength}
	return lease.Reclaimable(now, timekeeper.Drift)
}

// Stale returns the parts whose lease is old enough to be renewed.
func (holder *Holder) Stale(now timekeeper.Reading) []Part {
	var stale []Part
	for _, part := range holder.Parts() {
		lease, _ := holder.Lease(part)
		if PartLength-lease.Left(now) >= PartRenewal {
			stale = append(stale, part)
		}
	}
	return stale
}

// Renewal is how often a VM looks at the rows of its shards.
const Renewal = time.Minute
