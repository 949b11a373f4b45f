package ejector

import (
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/timekeeper"
)

const (
	// EjectionLease is the longest time for which a VM applies an ejection, counted
	// from before it requested the statement.
	EjectionLease = 15 * time.Second
	// RenewPeriod is the interval at which a holder renews its ejections.
	RenewPeriod = 4 * time.Second
	// PermitLease is how long a permit is held without contact to the table service.
	PermitLease = 4 * time.Hour
)

// PermitID identifies a permit of a group. The permits of a group are numbered from
// 0; AllowedEjections returns their number.
type PermitID struct {
	Group Group
	Index int
}

// Statement is the state of a permit as published by its holder. VMs forward it.
type Statement struct {
	Permit PermitID
	// Holder and Address identify the VM that holds the permit.
	Holder  string
	Address string
	// Term is the version of the permit's row, which increases whenever the permit
	// changes hands. Sequence increases with each statement of a term.
	Term     uint64
	Sequence uint64
	// Target is ejected for the duration Left. It is empty if the permit ejects no
	// target.
	Target  configurator.Path
	Left    time.Duration
	Strikes int
}

// supersedes reports whether the statement is newer than the other one.
func (statement Statement) supersedes(other Statement) bool {
	if statement.Term != other.Term {
		return statement.Term > other.Term
	}
	return statement.Sequence > other.Sequence
}

// Permit is the holder's state of a permit, the right to have one target ejected at
// a time. It isn't safe for concurrent use.
//
// A permit is used for a second target only when no VM can still apply the first
// ejection. VMs pull statements and count the lease from before they sent the request,
// so that neither a late message nor a paused VM extends the lease.
type Permit struct {
	ID      PermitID
	Holder  string
	Address string

	term     uint64
	sequence uint64
	// lease is the holder's lease of the permit, from the table service.
	lease timekeeper.Lease
	// issued is the newest lease given to VMs, of the current ejection or the
	// previous one.
	issued         timekeeper.Lease
	target         configurator.Path
	ejectionPeriod timekeeper.Lease
	strikes        int
}

// Acquire starts a term. The lease must have started before the row was written. VMs
// may still apply the ejection of the previous holder.
func (permit *Permit) Acquire(term uint64, lease timekeeper.Lease) {
	permit.term = term
	permit.sequence = 0
	permit.target = ""
	permit.lease = lease
	permit.issued = timekeeper.Lease{Start: lease.Start, Duration: EjectionLease}
}

// ExtendLease sets a lease renewed by the same holder.
func (permit *Permit) ExtendLease(term uint64, lease timekeeper.Lease) {
	permit.term = term
	permit.lease = lease
}

// Held reports whether the holder's lease is still valid.
func (permit *Permit) Held(now timekeeper.Reading) bool {
	return permit.term > 0 && !permit.lease.Lapsed(now)
}

// Term returns the version of the permit's row.
func (permit *Permit) Term() uint64 { return permit.term }

// Lease returns the holder's lease of the permit.
func (permit *Permit) Lease() timekeeper.Lease { return permit.lease }

// Target returns the target that the permit ejects, or an empty path.
func (permit *Permit) Target() configurator.Path { return permit.target }

// Free reports whether the permit can be used to eject a target.
func (permit *Permit) Free(now timekeeper.Reading) bool {
	return permit.Held(now) && permit.target == "" && permit.issued.Reclaimable(now, timekeeper.DriftMargin)
}

// Eject ejects a target for the given duration. If the permit isn't free, it returns
// false and changes nothing.
func (permit *Permit) Eject(target configurator.Path, duration time.Duration, strikes int, now timekeeper.Reading) bool {
	if !permit.Free(now) {
		return false
	}
	permit.target = target
	permit.strikes = strikes
	permit.ejectionPeriod = timekeeper.Lease{Start: now, Duration: duration}
	permit.RenewEjection(now)
	return true
}

// RenewEjection renews the lease of the ejection.
func (permit *Permit) RenewEjection(now timekeeper.Reading) {
	if permit.target == "" || !permit.Held(now) {
		return
	}
	permit.sequence++
	permit.issued = timekeeper.Lease{Start: now, Duration: min(EjectionLease, permit.lease.Remaining(now))}
}

// EjectionOver reports whether the duration of the ejection has passed.
func (permit *Permit) EjectionOver(now timekeeper.Reading) bool {
	return permit.target != "" && permit.ejectionPeriod.Lapsed(now)
}

// ExtendEjection sets how much longer the ejection lasts, from now.
func (permit *Permit) ExtendEjection(remaining time.Duration, now timekeeper.Reading) {
	permit.ejectionPeriod = timekeeper.Lease{Start: now, Duration: remaining}
}

// EndEjection ends the ejection, if there is one.
func (permit *Permit) EndEjection() {
	if permit.target != "" {
		permit.target = ""
		permit.sequence++
	}
}

// Relinquish ends the ejection and the holder's lease. Call it before the row is
// written as released.
func (permit *Permit) Relinquish() {
	permit.EndEjection()
	permit.term = 0
}

// Statement returns the statement to publish to VMs.
func (permit *Permit) Statement(now timekeeper.Reading) Statement {
	statement := Statement{
		Permit: permit.ID, Holder: permit.Holder, Address: permit.Address,
		Term: permit.term, Sequence: permit.sequence,
	}
	if permit.target != "" && permit.Held(now) {
		statement.Target = permit.target
		statement.Strikes = permit.strikes
		statement.Left = permit.issued.Remaining(now)
	}
	return statement
}
