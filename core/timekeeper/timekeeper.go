// Package timekeeper compares instants on two clocks, so that a lease ends on
// time even when one of the clocks misleads.
//
// The monotonic clock of a VM stands still while the VM is suspended, and the
// wall clock may be set forward or back. A holder of a lease must stop when
// either clock says that the lease has ended; whoever takes a lease back must
// wait until both say so.
//
// # Usage
//
//	lease := timekeeper.Lease{Start: beforeRequest, Length: time.Minute}
//	if lease.Lapsed(now) {
//		// The holder stops.
//	}
//	if lease.Reclaimable(now, timekeeper.Drift) {
//		// The owner gives the share to another VM.
//	}
package timekeeper

import "time"

// Drift is the margin that the owner of a lease adds before it takes the
// lease back, for clocks that run at different speeds.
const Drift = 2 * time.Second

// Reading is one instant on both clocks of one VM. Readings of different VMs
// can't be compared.
type Reading struct {
	// Mono is the monotonic clock: the time since an arbitrary start.
	Mono time.Duration
	// Wall is the wall clock: the time since the Unix epoch.
	Wall time.Duration
}

// At returns a reading on which both clocks show elapsed.
func At(elapsed time.Duration) Reading {
	return Reading{Mono: elapsed, Wall: elapsed}
}

// Add returns the reading at which both clocks have advanced by d.
func (reading Reading) Add(d time.Duration) Reading {
	return Reading{Mono: reading.Mono + d, Wall: reading.Wall + d}
}

// Longest returns the time since start on the clock that advanced further.
func (reading Reading) Longest(start Reading) time.Duration {
	return max(reading.Mono-start.Mono, reading.Wall-start.Wall)
}

// Shortest returns the time since start on the clock that advanced less.
func (reading Reading) Shortest(start Reading) time.Duration {
	return min(reading.Mono-start.Mono, reading.Wall-start.Wall)
}

// Lease is a right that ends by itself.
type Lease struct {
	// Start is read by the holder before it asks for the lease, and by the
	// owner after it has granted the lease.
	Start  Reading
	Length time.Duration
}

// Lapsed reports whether the holder has to stop: one of its clocks says that
// the lease has ended.
func (lease Lease) Lapsed(now Reading) bool {
	return now.Longest(lease.Start) >= lease.Length
}

// Reclaimable reports whether the owner may take the lease back: both clocks
// say that it ended at least margin ago.
func (lease Lease) Reclaimable(now Reading, margin time.Duration) bool {
	return now.Shortest(lease.Start) >= lease.Length+margin
}

// Left returns how long the holder may still use the lease, and zero when it
// has lapsed.
func (lease Lease) Left(now Reading) time.Duration {
	return max(0, lease.Length-now.Longest(lease.Start))
}
