// Package follower is one VM's part in keeping the configuration in force
// everywhere: it applies what the store and other VMs say, answers other VMs,
// and knows whether its revision may still be trusted.
//
// The revision in force on a Follower only rises. Two VMs that hold the same
// revision compare digests; when they differ, both load the configuration
// anew.
//
// # Usage
//
//	follower := follower.New("vm-01", incarnation)
//	message := follower.Ask(now)
//	answer := other.Serve(now, message)           // on the other VM
//	news, err := follower.Hear(sent, now, answer) // sent before the message left
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
	// silentAfter is how long the store must leave reads unanswered before a
	// VM calls it silent.
	silentAfter = 750 * time.Millisecond
	// staleAttempt is the age from which the last read sent proves nothing.
	staleAttempt = 10 * time.Second
)

// Follower is the state of one VM. Make one with New. It isn't safe for
// concurrent use.
type Follower struct {
	VM          string
	Incarnation uint64
	// BesideStore and DataCentre say whose silence the VM can vouch for.
	BesideStore bool
	DataCentre  string

	state     *configurator.State
	table     *configurator.Table
	recent    recent
	guard     guard.Guard
	confirmer *confirmer.Confirmer
	reads     reads
	diverged  bool
	// problems are those of entries applied since the last Take.
	problems []*configurator.Problem
}

// reads remembers which reads of the store have been answered.
type reads struct {
	registered bool
	since      timekeeper.Reading
	// witness is true once the store has answered a read sent after the VM
	// was registered.
	witness bool
	pending bool
	// unanswered is the first read sent since the last answer.
	unanswered, last timekeeper.Reading
}

// New returns a VM without any configuration.
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

// Diverged reports whether the configuration has to be loaded anew because
// another VM holds another one at the same revision.
func (follower *Follower) Diverged() bool { return follower.diverged }

// Take returns the problems of entries that were applied since the last call.
func (follower *Follower) Take() []*configurator.Problem {
	problems := follower.problems
	follower.problems = nil
	return problems
}

// Apply applies changes that lead on from the revision in force and passes
// over older ones.
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
	follower.inForce()
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
	follower.inForce()
	return true
}

func (follower *Follower) inForce() {
	follower.guard.Advance(follower.state.Revision)
	follower.confirmer.Merge([]confirmer.Confirmation{follower.own()})
}

func (follower *Follower) own() confirmer.Confirmation {
	return confirmer.Confirmation{VM: follower.VM, Incarnation: follower.Incarnation, Revision: follower.state.Revision}
}
