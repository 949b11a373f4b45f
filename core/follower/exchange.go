package follower

import (
	"godwitramp.example/core/configurator"
	"godwitramp.example/core/confirmer"
	"godwitramp.example/core/timekeeper"
)

// DigestMessage returns the message that begins an exchange. It carries the
// VM's revision and digest, but no changes.
func (follower *Follower) DigestMessage(now timekeeper.Reading) Message {
	follower.recordSilence(now)
	return Message{Revision: follower.state.Revision, Digest: follower.state.Digest, Evidence: follower.guard.Evidence(now)}
}

// ChangesMessage returns the message that sends a peer the changes it lacks.
func (follower *Follower) ChangesMessage(now timekeeper.Reading, answer Answer) Message {
	message := follower.DigestMessage(now)
	message.Changes = follower.recent.after(answer.Revision)
	message.Echo = answer.Token
	return message
}

// HandleMessage handles a peer's message and returns the answer. Changes that
// don't follow the revision in force are ignored.
func (follower *Follower) HandleMessage(now timekeeper.Reading, message Message) Answer {
	_ = follower.Apply(message.Changes) // the answer states the revision in force
	if message.Echo.Incarnation == follower.Incarnation {
		follower.guard.RecordEvidence(message.Echo.Issued, now, message.Evidence)
	}
	follower.confirmer.Merge(message.Confirmations)
	follower.detectDivergence(message.Revision, message.Digest)
	follower.recordSilence(now)
	return Answer{
		Revision: follower.state.Revision, Digest: follower.state.Digest,
		Changes: follower.recent.after(message.Revision), Evidence: follower.guard.Evidence(now),
		Token: Token{Incarnation: follower.Incarnation, Issued: now},
	}
}

// HandleAnswer applies the answer to a message that was sent at the given
// time, and returns what remains to be done. The error is that of Apply.
func (follower *Follower) HandleAnswer(sent, now timekeeper.Reading, answer Answer) (FollowUp, error) {
	err := follower.Apply(answer.Changes)
	follower.guard.RecordEvidence(sent, now, answer.Evidence)
	follower.detectDivergence(answer.Revision, answer.Digest)
	return FollowUp{
		PeerBehind:        answer.Revision < follower.state.Revision && len(follower.recent.after(answer.Revision)) > 0,
		PeerEvidenceStale: follower.guard.WorthSending(now, answer.Evidence),
		LoadSnapshot:      answer.Revision > follower.state.Revision && len(answer.Changes) == 0,
	}, err
}

// detectDivergence marks the VM as diverged if a peer holds a different
// configuration at the same revision.
func (follower *Follower) detectDivergence(revision uint64, digest configurator.Digest) {
	if revision == follower.state.Revision && digest != follower.state.Digest {
		follower.diverged = true
	}
}

// ReadSent records that a read of the head revision was sent.
func (follower *Follower) ReadSent(sent timekeeper.Reading) {
	if !follower.reads.pending {
		follower.reads.pending = true
		follower.reads.firstUnanswered = sent
	}
	follower.reads.lastSent = sent
}

// ReadAnswered records that the store answered a read of the head revision that
// was sent at the given time. It reports whether the VM is behind.
func (follower *Follower) ReadAnswered(sent, now timekeeper.Reading, head uint64) (behind bool) {
	follower.reads.pending = false
	if follower.reads.registered && sent.Mono >= follower.reads.registeredAt.Mono {
		follower.reads.answeredSinceRegistration = true
	}
	follower.guard.RecordHead(sent, now, head)
	return head > follower.state.Revision
}

// Registered records that the store lists the VM, as of now, among those whose
// confirmation is required.
func (follower *Follower) Registered(now timekeeper.Reading) {
	follower.reads.registered = true
	follower.reads.registeredAt = now
}

// Unregistered records that the store no longer has the VM's registration, so
// that its evidence no longer counts.
func (follower *Follower) Unregistered() {
	follower.reads.registered = false
	follower.reads.answeredSinceRegistration = false
}

// recordSilence adds the VM's own evidence that the store is silent, if it has
// any.
func (follower *Follower) recordSilence(now timekeeper.Reading) {
	reads := follower.reads
	if !follower.BesideStore || !reads.answeredSinceRegistration || !reads.pending {
		return
	}
	if now.MinElapsed(reads.firstUnanswered) >= silenceThreshold && now.MaxElapsed(reads.lastSent) <= maxReadAge {
		follower.guard.RecordSilence(now, follower.DataCentre)
	}
}

// KeyLease returns the lease under which the VM may accept keys. It reports
// false if there is none.
func (follower *Follower) KeyLease(now timekeeper.Reading) (timekeeper.Lease, bool) {
	follower.recordSilence(now)
	lease, ok := follower.guard.TrustLease(now)
	return lease, ok && follower.table != nil
}

// KeysKnown reports whether the VM has a key lease that has not expired.
func (follower *Follower) KeysKnown(now timekeeper.Reading) bool {
	lease, ok := follower.KeyLease(now)
	return ok && !lease.Lapsed(now)
}

// PendingConfirmations returns the confirmations not yet delivered to the next
// VM on the way to the store.
func (follower *Follower) PendingConfirmations() []confirmer.Confirmation {
	return follower.confirmer.Pending()
}

// ConfirmationsDelivered records that the next VM on the way to the store has
// received the confirmations.
func (follower *Follower) ConfirmationsDelivered(batch []confirmer.Confirmation) {
	follower.confirmer.Delivered(batch)
}

// AllConfirmations returns all confirmations that the VM has merged.
func (follower *Follower) AllConfirmations() []confirmer.Confirmation {
	return follower.confirmer.All()
}

// RefreshConfirmations marks the VM's own confirmation to be sent again, in case
// a VM on the way to the store was lost with it. It drops the confirmations of
// VMs for which keep returns false.
func (follower *Follower) RefreshConfirmations(keep func(vm string) bool) {
	follower.confirmer.Retain(func(vm string) bool { return vm == follower.VM || keep(vm) })
	follower.confirmer.Requeue(follower.VM)
}
