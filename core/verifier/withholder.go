package verifier

import (
	"maps"
	"slices"
	"time"
)

// Origin is a version of the configuration, and the era of the store in which a VM read it
// first.
type Origin struct {
	Version uint64
	Era     uint64
}

// Withholder decides whether a VM may not use its configuration, because the store has lost
// a newer one: it was restored from an older copy in which, for instance, a withdrawn key
// works again. The VM knows this from a peer that still holds the newer one. It may use its
// own as if it had heard of the newer one and couldn't read it, until the operator has
// written one at least as new.
//
// The zero value is ready to use. It isn't safe for concurrent use.
type Withholder struct {
	// own is the configuration in force and the era in which the store was read last; its
	// version is 0 before the first one.
	own Origin
	// eraBefore is the era before that, and asOfBefore the time up to which the configuration
	// was known to be the newest when it ended. There is none if startedInEra is true.
	eraBefore    uint64
	asOfBefore   time.Duration
	startedInEra bool
	// peers are the newest versions in force on peers, by the era in which they were read.
	peers map[uint64]uint64
	// required is the version that the store has lost, 0 if none is known, requiredEra the era in
	// which a VM read it, and asOf the limit of AsOf.
	required, requiredEra uint64
	asOf                  time.Duration
}

// RecordReading records the version in force after the store was read in an era, and the time
// up to which the version before was known to be the newest before that.
func (withholder *Withholder) RecordReading(inForce, era uint64, asOf time.Duration) {
	switch {
	case withholder.own.Version == 0:
		withholder.startedInEra = true
	case era > withholder.own.Era:
		withholder.startedInEra = false
		withholder.eraBefore, withholder.asOfBefore = withholder.own.Era, asOf
	}
	withholder.own = Origin{Version: inForce, Era: era}
	if withholder.required <= inForce {
		withholder.required = 0
	}
	withholder.update()
}

// RecordPeer records what a peer has in force.
func (withholder *Withholder) RecordPeer(peer Origin) {
	if withholder.peers == nil {
		withholder.peers = make(map[uint64]uint64)
	}
	withholder.peers[peer.Era] = max(withholder.peers[peer.Era], peer.Version)
	if len(withholder.peers) > maxEras {
		delete(withholder.peers, slices.Min(slices.Collect(maps.Keys(withholder.peers))))
	}
	withholder.update()
}

// maxEras is the number of eras that are told apart.
const maxEras = 8

// update withholds the configuration if a peer has read a newer one in an era that has ended.
// One that was read in the present era is on its way to this VM.
func (withholder *Withholder) update() {
	own := withholder.own
	if own.Version == 0 {
		return
	}
	for _, era := range slices.Sorted(maps.Keys(withholder.peers)) {
		version := withholder.peers[era]
		if version <= max(own.Version, withholder.required) || era >= own.Era {
			continue
		}
		asOf := withholder.asOfBefore
		if withholder.startedInEra || era < withholder.eraBefore {
			asOf = -unknownAge
		}
		if withholder.required == 0 || asOf < withholder.asOf {
			withholder.asOf = asOf
		}
		withholder.required, withholder.requiredEra = version, era
	}
}

// unknownAge is the age of a configuration that was never known to be the newest.
const unknownAge = time.Hour

// Required returns the version that the configuration must have at least, 0 if the present
// one may be used.
func (withholder *Withholder) Required() uint64 { return withholder.required }

// Newest returns the version that others must be told of, given the one in force: one that the
// store has lost, else the newest that any VM has had in force as far as this VM knows.
func (withholder *Withholder) Newest(inForce Origin) Origin {
	if withholder.required > inForce.Version {
		return Origin{Version: withholder.required, Era: withholder.requiredEra}
	}
	newest := inForce
	for era, version := range withholder.peers {
		if version > newest.Version {
			newest = Origin{Version: version, Era: era}
		}
	}
	return newest
}

// AsOf returns the time up to which the configuration that is withheld was the newest.
func (withholder *Withholder) AsOf() time.Duration { return withholder.asOf }
