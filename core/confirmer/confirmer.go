// Package confirmer tracks which VMs have confirmed a revision of the
// configuration, and decides whether a revision is in force on all of them.
//
// VMs forward confirmations hop by hop towards the VMs that write them to the
// store. Each VM merges what it receives with its own and forwards what is
// pending until the next hop acknowledges it.
//
// # Usage
//
//	confirmer := confirmer.New()
//	confirmer.Merge(confirmations)          // from VMs further from the store
//	batch := confirmer.Pending()            // to a VM nearer to the store
//	confirmer.Delivered(batch)              // once that VM has answered
//	progress := confirmer.Evaluate(revision, registrations, merged)
package confirmer

import (
	"slices"
	"strings"
)

// Confirmation states that a revision is in force on a VM.
type Confirmation struct {
	VM          string
	Incarnation uint64
	Revision    uint64
}

// newerThan orders confirmations of one VM by incarnation, then revision.
func (confirmation Confirmation) newerThan(other Confirmation) bool {
	if confirmation.Incarnation != other.Incarnation {
		return confirmation.Incarnation > other.Incarnation
	}
	return confirmation.Revision > other.Revision
}

// Registration is a VM whose confirmation is required.
type Registration struct {
	VM          string
	Incarnation uint64
	DataCentre  string
	// BesideStore is true for VMs in the region of the table service. Other VMs
	// rely on evidence that these VMs get no answers from the store.
	BesideStore bool
}

// Confirmer keeps the newest confirmation of each VM. Make one with New. It
// isn't safe for concurrent use.
type Confirmer struct {
	newest  map[string]Confirmation
	pending map[string]bool
}

// New returns an empty Confirmer.
func New() *Confirmer {
	return &Confirmer{newest: make(map[string]Confirmation), pending: make(map[string]bool)}
}

// Merge stores confirmations and makes those that are not older than the known
// ones pending. Repeated confirmations become pending again, because a VM repeats
// one when a VM on its path may have failed.
func (confirmer *Confirmer) Merge(confirmations []Confirmation) {
	for _, confirmation := range confirmations {
		known, ok := confirmer.newest[confirmation.VM]
		if ok && known.newerThan(confirmation) {
			continue
		}
		confirmer.newest[confirmation.VM] = confirmation
		confirmer.pending[confirmation.VM] = true
	}
}

// Pending returns the confirmations that have yet to be delivered, sorted by VM.
func (confirmer *Confirmer) Pending() []Confirmation {
	var batch []Confirmation
	for vm := range confirmer.pending {
		batch = append(batch, confirmer.newest[vm])
	}
	sortByVM(batch)
	return batch
}

// Delivered removes the confirmations from the pending ones, except those that
// have been superseded by a newer one since.
func (confirmer *Confirmer) Delivered(batch []Confirmation) {
	for _, confirmation := range batch {
		if confirmer.newest[confirmation.VM] == confirmation {
			delete(confirmer.pending, confirmation.VM)
		}
	}
}

// Requeue makes the confirmation of one VM pending, so that it is sent again.
func (confirmer *Confirmer) Requeue(vm string) {
	if _, ok := confirmer.newest[vm]; ok {
		confirmer.pending[vm] = true
	}
}

// Retain removes all VMs for which keep returns false.
func (confirmer *Confirmer) Retain(keep func(vm string) bool) {
	for vm := range confirmer.newest {
		if !keep(vm) {
			delete(confirmer.newest, vm)
			delete(confirmer.pending, vm)
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

// Progress states which VMs have confirmed a revision.
type Progress struct {
	// Confirmed is the number of registered VMs that have confirmed.
	Confirmed int
	// Missing has the names of the registered VMs that have not, sorted.
	Missing []string
	// Covered is true if the VMs beside the store that have not confirmed are in
	// at most one data centre. A VM concludes that the store is silent only from
	// evidence of two data centres, so a VM that lacks the revision can't do so
	// any more. It refuses keyed requests once older evidence has expired.
	Covered bool
}

// Evaluate compares the registered VMs with the confirmations of the revision or
// a later one. A confirmation of another incarnation does not count.
func Evaluate(revision uint64, registrations []Registration, confirmed *Confirmer) Progress {
	var progress Progress
	unconfirmedDataCentres := make(map[string]bool)
	for _, registration := range registrations {
		known, ok := confirmed.newest[registration.VM]
		if ok && known.Incarnation == registration.Incarnation && known.Revision >= revision {
			progress.Confirmed++
			continue
		}
		progress.Missing = append(progress.Missing, registration.VM)
		if registration.BesideStore {
			unconfirmedDataCentres[registration.DataCentre] = true
		}
	}
	slices.Sort(progress.Missing)
	progress.Covered = len(unconfirmedDataCentres) <= 1
	return progress
}
