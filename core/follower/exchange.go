package follower

import (
	"godwitramp.example/core/configurator"
	"godwitramp.example/core/confirmer"
	"godwitramp.example/core/timekeeper"
)

// Ask returns the message that begins an exchange.
func (follower *Follower) Ask(now timekeeper.Reading) Message {
	follower.observe(now)
	return Message{Revision: follower.state.Revision, Digest: follower.state.Digest, Evidence: follower.guard.Evidence(now)}
}

// Offer returns the message that brings a peer the changes it lacks.
func (follower *Follower) Offer(now timekeeper.Reading, answer Answer) Message {
	message := follower.Ask(now)
	message.Changes = follower.recent.after(answer.Revision)
	message.Echo = answer.Token
	return message
}

// Serve answers the message of another VM. A change that doesn't lead on is
// passed over.
func (follower *Follower) Serve(now timekeeper.Reading, message Message) Answer {
	_ = follower.Apply(message.Changes) // the answer says what is in force
	if message.Echo.Incarnation == follower.Incarnation {
		follower.guard.Hear(message.Echo.Issued, now, message.Evidence)
	}
	follower.confirmer.Merge(message.Confirmations)
	follower.compare(message.Revision, message.Digest)
	follower.observe(now)
	return Answer{
		Revision: follower.state.Revision, Digest: follower.state.Digest,
		Changes: follower.recent.after(message.Revision), Evidence: follower.guard.Evidence(now),
		Token: Token{Incarnation: follower.Incarnation, Issued: now},
	}
}

// Hear takes in the answer to a message that was sent at an instant.
func (follower *Follower) Hear(sent, now timekeeper.Reading, answer Answer) (News, error) {
	err := follower.Apply(answer.Changes)
	follower.guard.Hear(sent, now, answer.Evidence)
	follower.compare(answer.Revision, answer.Digest)
	return News{
		PeerBehind: answer.Revision < follower.state.Revision && len(follower.recent.after(answer.Revision)) > 0,
		PeerStale:  follower.guard.Helps(now, answer.Evidence),
		Load:       answer.Revision > follower.state.Revision && len(answer.Changes) == 0,
	}, err
}

// compare detects another configuration at the same revision.
func (follower *Follower) compare(revision uint64, digest configurator.Digest) {
	if revision == follower.state.Revision && digest != follower.state.Digest {
		follower.diverged = true
	}
}

// Sent says that a read of the head was sent at an instant.
func (follower *Follower) Sent(sent timekeeper.Reading) {
	if !follower.reads.pending {
		follower.reads.pending = true
		follower.reads.unanswered = sent
	}
	follower.reads.last = sent
}

// Read says that the store answered a read of the head that was sent at an
// instant. It reports whether the VM is behind.
func (follower *Follower) Read(sent, now timekeeper.Reading, head uint64) (behind bool) {
	follower.reads.pending = false
	if follower.reads.registered && sent.Mono >= follower.reads.since.Mono {
		follower.reads.witness = true
	}
	follower.guard.Read(sent, now, head)
	return head > follower.state.Revision
}

// Registered says that the store has recorded, by now, that the VM has to
// confirm.
func (follower *Follower) Registered(now timekeeper.Reading) {
	follower.reads.registered = true
	follower.reads.since = now
}

// Unregistered says that the store no longer has the VM's registration, so
// that nobody may rely on it.
func (follower *Follower) Unregistered() {
	follower.reads.registered = false
	follower.reads.witness = false
}

// observe adds the VM's own evidence that the store is silent.
func (follower *Follower) observe(now timekeeper.Reading) {
	reads := follower.reads
	if !follower.BesideStore || !reads.witness || !reads.pending {
		return
	}
	if now.Shortest(reads.unanswered) >= silentAfter && now.Longest(reads.last) <= staleAttempt {
		follower.guard.Silent(now, follower.DataCentre)
	}
}

// Trust returns the lease under which the VM may take its keys to be good. It
// reports false if there is none.
func (follower *Follower) Trust(now timekeeper.Reading) (timekeeper.Lease, bool) {
	follower.observe(now)
	lease, ok := follower.guard.Trust(now)
	return lease, ok && follower.table != nil
}

// KeysKnown reports whether the lease of Trust has not lapsed.
func (follower *Follower) KeysKnown(now timekeeper.Reading) bool {
	lease, ok := follower.Trust(now)
	return ok && !lease.Lapsed(now)
}

// Confirmations returns what the VM nearer to the store has not been told.
func (follower *Follower) Confirmations() []confirmer.Confirmation {
	return follower.confirmer.Pending()
}

// Delivered says that a VM nearer to the store has got the confirmations.
func (follower *Follower) Delivered(batch []confirmer.Confirmation) {
	follower.confirmer.Delivered(batch)
}

// Confirmed returns all confirmations that the VM has merged.
func (follower *Follower) Confirmed() []confirmer.Confirmation { return follower.confirmer.All() }

// Refresh makes the VM's own confirmation go out again, in case that a VM on
// its way was lost, and forgets VMs that keep doesn't accept.
func (follower *Follower) Refresh(keep func(vm string) bool) {
	follower.confirmer.Retain(func(vm string) bool { return vm == follower.VM || keep(vm) })
	follower.confirmer.Requeue(follower.VM)
}
