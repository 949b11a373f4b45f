package messenger

import (
	"math/rand/v2"
	"net/netip"
)

// Offer is an event for the VM's own group and for another one.
type Offer struct {
	Event Event
	// DataCentre and Position are those of the other group.
	DataCentre string
	Position   int
}

// sendOffers sends the offers of the group, if this VM is the first in it.
func (messenger *Messenger) sendOffers() {
	if messenger.Offers == nil || !messenger.FirstInGroup() {
		return
	}
	type group struct {
		dataCentre string
		position   int
	}
	var own []Event
	others := make(map[group][]Event)
	for _, offer := range messenger.Offers() {
		own = append(own, offer.Event)
		to := group{offer.DataCentre, offer.Position}
		others[to] = append(others[to], offer.Event)
	}
	if len(own) == 0 {
		return
	}
	messenger.SendToGroup(own...)
	for to, events := range others {
		messenger.sendToOther(to.dataCentre, to.position, events)
	}
}

// sendToOther sends events to another group, through one VM of it, or of its data centre if that is another one than the
// VM's.
func (messenger *Messenger) sendToOther(dataCentre string, position int, events []Event) {
	message := messenger.newMessage(false, events)
	message.Relay = true
	messenger.mutex.Lock()
	var addresses []netip.AddrPort
	if dataCentre == messenger.Self.DataCentre {
		if position >= 0 && position < len(messenger.groups) && position != messenger.position {
			for _, peer := range messenger.groups[position] {
				addresses = append(addresses, peer.address)
			}
		}
	} else {
		message.RelayPart.First, message.RelayPart.End = position, position+1
		addresses = append(addresses, messenger.contacts[dataCentre]...)
	}
	messenger.mutex.Unlock()
	if len(addresses) > 0 {
		messenger.sendAll([]netip.AddrPort{addresses[rand.IntN(len(addresses))]}, message)
	}
}
