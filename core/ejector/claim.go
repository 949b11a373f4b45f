package ejector

import (
	"slices"
	"time"

	"godwitramp.example/core/timekeeper"
)

// renewAfter is the age at which a holder renews its lease.
const renewAfter = 30 * time.Minute

// maxPendingWrites is the maximum number of writes that a Claimer remembers in order
// to recognise them in the row.
const maxPendingWrites = 8

// Claim is the value of a permit's row in the table service.
type Claim struct {
	Holder string `json:"holder"`
	// Nonce identifies the write, so that a write whose answer was lost is
	// recognised when the row is read.
	Nonce string `json:"nonce"`
	// Boot identifies the boot of the holder's VM and the holder's listen address. A
	// process that listens on the same address in the same boot proves that the
	// holder has ended.
	Boot string `json:"boot"`
	// Released is true once the holder has returned the permit.
	Released bool `json:"released"`
}

// Claimer decides when a VM may write the row of a permit. The row doesn't contain
// the end of its lease, since the clocks of two VMs can't be compared: another VM
// takes over the permit only after it has itself seen the row unchanged for the
// whole lease. Claimer isn't safe for concurrent use.
type Claimer struct {
	Permit *Permit
	// Boot is the value of Claim.Boot for this VM, or empty if unknown.
	Boot string

	version        uint64
	claim          Claim
	unchangedSince timekeeper.Reading
	known          bool
	// writes are the writes started by this VM, newest last.
	writes []write
}

type write struct {
	nonce   string
	started timekeeper.Reading
}

// ObserveRow records the row as it was read; now is a reading after the answer. A
// row that doesn't exist has version 0.
func (claimer *Claimer) ObserveRow(version uint64, claim Claim, now timekeeper.Reading) {
	if claimer.known && version < claimer.version {
		return // an outdated answer
	}
	if !claimer.known || version != claimer.version {
		claimer.unchangedSince = now
	}
	claimer.known = true
	claimer.version = version
	claimer.claim = claim
	claimer.adoptOwnWrite()
}

// adoptOwnWrite acquires the permit or extends its lease if the row was written by
// this VM.
func (claimer *Claimer) adoptOwnWrite() {
	if claimer.claim.Released || claimer.claim.Holder != claimer.Permit.Holder || claimer.version == claimer.Permit.Term() {
		return
	}
	for _, write := range claimer.writes {
		if write.nonce != claimer.claim.Nonce {
			continue
		}
		lease := timekeeper.Lease{Start: write.started, Duration: PermitLease}
		if claimer.isRenewal() {
			claimer.Permit.ExtendLease(claimer.version, lease)
		} else {
			claimer.Permit.Acquire(claimer.version, lease)
		}
		return
	}
}

// isRenewal reports whether the row is the direct successor of the row by which the
// permit is held.
func (claimer *Claimer) isRenewal() bool {
	term := claimer.Permit.Term()
	return term > 0 && claimer.version == term+1
}

// Version returns the version of the row, which is the condition for the next write.
func (claimer *Claimer) Version() uint64 { return claimer.version }

// MayWrite reports whether the VM may write the row now: the permit is free, its
// lease has certainly ended, or this VM holds it and it is due for renewal.
func (claimer *Claimer) MayWrite(now timekeeper.Reading) bool {
	switch {
	case !claimer.known:
		return false
	case claimer.version == 0 || claimer.claim.Released || claimer.heldByPredecessor():
		return true
	case claimer.version == claimer.Permit.Term() && claimer.Permit.Held(now):
		return now.MaxElapsed(claimer.Permit.Lease().Start) >= renewAfter
	default:
		lease := timekeeper.Lease{Start: claimer.unchangedSince, Duration: PermitLease}
		return lease.Reclaimable(now, timekeeper.DriftMargin)
	}
}

// heldByPredecessor reports whether the row was written by an ended process that
// listened on this VM's address.
func (claimer *Claimer) heldByPredecessor() bool {
	if claimer.Boot == "" || claimer.claim.Boot != claimer.Boot {
		return false
	}
	return !slices.ContainsFunc(claimer.writes, func(write write) bool { return write.nonce == claimer.claim.Nonce }) &&
		claimer.version != claimer.Permit.Term()
}

// BeginWrite returns the claim to write; now is a reading before the write is sent.
func (claimer *Claimer) BeginWrite(nonce string, now timekeeper.Reading) Claim {
	claimer.writes = append(claimer.writes, write{nonce: nonce, started: now})
	if len(claimer.writes) > maxPendingWrites {
		claimer.writes = claimer.writes[1:]
	}
	return Claim{Holder: claimer.Permit.Holder, Nonce: nonce, Boot: claimer.Boot}
}
