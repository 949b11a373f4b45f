// Package timekeeper measures leases on two clocks, so that a lease ends in time even
// if one of the clocks is wrong.
//
// The monotonic clock of a VM stands still while the VM is suspended, and the wall
// clock may be set forward or back. The holder of a lease must stop as soon as either
// clock says that the lease has ended; its owner may reclaim it only when both say so.
//
// # Usage
//
//	lease := timekeeper.Lease{Start: beforeRequest, Duration: time.Minute}
//	if lease.Lapsed(now) {
//		// The holder must stop.
//	}
//	if lease.Reclaimable(now, timekeeper.DriftMargin) {
//		// The owner may grant it to another VM.
//	}
package timekeeper

import "time"

// DriftMargin is the margin that the owner of a lease adds before it reclaims the lease,
// because the clocks of holder and owner run at different speeds.
const DriftMargin = 2 * time.Second

// Reading is one instant on both clocks of one VM. Readings of different VMs are not
// comparable.
type Reading struct {
	// Mono is the monotonic clock: the time since an arbitrary start.
	Mono time.Duration
	// Wall is the wall clock: the time since the Unix epoch.
	Wall time.Duration
}

// At returns a reading with both clocks at elapsed.
func At(elapsed time.Duration) Reading {
	return Reading{Mono: elapsed, Wall: elapsed}
}

// Add returns the reading at which both clocks have advanced by d.
func (reading Reading) Add(d time.Duration) Reading {
	return Reading{Mono: reading.Mono + d, Wall: reading.Wall + d}
}

// MaxElapsed returns the time since start on the clock that advanced further.
func (reading Reading) MaxElapsed(start Reading) time.Duration {
	return max(reading.Mono-start.Mono, reading.Wall-start.Wall)
}

// MinElapsed returns the time since start on the clock that advanced less.
func (reading Reading) MinElapsed(start Reading) time.Duration {
	return min(reading.Mono-start.Mono, reading.Wall-start.Wall)
}

// Lease is a right that ends after a fixed duration.
type Lease struct {
	// Start is a reading of the holder's clocks from before it asked for the lease,
	// or of the owner's clocks from after it granted the lease.
	Start    Reading
	Duration time.Duration
}

// Lapsed reports whether the holder must stop: at least one of its clocks says that the
// lease has ended.
func (lease Lease) Lapsed(now Reading) bool {
	return now.MaxElapsed(lease.Start) >= lease.Duration
}

// Reclaimable reports whether the owner may reclaim the lease: both of its clocks say
// that the lease ended at least margin ago.
func (lease Lease) Reclaimable(now Reading, margin time.Duration) bool {
	return now.MinElapsed(lease.Start) >= lease.Duration+margin
}

// Remaining returns how long the holder may still use the lease, zero if it has
// lapsed.
func (lease Lease) Remaining(now Reading) time.Duration {
	return max(0, lease.Duration-now.MaxElapsed(lease.Start))
}
