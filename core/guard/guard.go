// Package guard bounds the staleness of a VM's configuration: it decides whether the
// VM may still accept keys, although one may have been withdrawn in the meantime.
//
// A VM that gets no answer from the store can't tell an outage for everyone from its
// own isolation. The guard collects evidence about the store from the VM itself and
// from its peers, and lets keys be accepted only while the evidence is recent:
//
//   - a read of the head revision that is not newer than the VM's own revision, or
//   - silence of the store: in at least two data centres, VMs beside the store get no
//     answer from it and know of no newer revision.
//
// Evidence is sent with its age instead of a time. The receiver adds the time since it
// sent the request that the evidence answers, so an age is never underestimated and
// clocks need not be synchronised.
//
// # Usage
//
//	guard := &guard.Guard{}
//	guard.RecordHead(sent, now, head)         // this VM read the head
//	guard.RecordEvidence(sent, now, evidence) // a peer's answer had evidence
//	guard.Advance(revision)                   // this VM put a revision in force
//	known := guard.KeysKnown(now)
package guard

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"godwitramp.example/core/timekeeper"
)

const (
	// DefaultMaxAge is the age up to which evidence is valid.
	DefaultMaxAge = 3 * time.Second
	// minSilentDataCentres is the number of data centres whose VMs must get no answer
	// from the store.
	minSilentDataCentres = 2
	// gapDivisor sets by how much evidence must be younger than another VM's to be
	// worth a call of its own: by MaxAge/gapDivisor.
	gapDivisor = 3
	// retentionFactor times MaxAge is the age up to which evidence is sent to other VMs.
	retentionFactor = 2
)

// Silence is the observation that VMs beside the store in a data centre get no answer
// from it.
type Silence struct {
	DataCentre string
	Age        time.Duration
}

// Evidence is what a VM reports to its peers about the store.
type Evidence struct {
	// Newest is the newest revision that the VM knows of. It is no older than any
	// revision known to the VMs that observed Silences.
	Newest uint64
	// HeadKnown is true if the store had no revision newer than Newest HeadAge
	// ago.
	HeadKnown bool
	HeadAge   time.Duration
	Silences  []Silence
}

// silence is a Silence with its time on this VM's clocks instead of its age.
type silence struct {
	dataCentre string
	asOf       timekeeper.Reading
}

// Guard holds the evidence that one VM has. It isn't safe for concurrent use. The zero
// value has no evidence.
type Guard struct {
	// MaxAge is the age up to which evidence is valid; DefaultMaxAge if zero.
	MaxAge time.Duration

	revision uint64
	// newest is the newest revision that the VM knows of.
	newest uint64
	// headAsOf is when the head was last known to be no newer than newest.
	headKnown bool
	headAsOf  timekeeper.Reading
	// currentAsOf is when the VM's revision was last known to be the head.
	current     bool
	currentAsOf timekeeper.Reading
	silences    []silence
	// silent is true if silentAsOf is the start of the lease that followed from silences
	// when the VM last learned of a newer revision than its own.
	silent     bool
	silentAsOf timekeeper.Reading
}

func (guard *Guard) maxAge() time.Duration {
	if guard.MaxAge > 0 {
		return guard.MaxAge
	}
	return DefaultMaxAge
}

// RecordHead records a read of the head revision by this VM. Sent is a reading from before
// the request was sent.
func (guard *Guard) RecordHead(sent, now timekeeper.Reading, head uint64) {
	guard.addHead(sent, now, head)
}

// RecordEvidence records the evidence in a peer's answer. Sent is a reading from before the
// request was sent.
func (guard *Guard) RecordEvidence(sent, now timekeeper.Reading, evidence Evidence) {
	guard.learn(evidence.Newest, now)
	if evidence.HeadKnown && evidence.HeadAge >= 0 {
		guard.addHead(sent.Add(-evidence.HeadAge), now, evidence.Newest)
	}
	for _, received := range evidence.Silences {
		if received.Age >= 0 {
			guard.addSilence(now, silence{received.DataCentre, sent.Add(-received.Age)})
		}
	}
}

// RecordSilence records that this VM, which runs beside the store in the given data
// centre, gets no answer from it now.
func (guard *Guard) RecordSilence(now timekeeper.Reading, dataCentre string) {
	guard.addSilence(now, silence{dataCentre, now})
}

// Advance records that a revision is in force on this VM. An older one has no effect.
func (guard *Guard) Advance(revision uint64) {
	guard.revision = max(guard.revision, revision)
	guard.newest = max(guard.newest, revision)
	guard.updateCurrent()
}

// addHead merges a read of the head. The head only rises, so the higher of two heads
// was read after the lower one and its evidence is at least as recent.
func (guard *Guard) addHead(asOf, now timekeeper.Reading, head uint64) {
	if !guard.headKnown || now.MaxElapsed(asOf) < now.MaxElapsed(guard.headAsOf) {
		guard.headAsOf = asOf
	}
	guard.learn(head, now)
	guard.headKnown = true
	guard.updateCurrent()
}

// learn records that a revision exists. If it is the first one newer than the VM's own,
// the lease from the silences so far goes on: a revision is in force only after the VMs
// beside the store in all data centres but one have confirmed it, and evidence from
// before has lapsed.
func (guard *Guard) learn(revision uint64, now timekeeper.Reading) {
	if revision > guard.revision && guard.newest <= guard.revision {
		var lease timekeeper.Lease
		lease, guard.silent = guard.silenceLease(now)
		guard.silentAsOf = lease.Start
	}
	guard.newest = max(guard.newest, revision)
}

// updateCurrent records when the VM's revision was last known to be the head.
func (guard *Guard) updateCurrent() {
	if guard.headKnown && guard.newest <= guard.revision {
		guard.current = true
		guard.currentAsOf = guard.headAsOf
	}
}

// addSilence keeps the most recent silence of each data centre.
func (guard *Guard) addSilence(now timekeeper.Reading, received silence) {
	i := slices.IndexFunc(guard.silences, func(known silence) bool { return known.dataCentre == received.dataCentre })
	if i < 0 {
		guard.silences = append(guard.silences, received)
		return
	}
	if now.MaxElapsed(received.asOf) < now.MaxElapsed(guard.silences[i].asOf) {
		guard.silences[i] = received
	}
}

// TrustLease returns the lease under which keys may be accepted: while it hasn't lapsed,
// the VM's revision is taken to contain every withdrawal except those younger than
// MaxAge. It reports false if there is no such evidence.
func (guard *Guard) TrustLease(now timekeeper.Reading) (timekeeper.Lease, bool) {
	best, found := timekeeper.Lease{Start: guard.currentAsOf, Duration: guard.maxAge()}, guard.current
	if lease, ok := guard.silenceLease(now); ok && (!found || lease.Remaining(now) >= best.Remaining(now)) {
		best, found = lease, true
	}
	return best, found
}

// KeysKnown reports whether keys may be accepted now: TrustLease has a lease that hasn't
// lapsed.
func (guard *Guard) KeysKnown(now timekeeper.Reading) bool {
	lease, ok := guard.TrustLease(now)
	return ok && !lease.Lapsed(now)
}

// silenceLease returns the lease that follows from silence in enough data centres. It
// reports false if there are too few. Silences that came after the VM learned of a newer
// revision than its own don't count.
func (guard *Guard) silenceLease(now timekeeper.Reading) (timekeeper.Lease, bool) {
	if guard.newest > guard.revision {
		return timekeeper.Lease{Start: guard.silentAsOf, Duration: guard.maxAge()}, guard.silent
	}
	if len(guard.silences) < minSilentDataCentres {
		return timekeeper.Lease{}, false
	}
	slices.SortFunc(guard.silences, func(a, b silence) int {
		return cmp.Compare(now.MaxElapsed(a.asOf), now.MaxElapsed(b.asOf))
	})
	return timekeeper.Lease{Start: guard.silences[minSilentDataCentres-1].asOf, Duration: guard.maxAge()}, true
}

// Evidence returns the evidence to send to other VMs now.
func (guard *Guard) Evidence(now timekeeper.Reading) Evidence {
	evidence := Evidence{Newest: guard.newest}
	retention := retentionFactor * guard.maxAge()
	if guard.headKnown && now.MaxElapsed(guard.headAsOf) <= retention {
		evidence.HeadKnown = true
		evidence.HeadAge = now.MaxElapsed(guard.headAsOf)
	}
	guard.silences = slices.DeleteFunc(guard.silences, func(known silence) bool { return now.MaxElapsed(known.asOf) > retention })
	for _, known := range guard.silences {
		evidence.Silences = append(evidence.Silences, Silence{known.dataCentre, now.MaxElapsed(known.asOf)})
	}
	slices.SortFunc(evidence.Silences, func(a, b Silence) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return evidence
}

// WorthSending reports whether this VM's evidence is worth sending to a VM that has the
// given evidence.
func (guard *Guard) WorthSending(now timekeeper.Reading, other Evidence) bool {
	own, gap := guard.Evidence(now), guard.maxAge()/gapDivisor
	if own.HeadKnown && own.HeadAge <= guard.maxAge() && !(other.HeadKnown && other.HeadAge <= own.HeadAge+gap) {
		return true
	}
	return slices.ContainsFunc(own.Silences, func(known Silence) bool {
		return known.Age <= guard.maxAge() && !slices.ContainsFunc(other.Silences, func(theirs Silence) bool {
			return theirs.DataCentre == known.DataCentre && theirs.Age <= known.Age+gap
		})
	})
}
