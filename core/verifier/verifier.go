// Package verifier decides what a VM may do on what it knows of the configuration.
//
// A VM can't tell at once that the store has a newer configuration. So it keeps the
// time up to which its own was the newest, and hears from other VMs that a newer one
// exists. What it can't vouch for it refuses, so that the caller turns to a VM that
// knows better.
//
// # Usage
//
//	policy := verifier.Policy{Propagation: 3 * time.Second, Withdrawal: 5 * time.Second}
//	knowledge := verifier.Knowledge{Age: now - asOf, Behind: behind}
//	if !policy.MayServe(knowledge) {
//		// Refuse the request.
//	}
package verifier

import "time"

// Knowledge is how current a VM's configuration is.
type Knowledge struct {
	// Age is the time since the configuration was last known to be the newest.
	Age time.Duration
	// Behind is true if a newer one is known to exist.
	Behind bool
	// StoreLost is true while the store does not answer this VM.
	StoreLost bool
}

// Policy bounds what may be done on old knowledge. A bound of zero is none.
type Policy struct {
	// Propagation is how soon a confirmed configuration must be in force on a VM
	// that reaches the store.
	Propagation time.Duration
	// Stretch is how much longer it may take on a VM that the store does not answer.
	Stretch time.Duration
	// Withdrawal is how soon a withdrawn key must have stopped on every VM, whatever
	// it reaches.
	Withdrawal time.Duration
}

// MayServe reports whether requests may be handled by the configuration at all. If no
// newer one is known, an old one is better than none: the store may be away for hours.
func (policy Policy) MayServe(knowledge Knowledge) bool {
	if !knowledge.Behind || policy.Propagation == 0 {
		return true
	}
	if knowledge.StoreLost {
		return knowledge.Age < policy.Propagation+policy.Stretch
	}
	return knowledge.Age < policy.Propagation
}

// MayTrustKeys reports whether no key can have been withdrawn for too long.
func (policy Policy) MayTrustKeys(knowledge Knowledge) bool {
	return policy.MayServe(knowledge) && within(knowledge.Age, policy.Withdrawal)
}

// MayDeny reports whether a request may be told that its route or key doesn't exist. A
// newer configuration may have added it.
func (policy Policy) MayDeny(knowledge Knowledge) bool {
	return within(knowledge.Age, policy.Propagation) && within(knowledge.Age, policy.Withdrawal)
}

func within(age, bound time.Duration) bool { return bound == 0 || age < bound }
