package messenger

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
)

// MaxGroup bounds the VMs that share a rate, and so the datagrams of a VM.
const MaxGroup = 16

// maxContacts bounds the VMs of another data centre that a VM knows.
const maxContacts = 16

// AddPeers takes VMs of the fleet in, and greets those of the data centre that were
// not known.
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
}

func (messenger *Messenger) addContact(from Peer) {
	address, err := netip.ParseAddrPort(from.Address)
	if err != nil {
		messenger.Log.WithError(err).WithField("peer", from.Name).Warn("peer-address-malformed")
		return
	}
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	if known := messenger.contacts[from.DataCentre]; len(known) < maxContacts {
		messenger.contacts[from.DataCentre] = append(known, address)
	}
}

// addHeard takes event of a VM that has just spoken.
func (messenger *Messenger) addHeard(from Peer) {
	if messenger.add(from, true) {
		messenger.Log.WithField("peer", from.Name).Info("peer-heard")
	}
}

// add reports whether the VM was not known at its address, or not heard.
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
		// Until it has had the time to speak it counts as heard, or each start
		// would look like a division of the group.
		known = &peer{lastHeard: messenger.Clock()}
		messenger.peers[from.Name] = known
	}
	known.Peer, known.address = from, address
	if heard {
		known.lastHeard, known.silent = messenger.Clock(), false
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
	_, known := messenger.peers[name]
	delete(messenger.peers, name)
	messenger.regroup()
	messenger.mutex.Unlock()
	if !known {
		return
	}
	messenger.Log.WithField("peer", name).Info("peer-left")
	if messenger.OnGroupChange != nil {
		messenger.OnGroupChange()
	}
}

// detectSilence finds the VMs of the group that are no longer heard.
func (messenger *Messenger) detectSilence() {
	now := messenger.Clock()
	var lost []string
	messenger.mutex.Lock()
	for _, peer := range messenger.group {
		if !peer.silent && now-peer.lastHeard > silenceTimeout {
			peer.silent = true
			lost = append(lost, peer.Name)
		}
	}
	messenger.mutex.Unlock()
	for _, name := range lost {
		messenger.Log.WithField("peer", name).Warn("peer-silent")
	}
	if len(lost) > 0 && messenger.OnGroupChange != nil {
		messenger.OnGroupChange()
	}
}

// regroup deals the VMs of the data centre, in the order of their names, to
// groups of nearly equal size. The mutex is held.
func (messenger *Messenger) regroup() {
	names := []string{messenger.Self.Name}
	for name := range messenger.peers {
		names = append(names, name)
	}
	slices.SortFunc(names, strings.Compare)
	messenger.dataCentreSize = len(names)
	groups := (len(names) + MaxGroup - 1) / MaxGroup
	own := groupOf(slices.Index(names, messenger.Self.Name), len(names), groups)
	messenger.group = nil
	messenger.otherGroups = make(map[int][]*peer)
	for _, peer := range messenger.peers {
		group := groupOf(slices.Index(names, peer.Name), len(names), groups)
		if group == own {
			messenger.group = append(messenger.group, peer)
		} else {
			messenger.otherGroups[group] = append(messenger.otherGroups[group], peer)
		}
	}
}

func groupOf(index, members, groups int) int { return index * groups / members }

// Share says which part of the data centre's rates the group has, and which
// part of the group this VM hears, itself included.
type Share struct {
	// Group is the part of the data centre, from 0 to 1.
	Group float64
	// Heard is the part of the group, from 0 to 1.
	Heard float64
	// VMs is the number of VMs known in the data centre.
	VMs int
}

// Share returns the present state of the group.
func (messenger *Messenger) Share() Share {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	heard := 1
	for _, peer := range messenger.group {
		if !peer.silent {
			heard++
		}
	}
	members := len(messenger.group) + 1
	return Share{
		Group: float64(members) / float64(messenger.dataCentreSize), Heard: float64(heard) / float64(members), VMs: messenger.dataCentreSize,
	}
}

func (messenger *Messenger) setStoreUnreachable(name string, lost bool) {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	if peer := messenger.peers[name]; peer != nil {
		peer.storeUnreachable = lost
	}
}

// Rank returns the VM's place by name among those of its group that are heard
// and that the store answers, 0 for the first.
func (messenger *Messenger) Rank() int {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	rank := 0
	for _, peer := range messenger.group {
		if !peer.silent && !peer.storeUnreachable && peer.Name < messenger.Self.Name {
			rank++
		}
	}
	return rank
}

// InGroup reports whether the VM shares rates with this one.
func (messenger *Messenger) InGroup(name string) bool {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	return slices.ContainsFunc(messenger.group, func(peer *peer) bool { return peer.Name == name })
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

// relayAddresses returns a VM of each other group of the data centre and of each other
// data centre.
func (messenger *Messenger) relayAddresses() []netip.AddrPort {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	var addresses []netip.AddrPort
	for _, group := range messenger.otherGroups {
		addresses = append(addresses, group[rand.IntN(len(group))].address)
	}
	for _, contacts := range messenger.contacts {
		addresses = append(addresses, contacts[rand.IntN(len(contacts))])
	}
	return addresses
}
