// Package verifier decides which requests a VM may handle with a configuration that may
// be stale.
//
// A VM can't tell at once that the store has a newer configuration. So it keeps the
// time as of which its own was the newest, and learns from peers if a newer one exists.
// It refuses a request if its configuration may be too old for it, so that the caller
// retries on another VM.
//
// # Usage
//
//	policy := verifier.Policy{Propagation: 3 * time.Second, Withdrawal: 5 * time.Second}
//	freshness := verifier.Freshness{Age: now - asOf, Behind: behind}
//	if !policy.MayServe(freshness) {
//		// Refuse the request.
//	}
package verifier

import "time"

// Freshness describes how current a VM's configuration is.
type Freshness struct {
	// Age is the time since the configuration was last known to be the newest.
	Age time.Duration
	// Behind is true if a newer one is known to exist.
	Behind bool
	// StoreUnreachable is true while the store does not answer this VM.
	StoreUnreachable bool
	// Unconfirmed is true if the configuration may be that of an older copy of the store, and no other VM
	// can have said so yet.
	Unconfirmed bool
}

// Policy limits the use of a configuration by its age. A zero duration sets no limit.
type Policy struct {
	// Propagation is the time within which a confirmed configuration must be in force
	// on a VM that reaches the store.
	Propagation time.Duration
	// UnreachableGrace is added to Propagation on a VM that the store does not answer.
	UnreachableGrace time.Duration
	// Withdrawal is the time within which every VM must refuse a withdrawn key, whether
	// or not it reaches the store.
	Withdrawal time.Duration
	// Evacuation is the time within which no request may reach a data centre that is evacuated. UnreachableGrace is
	// added to it too.
	Evacuation time.Duration
}

// MayServe reports whether the VM may handle requests with its configuration at all. If
// no newer one is known to exist, any age will do: an outage of the store may last hours.
func (policy Policy) MayServe(freshness Freshness) bool {
	if !freshness.Behind || policy.Propagation == 0 {
		return true
	}
	if freshness.StoreUnreachable {
		return freshness.Age < policy.Propagation+policy.UnreachableGrace
	}
	return freshness.Age < policy.Propagation
}

// MayTrustKeys reports whether the VM may accept keys: none that it accepts can have been
// withdrawn for longer than Withdrawal.
func (policy Policy) MayTrustKeys(freshness Freshness) bool {
	return !freshness.Unconfirmed && policy.MayServe(freshness) && within(freshness.Age, policy.Withdrawal)
}

// MaySend reports whether the VM may send a request by the evacuations that it knows, whose freshness is given. If it
// lacks no change that is known to exist, any age will do: the first evacuation of all can't be told from none.
func (policy Policy) MaySend(freshness Freshness) bool {
	if !freshness.Behind || policy.Evacuation == 0 {
		return true
	}
	if freshness.StoreUnreachable {
		return freshness.Age < policy.Evacuation+policy.UnreachableGrace
	}
	return freshness.Age < policy.Evacuation
}

// MayRejectUnknown reports whether the VM may answer that a route or key doesn't exist;
// a newer configuration may have added it.
func (policy Policy) MayRejectUnknown(freshness Freshness) bool {
	return !freshness.Unconfirmed && within(freshness.Age, policy.Propagation) && within(freshness.Age, policy.Withdrawal)
}

func within(age, bound time.Duration) bool { return bound == 0 || age < bound }
