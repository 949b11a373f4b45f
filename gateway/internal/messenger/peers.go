package messenger

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"godwitramp.example/core/delegator"
	"godwitramp.example/core/placer"
	"godwitramp.example/core/spreader"
	"godwitramp.example/core/throttler"
)

// MaxGroup limits the VMs of a group, so that the datagrams of a VM don't grow with the
// fleet.
const MaxGroup = 16

// maxContacts limits the contacts that a VM keeps per other data centre.
const maxContacts = 16

// AddPeers adds VMs of the fleet, and sends a hello to those of this data centre that were
// unknown.
func (messenger *Messenger) AddPeers(peers []Peer) {
	for _, peer := range peers {
		switch {
		case peer.Name == messenger.Self.Name:
		case peer.DataCentre != messenger.Self.DataCentre:
			messenger.addContact(peer)
		case messenger.add(peer, false):
			messenger.send(peer.Address, messenger.newMessage(true, nil))
		}
	}
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	messenger.introduced = true
}

func (messenger *Messenger) addContact(from Peer) {
	address, err := netip.ParseAddrPort(from.Address)
	if err != nil {
		messenger.Log.WithError(err).WithField("peer", from.Name).Warn("peer-address-malformed")
		return
	}
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	known := slices.DeleteFunc(messenger.contacts[from.DataCentre], func(other netip.AddrPort) bool { return other == address })
	if len(known) >= maxContacts {
		known = known[1:] // the one heard of longest ago is the likeliest to be gone
	}
	messenger.contacts[from.DataCentre] = append(known, address)
}

// addHeard adds a VM, or updates its state, after a message from it.
func (messenger *Messenger) addHeard(from Peer) {
	if messenger.add(from, true) {
		messenger.Log.WithField("peer", from.Name).Info("peer-added")
	}
}

// add adds or updates a VM of the data centre. It returns true if the VM was unknown or had
// another address, or if it was silent and a message from it has arrived (heard).
func (messenger *Messenger) add(from Peer, heard bool) bool {
	address, err := netip.ParseAddrPort(from.Address)
	if err != nil {
		messenger.Log.WithError(err).WithField("peer", from.Name).Warn("peer-address-malformed")
		return false
	}
	messenger.mutex.Lock()
	known := messenger.peers[from.Name]
	changed := known == nil || known.address != address || heard && known.silent
	if known == nil {
		// A new peer counts as reachable until silenceTimeout has passed. Otherwise each
		// start of a VM would look like a network partition of the group.
		known = &peer{lastHeard: messenger.Clock()}
		known.hearing.KnownAt = known.lastHeard
		messenger.peers[from.Name] = known
	}
	known.Peer, known.address = from, address
	if heard {
		known.lastHeard, known.silent = messenger.Clock(), false
		known.hearing.Heard(known.lastHeard)
	}
	if changed {
		messenger.regroup()
	}
	messenger.mutex.Unlock()
	if changed && messenger.OnGroupChange != nil {
		messenger.OnGroupChange()
	}
	return changed
}

func (messenger *Messenger) remove(name string) {
	messenger.mutex.Lock()
	known := messenger.peers[name]
	if known != nil {
		delete(messenger.behind, known.address)
	}
	delete(messenger.peers, name)
	messenger.regroup()
	messenger.mutex.Unlock()
	if known == nil {
		return
	}
	messenger.Log.WithField("peer", name).Info("peer-left")
	if messenger.OnGroupChange != nil {
		messenger.OnGroupChange()
	}
}

// recordClaims records that claims of a VM have been handled.
func (messenger *Messenger) recordClaims(name string) {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	if known := messenger.peers[name]; known != nil {
		known.claimed = true
	}
}

// Introduced reports whether AddPeers was called, so that the VMs of the fleet are known.
func (messenger *Messenger) Introduced() bool {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	return messenger.introduced
}

// ClaimsKnown reports whether there was a time, after the first call of AddPeers, at which claims of all VMs of
// the group had come that were not silent.
func (messenger *Messenger) ClaimsKnown() bool {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	if !messenger.claimsKnown && messenger.introduced {
		messenger.claimsKnown = !slices.ContainsFunc(messenger.group, func(peer *peer) bool { return !peer.claimed && !peer.silent })
	}
	return messenger.claimsKnown
}

// detectSilence marks the peers of the group from which no message came for
// silenceTimeout.
func (messenger *Messenger) detectSilence() {
	now := messenger.Clock()
	var silent []string
	messenger.mutex.Lock()
	for _, peer := range messenger.group {
		if !peer.silent && now-peer.lastHeard > silenceTimeout {
			peer.silent = true
			silent = append(silent, peer.Name)
		}
	}
	messenger.mutex.Unlock()
	for _, name := range silent {
		messenger.Log.WithField("peer", name).Warn("peer-silent")
	}
	if len(silent) > 0 && messenger.OnGroupChange != nil {
		messenger.OnGroupChange()
	}
}

// regroup divides the VMs of the data centre, in the order of their names, into groups of
// nearly equal size. The caller holds the mutex.
func (messenger *Messenger) regroup() {
	names := []string{messenger.Self.Name}
	for name := range messenger.peers {
		names = append(names, name)
	}
	slices.SortFunc(names, strings.Compare)
	messenger.dataCentreSize = len(names)
	groups := (len(names) + MaxGroup - 1) / MaxGroup
	messenger.groups = make([][]*peer, groups)
	for i, name := range names {
		position := groupOf(i, len(names), groups)
		if name == messenger.Self.Name {
			messenger.position = position
			continue
		}
		messenger.groups[position] = append(messenger.groups[position], messenger.peers[name])
	}
	messenger.group = messenger.groups[messenger.position]
}

func groupOf(index, members, groups int) int { return index * groups / members }

// Share is the share of the data centre's rates that this VM may spend.
type Share struct {
	// Group is the fraction of the data centre's VMs that are in this VM's group, from 0 to 1.
	Group float64
	// Reachable is the fraction of the group's VMs that are not silent, this VM included,
	// from 0 to 1.
	Reachable float64
	// VMs is the number of known VMs in the data centre, including this one.
	VMs int
	// Position is the position of the group among the Groups of the data centre.
	Position, Groups int
}

// Share returns the current share of this VM.
func (messenger *Messenger) Share() Share {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	reachable := 1
	for _, peer := range messenger.group {
		if !peer.silent {
			reachable++
		}
	}
	members := len(messenger.group) + 1
	return Share{
		Group: float64(members) / float64(messenger.dataCentreSize), Reachable: float64(reachable) / float64(members), VMs: messenger.dataCentreSize,
		Position: messenger.position, Groups: len(messenger.groups),
	}
}

// Belief returns what this VM has reason to believe about its group, given the time from which lost
// messages count.
func (messenger *Messenger) Belief(since, now time.Duration) throttler.Belief {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	beliefs := throttler.Beliefs{Since: since, Now: now}
	for _, peer := range messenger.group {
		beliefs.Add(&peer.hearing)
	}
	return beliefs.Belief()
}

// askInterval is the shortest time after which a VM is asked again for a message.
const askInterval = 100 * time.Millisecond

// AskGroup asks the VMs of the group that were not heard lately for a message, as their tokens are withheld
// until then. It reports whether there are any.
func (messenger *Messenger) AskGroup() bool {
	now := messenger.Clock()
	var stale []netip.AddrPort
	messenger.mutex.Lock()
	for _, peer := range messenger.group {
		if peer.hearing.Stale(now) && (peer.askedAt == 0 || now-peer.askedAt >= askInterval) {
			peer.askedAt = now
			stale = append(stale, peer.address)
		}
	}
	messenger.mutex.Unlock()
	if len(stale) > 0 {
		messenger.sendAll(stale, messenger.newMessage(true, nil))
	}
	return len(stale) > 0
}

// ProbeFilter returns a function that reports whether this VM is the one of its group that probes a target.
func (messenger *Messenger) ProbeFilter() func(target string) bool {
	now := messenger.Clock()
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	others := make([]placer.Member, 0, len(messenger.group))
	for _, peer := range messenger.group {
		others = append(others, placer.Member{Name: peer.Name, Silent: peer.hearing.Missed(now)})
	}
	return func(target string) bool { return placer.Probes(target, messenger.Self.Name, others) }
}

func (messenger *Messenger) setStoreUnreachable(name string, unreachable bool) {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	if peer := messenger.peers[name]; peer != nil {
		peer.storeUnreachable = unreachable
	}
}

// Rank returns the VM's rank, from 0, among the VMs of its data centre that poll the store:
// by name in the first group, among the VMs that are not silent and that the store answers.
// The VMs of another group follow after the first VM of the first group, at the same time as
// the others of that group.
func (messenger *Messenger) Rank() int {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	rank := min(1, messenger.position)
	for _, peer := range messenger.group {
		if !peer.silent && !peer.storeUnreachable && peer.Name < messenger.Self.Name {
			rank++
		}
	}
	return rank
}

// FirstInGroup reports whether this VM is the first of its group, by name, among the VMs that
// are not silent and that the store answers.
func (messenger *Messenger) FirstInGroup() bool {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	return !slices.ContainsFunc(messenger.group, func(peer *peer) bool {
		return !peer.silent && !peer.storeUnreachable && peer.Name < messenger.Self.Name
	})
}

// Group returns the other VMs of the group, silent ones included.
func (messenger *Messenger) Group() []Peer {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	var peers []Peer
	for _, peer := range messenger.group {
		peers = append(peers, peer.Peer)
	}
	return peers
}

// InGroup reports whether the named VM belongs to this VM's group.
func (messenger *Messenger) InGroup(name string) bool {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	return slices.ContainsFunc(messenger.group, func(peer *peer) bool { return peer.Name == name })
}

// The numbers of candidates from the VM's own data centre and from each other one.
const (
	nearCandidates = 8
	farCandidates  = 2
)

// Candidates returns some random VMs to which requests may be passed on, without those of the group
// that are silent.
func (messenger *Messenger) Candidates() []delegator.Candidate {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	own := messenger.Regions[messenger.Self.DataCentre]
	var candidates []delegator.Candidate
	for _, peer := range messenger.peers { // Go begins at a random one
		if len(candidates) < nearCandidates && !peer.silent {
			candidates = append(candidates, delegator.Candidate{Address: peer.address.String(), Region: own, Distance: delegator.SameDataCentre})
		}
	}
	for dataCentre, contacts := range messenger.contacts {
		region, distance := messenger.Regions[dataCentre], delegator.OtherRegion
		if region == own {
			distance = delegator.SameRegion
		}
		for _, i := range rand.Perm(len(contacts))[:min(farCandidates, len(contacts))] {
			candidates = append(candidates, delegator.Candidate{Address: contacts[i].String(), Region: region, Distance: distance})
		}
	}
	return candidates
}

func (messenger *Messenger) groupAddresses() []netip.AddrPort {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	addresses := make([]netip.AddrPort, 0, len(messenger.group))
	for _, peer := range messenger.group {
		addresses = append(addresses, peer.address)
	}
	return addresses
}

// allGroups covers every group of a data centre, however many it has.
var allGroups = spreader.Part{End: math.MaxInt32}

// relay is a VM of another group that also covers the groups of a part.
type relay struct {
	address netip.AddrPort
	part    spreader.Part
}

// relays returns a random VM for each part into which a part of the groups is split.
func (messenger *Messenger) relays(part spreader.Part) []relay {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	var relays []relay
	for _, part := range spreader.Split(part.Clamp(len(messenger.groups)), messenger.position) {
		if group := messenger.groups[part.First]; len(group) > 0 {
			relays = append(relays, relay{address: group[rand.IntN(len(group))].address, part: part.Rest()})
		}
	}
	return relays
}

// contactAddresses returns the address of one random VM of each other data centre.
func (messenger *Messenger) contactAddresses() []netip.AddrPort {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	var addresses []netip.AddrPort
	for _, contacts := range messenger.contacts {
		addresses = append(addresses, contacts[rand.IntN(len(contacts))])
	}
	return addresses
}
