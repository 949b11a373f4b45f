// Package guard decides whether a VM can know of withdrawn keys.
//
// A VM that hears no store can't tell an outage for all from its own
// isolation. The guard collects evidence about the store, the VM's own and
// that of other VMs, and trusts keys only while the evidence is fresh:
//
//   - a read of the head that is not newer than the VM's own revision, or
//   - silence: VMs beside the store, in at least two data centres, that get no
//     answer and hold no newer revision.
//
// Evidence travels with its age. A VM takes the age to be the stated one plus
// the time since it sent the request that brought the evidence, so that an age
// never falls short and no clocks need to agree.
//
// # Usage
//
//	guard := &guard.Guard{}
//	guard.Read(sent, now, head)         // the store answered this VM
//	guard.Hear(sent, now, evidence)     // a peer answered
//	guard.Advance(revision)             // a revision is in force
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
	// DefaultLimit is the age up to which evidence counts.
	DefaultLimit = 3 * time.Second
	// quietDataCentres is the number of data centres whose VMs must find the store
	// silent.
	quietDataCentres = 2
	// helpFraction of the limit is by how much evidence must be younger than
	// another VM's to be worth a call of its own.
	helpFraction = 3
	// keepFactor times the limit is how long old evidence is passed on.
	keepFactor = 2
)

// Silence says that VMs beside the store in a data centre get no answer from
// it.
type Silence struct {
	DataCentre string
	Age        time.Duration
}

// Evidence is what a VM tells others about the store.
type Evidence struct {
	// Newest is the newest revision that the VM has heard of. It covers every
	// revision known to the VMs whose silence is passed on.
	Newest uint64
	// HeadKnown is true if no newer revision was recorded as of HeadAge ago.
	HeadKnown bool
	HeadAge   time.Duration
	Silences  []Silence
}

// silence is a Silence as of an instant on this VM's clocks.
type silence struct {
	dataCentre string
	asOf       timekeeper.Reading
}

// Guard holds the evidence of one VM. It isn't safe for concurrent use.
type Guard struct {
	// Limit is the age up to which evidence counts; DefaultLimit if zero.
	Limit time.Duration

	revision uint64
	// newest is the newest revision that the VM has heard of.
	newest uint64
	// headAsOf is when newest was last known to be the head.
	headKnown bool
	headAsOf  timekeeper.Reading
	// currentAsOf is when the VM's revision was last known to be the head.
	current     bool
	currentAsOf timekeeper.Reading
	silences    []silence
}

func (guard *Guard) limit() time.Duration {
	if guard.Limit > 0 {
		return guard.Limit
	}
	return DefaultLimit
}

// Read adds the VM's own read of the head, sent at an instant and answered by
// now.
func (guard *Guard) Read(sent, now timekeeper.Reading, head uint64) {
	guard.addHead(sent, now, head)
}

// Hear adds the evidence in a peer's answer to a request sent at an instant.
func (guard *Guard) Hear(sent, now timekeeper.Reading, evidence Evidence) {
	guard.newest = max(guard.newest, evidence.Newest)
	if evidence.HeadKnown && evidence.HeadAge >= 0 {
		guard.addHead(sent.Add(-evidence.HeadAge), now, evidence.Newest)
	}
	for _, heard := range evidence.Silences {
		if heard.Age >= 0 {
			guard.addSilence(now, silence{heard.DataCentre, sent.Add(-heard.Age)})
		}
	}
}

// Silent adds that this VM, which stands beside the store in a data centre,
// gets no answer.
func (guard *Guard) Silent(now timekeeper.Reading, dataCentre string) {
	guard.addSilence(now, silence{dataCentre, now})
}

// Advance says which revision is in force on this VM.
func (guard *Guard) Advance(revision uint64) {
	guard.revision = max(guard.revision, revision)
	guard.newest = max(guard.newest, revision)
	guard.settle()
}

// addHead merges a read of the head. The head only rises, so that the higher
// of two heads was read after the lower one and is at least as fresh.
func (guard *Guard) addHead(asOf, now timekeeper.Reading, head uint64) {
	if !guard.headKnown || now.Longest(asOf) < now.Longest(guard.headAsOf) {
		guard.headAsOf = asOf
	}
	guard.newest = max(guard.newest, head)
	guard.headKnown = true
	guard.settle()
}

func (guard *Guard) settle() {
	if guard.headKnown && guard.newest <= guard.revision {
		guard.current = true
		guard.currentAsOf = guard.headAsOf
	}
}

// addSilence keeps the youngest silence of each data centre.
func (guard *Guard) addSilence(now timekeeper.Reading, heard silence) {
	i := slices.IndexFunc(guard.silences, func(known silence) bool { return known.dataCentre == heard.dataCentre })
	if i < 0 {
		guard.silences = append(guard.silences, heard)
		return
	}
	if now.Longest(heard.asOf) < now.Longest(guard.silences[i].asOf) {
		guard.silences[i] = heard
	}
}

// Trust returns the lease under which the VM's revision may be taken to hold
// every withdrawal but for those of the last moments. It reports false if
// there never was any evidence.
func (guard *Guard) Trust(now timekeeper.Reading) (timekeeper.Lease, bool) {
	current := timekeeper.Lease{Start: guard.currentAsOf, Length: guard.limit()}
	quiet, ok := guard.quiet(now)
	switch {
	case !ok:
		return current, guard.current
	case guard.current && current.Left(now) > quiet.Left(now):
		return current, true
	default:
		return quiet, true
	}
}

// KeysKnown reports whether there is a lease that has not lapsed.
func (guard *Guard) KeysKnown(now timekeeper.Reading) bool {
	lease, ok := guard.Trust(now)
	return ok && !lease.Lapsed(now)
}

// quiet returns the lease during which the store is silent in enough data
// centres, unless the VM knows that it is behind.
func (guard *Guard) quiet(now timekeeper.Reading) (timekeeper.Lease, bool) {
	if guard.newest > guard.revision || len(guard.silences) < quietDataCentres {
		return timekeeper.Lease{}, false
	}
	slices.SortFunc(guard.silences, func(a, b silence) int {
		return cmp.Compare(now.Longest(a.asOf), now.Longest(b.asOf))
	})
	return timekeeper.Lease{Start: guard.silences[quietDataCentres-1].asOf, Length: guard.limit()}, true
}

// Evidence returns what other VMs may be told now.
func (guard *Guard) Evidence(now timekeeper.Reading) Evidence {
	evidence := Evidence{Newest: guard.newest}
	keep := keepFactor * guard.limit()
	if guard.headKnown && now.Longest(guard.headAsOf) <= keep {
		evidence.HeadKnown = true
		evidence.HeadAge = now.Longest(guard.headAsOf)
	}
	guard.silences = slices.DeleteFunc(guard.silences, func(known silence) bool { return now.Longest(known.asOf) > keep })
	for _, known := range guard.silences {
		evidence.Silences = append(evidence.Silences, Silence{known.dataCentre, now.Longest(known.asOf)})
	}
	slices.SortFunc(evidence.Silences, func(a, b Silence) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return evidence
}

// Helps reports whether this VM's evidence is worth telling a VM that has the
// given evidence.
func (guard *Guard) Helps(now timekeeper.Reading, other Evidence) bool {
	own, gap := guard.Evidence(now), guard.limit()/helpFraction
	if own.HeadKnown && own.HeadAge <= guard.limit() && !(other.HeadKnown && other.HeadAge <= own.HeadAge+gap) {
		return true
	}
	return slices.ContainsFunc(own.Silences, func(known Silence) bool {
		return known.Age <= guard.limit() && !slices.ContainsFunc(other.Silences, func(theirs Silence) bool {
			return theirs.DataCentre == known.DataCentre && theirs.Age <= known.Age+gap
		})
	})
}
