package lender

import (
	"time"

	"godwitramp.example/core/limiter"
	"godwitramp.example/core/timekeeper"
)

// Owner is the VM process that holds a part, as recorded in a row of the table
// service.
type Owner struct {
	// Name is the name of the VM, empty for a part that was given back.
	Name string `json:"name"`
	// Address is where the VM's process listens for other VMs.
	Address string `json:"address"`
	// Boot identifies the boot of the VM's operating system; empty if unknown.
	Boot string `json:"boot"`
	// Incarnation rises with each start of the VM's process.
	Incarnation uint64 `json:"incarnation"`
	// Free is true for a part that was given back while no collector could be using
	// it.
	Free bool `json:"free,omitempty"`
}

// supersedes reports whether the owner's existence proves that the other process has
// ended: it is a later incarnation of the same VM, on the same address and in the
// same boot.
func (owner Owner) supersedes(other Owner) bool {
	return owner.Name == other.Name && owner.Address == other.Address && owner.Boot == other.Boot &&
		owner.Boot != "" && owner.Incarnation > other.Incarnation
}

// Row is the record of a part in the table service.
type Row struct {
	Part Part
	// Version is 0 for a part that has never been held.
	Version uint64
	Owner   Owner
}

// Claim is a row to be written on condition that its version is unchanged.
type Claim struct {
	Part    Part
	Version uint64
	// Free is true if no collector can be using the part.
	Free bool
}

// Claimer decides which parts its VM claims. It isn't safe for concurrent use.
type Claimer struct {
	Self Owner

	observations map[Part]observation
}

// observation records since when a row has had the same version.
type observation struct {
	version uint64
	since   timekeeper.Reading
}

// Position is a VM's position in the order of a shard.
type Position struct {
	// Rank counts from 0; VMs is the number of VMs in the order, this one
	// included.
	Rank, VMs int
}

// Responsible reports whether the VM is the one to claim the part if nobody holds
// it.
func (position Position) Responsible(index int) bool {
	holders := min(position.VMs, Parts)
	return holders > 0 && index%holders == position.Rank
}

// Claims returns the parts of a shard to claim. Rows are the existing rows of the
// shard, read before now. A part that another process holds is claimed only if that
// process has provably ended, or once the row has been unchanged for a lease and a
// margin.
func (claimer *Claimer) Claims(shard limiter.Shard, rows []Row, position Position, now timekeeper.Reading) []Claim {
	if claimer.observations == nil {
		claimer.observations = make(map[Part]observation)
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
		if claim, ok := claimer.claim(row, position.Responsible(index), now); ok {
			claims = append(claims, claim)
		}
	}
	return claims
}

// claim returns the claim of a row's part, and whether to make it.
func (claimer *Claimer) claim(row Row, responsible bool, now timekeeper.Reading) (Claim, bool) {
	claim := Claim{Part: row.Part, Version: row.Version}
	switch {
	case row.Version == 0:
		claim.Free = true
		return claim, responsible
	case row.Owner.Name == "":
		claim.Free = row.Owner.Free
		return claim, responsible
	case row.Owner == claimer.Self, claimer.Self.supersedes(row.Owner):
		return claim, true
	}
	return claim, claimer.leaseEnded(row, now) && responsible
}

// leaseEnded reports whether the lease of a row's owner has certainly ended: by both
// clocks of this VM, the row has been unchanged for longer than a lease and a margin.
func (claimer *Claimer) leaseEnded(row Row, now timekeeper.Reading) bool {
	seen, ok := claimer.observations[row.Part]
	if !ok || seen.version != row.Version {
		claimer.observations[row.Part] = observation{version: row.Version, since: now}
		return false
	}
	lease := timekeeper.Lease{Start: seen.since, Duration: PartLeaseDuration}
	return lease.Reclaimable(now, timekeeper.DriftMargin)
}

// DueForRenewal returns the parts whose lease is old enough to be renewed.
func (holder *Holder) DueForRenewal(now timekeeper.Reading) []Part {
	var due []Part
	for _, part := range holder.Parts() {
		lease, _ := holder.Lease(part)
		if PartLeaseDuration-lease.Remaining(now) >= PartRenewalAge {
			due = append(due, part)
		}
	}
	return due
}

// ClaimPeriod is how often a VM reads the rows of its shards to claim parts.
const ClaimPeriod = time.Minute
