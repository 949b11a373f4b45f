// Package watcher knows the VMs of the fleet and which of them are alive.
//
// Each VM calls a fixed number of neighbours in each period, whatever the size
// of the fleet, and tells them what it has heard of others lately. A VM whose
// neighbour does not answer spreads a suspicion; the suspected VM contradicts
// it as soon as it hears of it by any path, and otherwise is taken for dead.
// An answer to a call proves both directions between two VMs. A VM that calls
// but can't be called is known by one direction only.
//
// # Usage
//
//	watcher := watcher.New(self)
//	watcher.Hint(peersFromList)
//	for _, peer := range watcher.Targets(now, random) {
//		reply, err := call(peer, watcher.Message(peer))
//		if err != nil {
//			watcher.Failed(peer, now)
//			continue
//		}
//		watcher.Answered(peer, reply, now)
//	}
//	watcher.Tick(now)
package watcher

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Peer is a VM of the fleet as other VMs know it.
type Peer struct {
	// Name is unique in the fleet.
	Name       string
	Region     string
	DataCentre string
	// Address is where the VM answers the calls of other VMs.
	Address string
	// Incarnation rises with each start of the VM's process.
	Incarnation uint64
	// BesideStore is true for VMs in the region of the table service.
	BesideStore bool
}

// Members gives the VMs that can be called.
type Members interface {
	// Self returns this VM.
	Self() Peer
	// Live returns the other VMs that the fleet believes alive, without those
	// that this VM has failed to call lately, sorted by name. The result must
	// not be changed.
	Live() []Peer
}

// Times of the protocol.
const (
	// Period is the time between two calls to the same neighbour.
	Period = time.Second
	// failuresToSuspect is the number of failed calls in a row after which a
	// VM is suspected.
	failuresToSuspect = 2
	// suspicionLimit is how long a suspected VM may take to contradict.
	suspicionLimit = 4 * time.Second
	// leftLimit is how long a VM that has left stays known, so that late
	// messages don't bring it back.
	leftLimit = 10 * time.Minute
	// deadLimit is how long a VM that is taken for dead is still called now and
	// then, since it may only have been cut off.
	deadLimit = 24 * time.Hour
	// probePeriod is the time between calls to VMs that are not known alive.
	probePeriod = 5 * time.Second
	// heardLimit is how long a call from a VM counts as hearing it.
	heardLimit = 10 * Period
)

// member is a VM with what this VM knows of it at first hand.
type member struct {
	record Record
	// changed is when the record last changed.
	changed time.Duration
	// failures counts this VM's failed calls in a row.
	failures int
	// heard is when the VM last called this one.
	heard time.Duration
}

// Watcher is the membership as one VM knows it. It isn't safe for concurrent
// use.
type Watcher struct {
	self    Record
	members map[string]*member
	hints   map[string]Peer
	rumors  rumors
	digest  Digest
	buckets [bucketCount]Digest
	// differs has the neighbours whose tables differ, so that groups of records
	// are compared; owed has the records that they turned out to lack.
	differs    map[string]bool
	owed       map[string][]Record
	lastProbe  time.Duration
	neighbours []Peer
	live       []Peer
	stale      bool
}

// New returns the membership of a VM that knows itself only.
func New(self Peer) *Watcher {
	watcher := &Watcher{
		self: Record{Peer: self}, members: make(map[string]*member), hints: make(map[string]Peer),
		differs: make(map[string]bool), owed: make(map[string][]Record), stale: true,
	}
	watcher.count(watcher.self, 1)
	return watcher
}

// Self returns this VM.
func (watcher *Watcher) Self() Peer { return watcher.self.Peer }

// Record returns what the fleet believes of a VM.
func (watcher *Watcher) Record(name string) (Record, bool) {
	if name == watcher.self.Peer.Name {
		return watcher.self, true
	}
	known, ok := watcher.members[name]
	if !ok {
		return Record{}, false
	}
	return known.record, true
}

// Live returns the other VMs that can be called, as Members says.
func (watcher *Watcher) Live() []Peer {
	watcher.refresh()
	return watcher.live
}

// OneWay returns the VMs that have called this one lately but can't be called
// from here, sorted by name.
func (watcher *Watcher) OneWay(now time.Duration) []Peer {
	var found []Peer
	for _, known := range watcher.members {
		heard := known.heard > 0 && now-known.heard < heardLimit
		if heard && known.failures >= failuresToSuspect {
			found = append(found, known.record.Peer)
		}
	}
	slices.SortFunc(found, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return found
}

// Hint names VMs that may exist, from a list that may be wrong.
func (watcher *Watcher) Hint(peers []Peer) {
	clear(watcher.hints)
	for _, peer := range peers {
		if peer.Name != watcher.self.Peer.Name {
			watcher.hints[peer.Name] = peer
		}
	}
}

// refresh recomputes what depends on the set of usable members.
func (watcher *Watcher) refresh() {
	if !watcher.stale {
		return
	}
	watcher.stale = false
	usable := []Peer{watcher.self.Peer}
	watcher.live = nil
	for _, known := range watcher.members {
		if !known.record.usable() {
			continue
		}
		usable = append(usable, known.record.Peer)
		if known.failures < failuresToSuspect {
			watcher.live = append(watcher.live, known.record.Peer)
		}
	}
	slices.SortFunc(watcher.live, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	watcher.neighbours = neighbours(usable, watcher.self.Peer)
}

// Neighbours returns the VMs that this VM calls in each period.
func (watcher *Watcher) Neighbours() []Peer {
	watcher.refresh()
	return slices.Clone(watcher.neighbours)
}

// Targets returns the VMs to call in this period: the neighbours, and now and
// then one VM that is not known alive.
func (watcher *Watcher) Targets(now time.Duration, random *rand.Rand) []Peer {
	targets := watcher.Neighbours()
	if len(targets) > 0 && now-watcher.lastProbe < probePeriod {
		return targets
	}
	watcher.lastProbe = now
	absent := watcher.absent()
	if len(absent) > 0 {
		targets = append(targets, absent[random.IntN(len(absent))])
	}
	return targets
}

// absent returns the VMs that may exist but are not known alive and callable.
func (watcher *Watcher) absent() []Peer {
	found := make(map[string]Peer)
	for name, known := range watcher.members {
		lost := !known.record.usable() || known.failures >= failuresToSuspect
		if lost && known.record.Status != Left {
			found[name] = known.record.Peer
		}
	}
	for name, peer := range watcher.hints {
		if known := watcher.members[name]; known == nil || known.record.Status == Left {
			found[name] = peer
		}
	}
	var peers []Peer
	for _, name := range slices.Sorted(maps.Keys(found)) {
		peers = append(peers, found[name])
	}
	return peers
}

// Leave says that this VM stops; the next messages spread it.
func (watcher *Watcher) Leave() {
	next := watcher.self
	next.Version++
	next.Status = Left
	watcher.setSelf(next)
}

// Failed takes note of a call that was not answered.
func (watcher *Watcher) Failed(peer Peer, now time.Duration) {
	known := watcher.members[peer.Name]
	if known == nil {
		return
	}
	known.failures++
	if known.failures != failuresToSuspect {
		return
	}
	watcher.stale = true
	if known.record.Status == Alive {
		suspected := known.record
		suspected.Status = Suspect
		watcher.learn(suspected, now, true)
	}
}

// Tick lets suspicions and tombstones run out.
func (watcher *Watcher) Tick(now time.Duration) {
	for name, known := range watcher.members {
		age := now - known.changed
		switch {
		case known.record.Status == Suspect && age >= suspicionLimit:
			dead := known.record
			dead.Status = Dead
			watcher.learn(dead, now, true)
		case known.record.Status == Left && age >= leftLimit, known.record.Status == Dead && age >= deadLimit:
			watcher.count(known.record, -1)
			delete(watcher.members, name)
		}
	}
}

// learn takes in a record if it is newer than what is known, and passes it on
// if it is news.
func (watcher *Watcher) learn(record Record, now time.Duration, news bool) {
	if record.Peer.Name == watcher.self.Peer.Name {
		watcher.contradict(record)
		return
	}
	known := watcher.members[record.Peer.Name]
	if known == nil {
		if !record.usable() {
			return
		}
		known = &member{}
		watcher.members[record.Peer.Name] = known
	} else {
		if record.compare(known.record) <= 0 {
			return
		}
		watcher.count(known.record, -1)
	}
	if record.Peer.Incarnation != known.record.Peer.Incarnation {
		known.failures = 0
	}
	known.record = record
	known.changed = now
	watcher.count(record, 1)
	if news {
		watcher.rumors.add(record, len(watcher.members))
	}
	watcher.stale = true
}

// contradict answers a record about this VM that is not true.
func (watcher *Watcher) contradict(record Record) {
	if record.compare(watcher.self) <= 0 {
		return
	}
	next := watcher.self
	next.Peer.Incarnation = max(next.Peer.Incarnation, record.Peer.Incarnation)
	next.Version = max(next.Version, record.Version) + 1
	watcher.setSelf(next)
}

func (watcher *Watcher) setSelf(next Record) {
	watcher.count(watcher.self, -1)
	watcher.self = next
	watcher.count(next, 1)
	watcher.rumors.add(next, len(watcher.members))
	watcher.stale = true
}

// count adds a record to the digests or takes it out. VMs that have ended
// don't count, because their tombstones run out at different times.
func (watcher *Watcher) count(record Record, sign int) {
	if !record.usable() {
		return
	}
	digest := record.digest()
	if sign < 0 {
		digest = -digest
	}
	watcher.digest += digest
	watcher.buckets[bucketOf(record.Peer.Name)] += digest
}
