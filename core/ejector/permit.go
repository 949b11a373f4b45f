package ejector

import (
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/timekeeper"
)

const (
	// EjectionLease is how long a VM obeys an ejection it has heard of.
	EjectionLease = 15 * time.Second
	// RenewPeriod is how often a holder renews its ejections.
	RenewPeriod = 4 * time.Second
	// PermitLease is how long a permit is held without the table service.
	PermitLease = 4 * time.Hour
)

// PermitID names one of the permits of a group. A group has as many as Allowed
// says; they are numbered from 0.
type PermitID struct {
	Group Group
	Index int
}

// Statement is what the holder of a permit says of it. VMs pass it on.
type Statement struct {
	Permit PermitID
	// Holder and Address are the VM's, for evidence.
	Holder  string
	Address string
	// Term is the version of the permit's row: it rises whenever the permit
	// changes hands. Sequence rises with each statement of a term.
	Term     uint64
	Sequence uint64
	// Target is ejected for as long as Left, if it isn't empty.
	Target  configurator.Path
	Left    time.Duration
	Strikes int
}

// newer reports whether the statement replaces the other one.
func (statement Statement) newer(other Statement) bool {
	if statement.Term != other.Term {
		return statement.Term > other.Term
	}
	return statement.Sequence > other.Sequence
}

// Permit is the holder's side of a permit: a right to have one target ejected
// at a time. It isn't safe for concurrent use.
//
// A permit is used for a second target only when no VM can obey the first
// ejection any more. Statements are pulled: a VM counts the lease from before
// it asked, so that a message that is late, or a VM that was paused, never
// stretches the lease.
type Permit struct {
	ID      PermitID
	Holder  string
	Address string

	term     uint64
	sequence uint64
	// lease is the holder's right, from the table service.
	lease timekeeper.Lease
	// issued is the newest lease that VMs were told, of the current ejection
	// or the one before.
	issued  timekeeper.Lease
	target  configurator.Path
	until   timekeeper.Lease
	strikes int
}

// Take begins a term. The lease must have begun before the row was written.
// What the holder before has ejected may still be obeyed.
func (permit *Permit) Take(term uint64, lease timekeeper.Lease) {
	permit.term = term
	permit.sequence = 0
	permit.target = ""
	permit.lease = lease
	permit.issued = timekeeper.Lease{Start: lease.Start, Duration: EjectionLease}
}

// Extend takes over a renewed lease of the same holder.
func (permit *Permit) Extend(term uint64, lease timekeeper.Lease) {
	permit.term = term
	permit.lease = lease
}

// Held reports whether the holder still has the permit.
func (permit *Permit) Held(now timekeeper.Reading) bool {
	return permit.term > 0 && !permit.lease.Lapsed(now)
}

// Term returns the version of the permit's row.
func (permit *Permit) Term() uint64 { return permit.term }

// Lease returns the holder's right.
func (permit *Permit) Lease() timekeeper.Lease { return permit.lease }

// Target returns the target that the permit ejects, or an empty path.
func (permit *Permit) Target() configurator.Path { return permit.target }

// Free reports whether the permit can be used for a target.
func (permit *Permit) Free(now timekeeper.Reading) bool {
	return permit.Held(now) && permit.target == "" && permit.issued.Reclaimable(now, timekeeper.DriftMargin)
}

// Eject ejects a target for the given stay. It reports false, and does
// nothing, if the permit isn't free.
func (permit *Permit) Eject(target configurator.Path, stay time.Duration, strikes int, now timekeeper.Reading) bool {
	if !permit.Free(now) {
		return false
	}
	permit.target = target
	permit.strikes = strikes
	permit.until = timekeeper.Lease{Start: now, Duration: stay}
	permit.Renew(now)
	return true
}

// Renew lengthens the lease of the ejection.
func (permit *Permit) Renew(now timekeeper.Reading) {
	if permit.target == "" || !permit.Held(now) {
		return
	}
	permit.sequence++
	permit.issued = timekeeper.Lease{Start: now, Duration: min(EjectionLease, permit.lease.Remaining(now))}
}

// Over reports whether the stay of the ejected target has passed.
func (permit *Permit) Over(now timekeeper.Reading) bool {
	return permit.target != "" && permit.until.Lapsed(now)
}

// Prolong lets the stay last longer.
func (permit *Permit) Prolong(by time.Duration, now timekeeper.Reading) {
	permit.until = timekeeper.Lease{Start: now, Duration: by}
}

// Release ends the ejection.
func (permit *Permit) Release() {
	if permit.target != "" {
		permit.target = ""
		permit.sequence++
	}
}

// Drop ends the holder's right, before the row is given back.
func (permit *Permit) Drop() {
	permit.Release()
	permit.term = 0
}

// Statement returns what VMs are to be told.
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
