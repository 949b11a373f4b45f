package ejector

import (
	"slices"
	"time"

	"godwitramp.example/core/timekeeper"
)

// renewAfter is the age from which a holder renews its lease.
const renewAfter = 30 * time.Minute

// maxAttempts bounds the writes whose answers a claimer still expects.
const maxAttempts = 8

// Claim is the value of a permit's row.
type Claim struct {
	Holder string `json:"holder"`
	// Nonce names the write, so that a lost answer is settled by reading back.
	Nonce string `json:"nonce"`
	// Boot names the boot of the holder's VM and the address that it listens
	// on. Whoever listens there now, on the same boot, has outlived the holder.
	Boot string `json:"boot"`
	// Released is true when the holder has given the permit back.
	Released bool `json:"released"`
}

// Claimer decides when a VM may write the row of a permit. The row doesn't say
// when its lease ends, since the clocks of two VMs can't be compared: another
// VM takes the permit only after it has itself seen the row unchanged for the
// whole lease. It isn't safe for concurrent use.
type Claimer struct {
	Permit *Permit
	// Boot is this VM's, or empty if it isn't known.
	Boot string

	version uint64
	claim   Claim
	seen    timekeeper.Reading
	known   bool
	// attempts are the writes begun, the newest last.
	attempts []attempt
}

type attempt struct {
	nonce   string
	started timekeeper.Reading
}

// See takes note of the row as it was read; now is a reading after the answer.
// A row that does not exist has version 0.
func (claimer *Claimer) See(version uint64, claim Claim, now timekeeper.Reading) {
	if claimer.known && version < claimer.version {
		return // an answer that was overtaken
	}
	if !claimer.known || version != claimer.version {
		claimer.seen = now
	}
	claimer.known = true
	claimer.version = version
	claimer.claim = claim
	claimer.settle()
}

// settle takes the permit if the row is of a write by this VM.
func (claimer *Claimer) settle() {
	if claimer.claim.Released || claimer.claim.Holder != claimer.Permit.Holder || claimer.version == claimer.Permit.Term() {
		return
	}
	for _, attempt := range claimer.attempts {
		if attempt.nonce != claimer.claim.Nonce {
			continue
		}
		lease := timekeeper.Lease{Start: attempt.started, Duration: PermitLease}
		if claimer.renews() {
			claimer.Permit.Extend(claimer.version, lease)
		} else {
			claimer.Permit.Take(claimer.version, lease)
		}
		return
	}
}

// renews reports whether the row follows directly on the one that the permit
// is held by.
func (claimer *Claimer) renews() bool {
	term := claimer.Permit.Term()
	return term > 0 && claimer.version == term+1
}

// Version returns the condition for the next write.
func (claimer *Claimer) Version() uint64 { return claimer.version }

// Wants reports whether the VM may write the row now: it is free, its lease
// has certainly ended, or it is held by this VM and due for renewal.
func (claimer *Claimer) Wants(now timekeeper.Reading) bool {
	switch {
	case !claimer.known:
		return false
	case claimer.version == 0 || claimer.claim.Released || claimer.outlived():
		return true
	case claimer.version == claimer.Permit.Term() && claimer.Permit.Held(now):
		return now.MaxElapsed(claimer.Permit.Lease().Start) >= renewAfter
	default:
		lease := timekeeper.Lease{Start: claimer.seen, Duration: PermitLease}
		return lease.Reclaimable(now, timekeeper.DriftMargin)
	}
}

// outlived reports whether the row is of an ended process that listened on
// this VM's address.
func (claimer *Claimer) outlived() bool {
	if claimer.Boot == "" || claimer.claim.Boot != claimer.Boot {
		return false
	}
	return !slices.ContainsFunc(claimer.attempts, func(attempt attempt) bool { return attempt.nonce == claimer.claim.Nonce }) &&
		claimer.version != claimer.Permit.Term()
}

// Begin returns the claim for a write; now is a reading before it is sent.
func (claimer *Claimer) Begin(nonce string, now timekeeper.Reading) Claim {
	claimer.attempts = append(claimer.attempts, attempt{nonce: nonce, started: now})
	if len(claimer.attempts) > maxAttempts {
		claimer.attempts = claimer.attempts[1:]
	}
	return Claim{Holder: claimer.Permit.Holder, Nonce: nonce, Boot: claimer.Boot}
}
