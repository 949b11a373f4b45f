// Package watcher maintains the membership of the fleet: which VMs exist and
// which of them are alive.
//
// It is a gossip protocol with failure detection in the manner of SWIM. Each VM
// calls a fixed number of neighbours per period, independent of the size of the
// fleet, and gossips recent changes of membership with each call. A VM whose
// neighbour does not answer gossips a suspicion. The suspected VM refutes it as
// soon as it learns of it by any path; without a refutation before the timeout
// it is declared dead. An answered call proves that both directions between two
// VMs work. A VM that calls this one but can't be called is reported as one-way.
//
// The package does no I/O: its user makes the calls and passes in the time
// since an arbitrary start.
//
// # Usage
//
//	watcher := watcher.New(self)
//	watcher.SetCandidates(peersFromList)
//	for _, peer := range watcher.PeersToCall(now, random) {
//		reply, err := call(peer, watcher.Message(peer))
//		if err != nil {
//			watcher.CallFailed(peer, now)
//			continue
//		}
//		watcher.HandleAnswer(peer, reply, now)
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

// Peer describes a VM of the fleet to other VMs.
type Peer struct {
	// Name is unique in the fleet.
	Name       string
	Region     string
	DataCentre string
	// Address is where the VM accepts calls from other VMs.
	Address string
	// Incarnation rises with each start of the VM's process, and when the VM
	// learns of a record about itself with a higher one.
	Incarnation uint64
	// BesideStore is true for VMs in the region of the table service.
	BesideStore bool
}

// Members lists the VMs that can be called.
type Members interface {
	// Self returns this VM.
	Self() Peer
	// Live returns the other VMs that are not declared dead or left, sorted by
	// name, without those to which this VM's latest calls have failed. The
	// result must not be modified.
	Live() []Peer
}

// Timing and failure detection.
const (
	// Period is the time between two calls to the same neighbour.
	Period = time.Second
	// failuresToSuspect is the number of consecutive failed calls after which a
	// VM is suspected.
	failuresToSuspect = 2
	// suspicionTimeout is how long a suspected VM has to refute the suspicion.
	suspicionTimeout = 4 * time.Second
	// leftRetention is how long the tombstone of a VM that has left is kept, so
	// that late messages don't add the VM again.
	leftRetention = 10 * time.Minute
	// deadRetention is how long a VM declared dead is kept and probed, since it
	// may only be behind a network partition.
	deadRetention = 24 * time.Hour
	// probePeriod is the time between probes of VMs that are not known to be alive.
	probePeriod = 5 * time.Second
	// inboundWindow is how long after its last call a VM counts as able to call
	// this one.
	inboundWindow = 10 * Period
)

// member is the record of a VM with this VM's own observations of it.
type member struct {
	record Record
	// changedAt is when the record last changed.
	changedAt time.Duration
	// failures counts this VM's consecutive failed calls to the member.
	failures int
	// lastCall is when the member last called this VM; 0 if never.
	lastCall time.Duration
}

// Watcher is one VM's view of the membership. It isn't safe for concurrent use.
type Watcher struct {
	self       Record
	members    map[string]*member
	candidates map[string]Peer
	queue      rumorQueue
	digest     Digest
	buckets    [bucketCount]Digest
	// diverged has the peers whose tables differ, so that the next call sends
	// the bucket digests. pendingSync has the records from differing buckets
	// that the next call to a peer sends.
	diverged    map[string]bool
	pendingSync map[string][]Record
	lastProbe   time.Duration
	neighbours  []Peer
	live        []Peer
	stale       bool
}

// New returns a view that contains only the VM itself.
func New(self Peer) *Watcher {
	watcher := &Watcher{
		self: Record{Peer: self}, members: make(map[string]*member), candidates: make(map[string]Peer),
		diverged: make(map[string]bool), pendingSync: make(map[string][]Record), stale: true,
	}
	watcher.updateDigests(watcher.self, 1)
	return watcher
}

// Self returns this VM.
func (watcher *Watcher) Self() Peer { return watcher.self.Peer }

// Record returns the newest known record of a VM, and false if there is none.
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

// Live returns the other VMs that can be called; see Members.
func (watcher *Watcher) Live() []Peer {
	watcher.refresh()
	return watcher.live
}

// OneWay returns the VMs that have called this one within inboundWindow but
// can't be called from here, sorted by name.
func (watcher *Watcher) OneWay(now time.Duration) []Peer {
	var found []Peer
	for _, known := range watcher.members {
		inbound := known.lastCall > 0 && now-known.lastCall < inboundWindow
		if inbound && known.failures >= failuresToSuspect {
			found = append(found, known.record.Peer)
		}
	}
	slices.SortFunc(found, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return found
}

// SetCandidates replaces the VMs that may exist according to a list outside the
// protocol, which may be wrong. Those that aren't known members are probed.
func (watcher *Watcher) SetCandidates(peers []Peer) {
	clear(watcher.candidates)
	for _, peer := range peers {
		if peer.Name != watcher.self.Peer.Name {
			watcher.candidates[peer.Name] = peer
		}
	}
}

// refresh recomputes the live VMs and the neighbours if the members changed.
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

// PeersToCall returns the VMs to call in this period: the neighbours and, once
// per probePeriod or whenever there are no neighbours, one VM that is not known
// to be alive.
func (watcher *Watcher) PeersToCall(now time.Duration, random *rand.Rand) []Peer {
	peers := watcher.Neighbours()
	if len(peers) > 0 && now-watcher.lastProbe < probePeriod {
		return peers
	}
	watcher.lastProbe = now
	unreachable := watcher.unreachable()
	if len(unreachable) > 0 {
		peers = append(peers, unreachable[random.IntN(len(unreachable))])
	}
	return peers
}

// unreachable returns the VMs that may exist but are not known to be alive and
// callable, sorted by name.
func (watcher *Watcher) unreachable() []Peer {
	found := make(map[string]Peer)
	for name, known := range watcher.members {
		lost := !known.record.usable() || known.failures >= failuresToSuspect
		if lost && known.record.Status != Left {
			found[name] = known.record.Peer
		}
	}
	for name, peer := range watcher.candidates {
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

// Leave marks this VM as leaving; the next messages gossip it.
func (watcher *Watcher) Leave() {
	next := watcher.self
	next.Version++
	next.Status = Left
	watcher.setSelf(next)
}

// CallFailed records a call that was not answered, and suspects the peer after
// failuresToSuspect of them in a row.
func (watcher *Watcher) CallFailed(peer Peer, now time.Duration) {
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
		watcher.merge(suspected, now, true)
	}
}

// Tick declares suspects dead after suspicionTimeout and removes VMs that have
// been dead or left for long enough.
func (watcher *Watcher) Tick(now time.Duration) {
	for name, known := range watcher.members {
		age := now - known.changedAt
		switch {
		case known.record.Status == Suspect && age >= suspicionTimeout:
			dead := known.record
			dead.Status = Dead
			watcher.merge(dead, now, true)
		case known.record.Status == Left && age >= leftRetention, known.record.Status == Dead && age >= deadRetention:
			watcher.updateDigests(known.record, -1)
			delete(watcher.members, name)
		}
	}
}

// merge stores a record if it is newer than the known one, and gossips it
// further if gossip is true. A record about this VM is refuted instead if needed.
func (watcher *Watcher) merge(record Record, now time.Duration, gossip bool) {
	if record.Peer.Name == watcher.self.Peer.Name {
		watcher.refute(record)
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
		watcher.updateDigests(known.record, -1)
	}
	if record.Peer.Incarnation != known.record.Peer.Incarnation {
		known.failures = 0
	}
	known.record = record
	known.changedAt = now
	watcher.updateDigests(record, 1)
	if gossip {
		watcher.queue.add(record, len(watcher.members))
	}
	watcher.stale = true
}

// refute answers a record about this VM that is newer than its own, from a
// suspicion or an earlier process, with a record that is newer still.
func (watcher *Watcher) refute(record Record) {
	if record.compare(watcher.self) <= 0 {
		return
	}
	next := watcher.self
	next.Peer.Incarnation = max(next.Peer.Incarnation, record.Peer.Incarnation)
	next.Version = max(next.Version, record.Version) + 1
	watcher.setSelf(next)
}

func (watcher *Watcher) setSelf(next Record) {
	watcher.updateDigests(watcher.self, -1)
	watcher.self = next
	watcher.updateDigests(next, 1)
	watcher.queue.add(next, len(watcher.members))
	watcher.stale = true
}

// updateDigests adds a record to the digests, or removes it if sign is negative.
// Dead VMs and those that left are not included, because VMs drop their
// tombstones at different times.
func (watcher *Watcher) updateDigests(record Record, sign int) {
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
