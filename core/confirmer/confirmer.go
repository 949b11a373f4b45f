// Package confirmer merges what VMs say about the revision that is in force on
// them, and decides from it whether a revision is in force everywhere.
//
// # Usage
//
//	confirmer := confirmer.New()
//	confirmer.Merge(confirmations)          // from VMs further from the store
//	batch := confirmer.Changed()            // to a VM nearer to the store
//	verdict := confirmer.Judge(revision, registrations, merged)
package confirmer

import (
	"slices"
	"strings"
)

// Confirmation says that a revision is in force on a VM.
type Confirmation struct {
	VM          string
	Incarnation uint64
	Revision    uint64
}

// after reports whether the confirmation says more than the other one.
func (confirmation Confirmation) after(other Confirmation) bool {
	if confirmation.Incarnation != other.Incarnation {
		return confirmation.Incarnation > other.Incarnation
	}
	return confirmation.Revision > other.Revision
}

// Registration is a VM that has to confirm.
type Registration struct {
	VM          string
	Incarnation uint64
	DataCentre  string
	// BesideStore is true for VMs whose silence other VMs rely on.
	BesideStore bool
}

// Confirmer keeps the newest confirmation of each VM. Make one with New. It
// isn't safe for concurrent use.
type Confirmer struct {
	newest  map[string]Confirmation
	changed map[string]bool
}

// New returns a Confirmer that knows nothing.
func New() *Confirmer {
	return &Confirmer{newest: make(map[string]Confirmation), changed: make(map[string]bool)}
}

// Merge adds confirmations and marks those that are not older than the known
// ones: a VM that says the same again does so because a VM on the way may have
// been lost.
func (confirmer *Confirmer) Merge(confirmations []Confirmation) {
	for _, confirmation := range confirmations {
		known, ok := confirmer.newest[confirmation.VM]
		if ok && known.after(confirmation) {
			continue
		}
		confirmer.newest[confirmation.VM] = confirmation
		confirmer.changed[confirmation.VM] = true
	}
}

// Changed returns the marked confirmations, sorted by VM.
func (confirmer *Confirmer) Changed() []Confirmation {
	var batch []Confirmation
	for vm := range confirmer.changed {
		batch = append(batch, confirmer.newest[vm])
	}
	sortByVM(batch)
	return batch
}

// Delivered takes the mark off the confirmations unless there are newer ones.
func (confirmer *Confirmer) Delivered(batch []Confirmation) {
	for _, confirmation := range batch {
		if confirmer.newest[confirmation.VM] == confirmation {
			delete(confirmer.changed, confirmation.VM)
		}
	}
}

// Mark marks the confirmation of one VM, so that it is sent again.
func (confirmer *Confirmer) Mark(vm string) {
	if _, ok := confirmer.newest[vm]; ok {
		confirmer.changed[vm] = true
	}
}

// Keep forgets all VMs but those that keep accepts.
func (confirmer *Confirmer) Keep(keep func(vm string) bool) {
	for vm := range confirmer.newest {
		if !keep(vm) {
			delete(confirmer.newest, vm)
			delete(confirmer.changed, vm)
		}
	}
}

// All returns the newest confirmations, sorted by VM.
func (confirmer *Confirmer) All() []Confirmation {
	batch := make([]Confirmation, 0, len(confirmer.newest))
	for _, confirmation := range confirmer.newest {
		batch = append(batch, confirmation)
	}
	sortByVM(batch)
	return batch
}

func sortByVM(batch []Confirmation) {
	slices.SortFunc(batch, func(a, b Confirmation) int { return strings.Compare(a.VM, b.VM) })
}

// Verdict says how far a revision has come.
type Verdict struct {
	Confirmed int
	// Missing are the registered VMs that have not confirmed, sorted.
	Missing []string
	// Covered is true when no VM can find the store silent any more while it
	// lacks the revision: the VMs beside the store that have not confirmed
	// stand in one data centre at most, and silence takes two. Once evidence
	// from before has lapsed, whoever lacks the revision refuses keyed
	// requests.
	Covered bool
}

// Judge compares the registered VMs with the confirmations. A confirmation of
// another incarnation does not count.
func Judge(revision uint64, registrations []Registration, confirmed *Confirmer) Verdict {
	var verdict Verdict
	uncovered := make(map[string]bool)
	for _, registration := range registrations {
		known, ok := confirmed.newest[registration.VM]
		if ok && known.Incarnation == registration.Incarnation && known.Revision >= revision {
			verdict.Confirmed++
			continue
		}
		verdict.Missing = append(verdict.Missing, registration.VM)
		if registration.BesideStore {
			uncovered[registration.DataCentre] = true
		}
	}
	slices.Sort(verdict.Missing)
	verdict.Covered = len(uncovered) <= 1
	return verdict
}
