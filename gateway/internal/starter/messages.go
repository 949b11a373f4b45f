package starter

import (
	"sync/atomic"
	"time"

	"godwitramp.example/core/delegator"
	"godwitramp.example/core/throttler"
	"godwitramp.example/core/verifier"
	"godwitramp.example/gateway/internal/messenger"
)

// messages forwards calls to the messenger once the VM has joined the fleet. Until then
// it drops events and acts as a group of this VM alone.
type messages struct {
	messenger atomic.Pointer[messenger.Messenger]
	// onJoin is called once, after the VM has joined the fleet.
	onJoin func()
}

func (messages *messages) set(messenger *messenger.Messenger) { messages.messenger.Store(messenger) }

// joined reports whether the VM has joined the fleet.
func (messages *messages) joined() bool { return messages.messenger.Load() != nil }

// claimsKnown reports whether the VM has joined the fleet and knows the claims of its group.
func (messages *messages) claimsKnown() bool {
	messenger := messages.messenger.Load()
	return messenger != nil && messenger.ClaimsKnown()
}

// SendToGroup sends events to the group.
func (messages *messages) SendToGroup(events ...messenger.Event) {
	if messenger := messages.messenger.Load(); messenger != nil {
		messenger.SendToGroup(events...)
	}
}

// SendToFleet sends events to the VMs outside the group.
func (messages *messages) SendToFleet(events ...messenger.Event) {
	if messenger := messages.messenger.Load(); messenger != nil {
		messenger.SendToFleet(events...)
	}
}

// AskForTokens asks other groups for tokens of an organisation, and returns how many.
func (messages *messages) AskForTokens(scope throttler.Scope, organisation string, tokens float64, lenders int) int {
	if messenger := messages.messenger.Load(); messenger != nil {
		return messenger.AskForTokens(scope, organisation, tokens, lenders)
	}
	return 0
}

// Rank returns the VM's rank among the VMs that poll the store. Before the VM has joined the
// fleet, it isn't the first: if all VMs of a starting fleet polled, they would make most of
// the calls of a day.
func (messages *messages) Rank() int {
	if messenger := messages.messenger.Load(); messenger != nil {
		return messenger.Rank()
	}
	return 1
}

// FirstInGroup reports whether the VM is the first of its group, false before it has joined.
func (messages *messages) FirstInGroup() bool {
	messenger := messages.messenger.Load()
	return messenger != nil && messenger.FirstInGroup()
}

// inGroup reports whether a VM belongs to this VM's group.
func (messages *messages) inGroup(name string) bool {
	messenger := messages.messenger.Load()
	return messenger != nil && messenger.InGroup(name)
}

// share returns the state of the group. Before the VM has joined, it is that of a group
// of one VM.
func (messages *messages) share() messenger.Share {
	if messenger := messages.messenger.Load(); messenger != nil {
		return messenger.Share()
	}
	return messenger.Share{Group: 1, Reachable: 1, VMs: 1}
}

// Belief returns what this VM has reason to believe about its group.
func (messages *messages) Belief(since, now time.Duration) throttler.Belief {
	if messenger := messages.messenger.Load(); messenger != nil {
		return messenger.Belief(since, now)
	}
	return throttler.Belief{Reachable: 1, Heard: 1, Recent: 1}
}

// AskGroup asks VMs of the group for a message, and reports whether there are any to ask.
func (messages *messages) AskGroup() bool {
	messenger := messages.messenger.Load()
	return messenger != nil && messenger.AskGroup()
}

// ProbeFilter returns a function that reports whether this VM probes a target, nil before the VM has joined.
func (messages *messages) ProbeFilter() func(target string) bool {
	if messenger := messages.messenger.Load(); messenger != nil {
		return messenger.ProbeFilter()
	}
	return nil
}

// SendClaims sends the group a heartbeat, which includes the tracker's claims.
func (messages *messages) SendClaims() {
	if messenger := messages.messenger.Load(); messenger != nil {
		messenger.SendHeartbeat()
	}
}

// AskFleet asks other VMs what they have in force. It reports false before the VM has joined.
func (messages *messages) AskFleet(far bool) (verifier.Asked, bool) {
	messenger := messages.messenger.Load()
	if messenger == nil || !messenger.Introduced() {
		return verifier.Asked{}, false
	}
	dataCentres, alone := messenger.AskFleet(far)
	return verifier.Asked{DataCentres: dataCentres, Alone: alone, Far: far}, true
}

// Candidates returns VMs to which requests may be passed on, none before the VM has joined.
func (messages *messages) Candidates() []delegator.Candidate {
	if messenger := messages.messenger.Load(); messenger != nil {
		return messenger.Candidates()
	}
	return nil
}

// key returns the fleet's key, nil before the VM has joined.
func (messages *messages) key() []byte {
	if messenger := messages.messenger.Load(); messenger != nil {
		return messenger.CurrentKey()
	}
	return nil
}

func (messages *messages) leave() {
	if messenger := messages.messenger.Load(); messenger != nil {
		messenger.Leave()
	}
}
