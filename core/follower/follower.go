// Package follower replicates the configuration on one VM: it applies changes
// from the store and from peers, passes them on to peers, and decides whether
// the VM's revision is recent enough to accept keys.
//
// The revision in force on a Follower only rises. Two VMs that hold the same
// revision compare digests; if they differ, both reload the configuration.
//
// # Usage
//
//	follower := follower.New("vm-01", incarnation)
//	message := follower.DigestMessage(now)
//	answer := peer.HandleMessage(now, message)                // on the peer
//	followUp, err := follower.HandleAnswer(sent, now, answer) // sent: taken before the message was sent
//	table := follower.Table()
package follower

import (
	"errors"
	"fmt"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/confirmer"
	"godwitramp.example/core/guard"
	"godwitramp.example/core/timekeeper"
)

const (
	// silenceThreshold is how long reads must go unanswered before the VM
	// counts the store as silent.
	silenceThreshold = 750 * time.Millisecond
	// maxReadAge is the age beyond which the last read sent is no evidence of
	// silence.
	maxReadAge = 10 * time.Second
)

// Follower is the configuration state of one VM, created by New. It isn't safe
// for concurrent use.
type Follower struct {
	VM          string
	Incarnation uint64
	// BesideStore is true if the VM runs next to the store, so that its
	// unanswered reads are evidence that the store is silent. DataCentre is the
	// data centre that the evidence counts for.
	BesideStore bool
	DataCentre  string

	state     *configurator.State
	table     *configurator.Table
	recent    recent
	guard     guard.Guard
	confirmer *confirmer.Confirmer
	reads     reads
	diverged  bool
	// problems are those of entries applied since the last TakeProblems.
	problems []*configurator.Problem
}

// reads tracks which reads of the store have been answered.
type reads struct {
	registered   bool
	registeredAt timekeeper.Reading
	// answeredSinceRegistration is true once the store has answered a read
	// that was sent after the VM was registered.
	answeredSinceRegistration bool
	pending                   bool
	// firstUnanswered is when the first read since the last answer was sent;
	// lastSent is when the last read was sent.
	firstUnanswered, lastSent timekeeper.Reading
}

// New returns a Follower without a configuration.
func New(vm string, incarnation uint64) *Follower {
	return &Follower{VM: vm, Incarnation: incarnation, state: configurator.NewState(), confirmer: confirmer.New()}
}

// Table returns the configuration in force, or nil before the first one.
func (follower *Follower) Table() *configurator.Table { return follower.table }

// Revision returns the revision in force.
func (follower *Follower) Revision() uint64 { return follower.state.Revision }

// Digest returns the digest of the configuration in force.
func (follower *Follower) Digest() configurator.Digest { return follower.state.Digest }

// State returns a copy of the configuration in force.
func (follower *Follower) State() *configurator.State { return follower.state.Clone() }

// Diverged reports whether the configuration has to be reloaded because a peer
// holds a different one at the same revision.
func (follower *Follower) Diverged() bool { return follower.diverged }

// TakeProblems returns and clears the problems of entries applied since the last
// call.
func (follower *Follower) TakeProblems() []*configurator.Problem {
	problems := follower.problems
	follower.problems = nil
	return problems
}

// Apply applies changes that follow the revision in force and skips older
// ones.
func (follower *Follower) Apply(changes []configurator.Change) error {
	for _, change := range changes {
		err := follower.apply(change)
		var stale *configurator.StaleError
		if err != nil && !errors.As(err, &stale) {
			return fmt.Errorf("apply change %s: %w", change.ID, err)
		}
	}
	return nil
}

func (follower *Follower) apply(change configurator.Change) error {
	if err := follower.state.Check(change); err != nil {
		return err
	}
	if follower.table == nil {
		follower.table, _ = configurator.Compile(follower.state.All())
	}
	table, problems := follower.table.Update(follower.state, change)
	if err := follower.state.Apply(change); err != nil {
		return err
	}
	follower.table = table
	follower.problems = append(follower.problems, problems...)
	follower.recent.add(change)
	follower.confirmRevision()
	return nil
}

// Replace puts a loaded state and its table in force. It reports false and
// changes nothing if the state is older than the one in force, or the same
// and not diverged.
func (follower *Follower) Replace(state *configurator.State, table *configurator.Table) bool {
	newer := state.Revision > follower.state.Revision
	if !newer && (state.Revision < follower.state.Revision || !follower.diverged) {
		return false
	}
	follower.state, follower.table = state, table
	follower.recent = recent{}
	follower.diverged = false
	follower.confirmRevision()
	return true
}

func (follower *Follower) confirmRevision() {
	follower.guard.Advance(follower.state.Revision)
	follower.confirmer.Merge([]confirmer.Confirmation{follower.ownConfirmation()})
}

func (follower *Follower) ownConfirmation() confirmer.Confirmation {
	return confirmer.Confirmation{VM: follower.VM, Incarnation: follower.Incarnation, Revision: follower.state.Revision}
}
