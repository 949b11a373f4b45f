package messenger

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"godwitramp.example/core/throttler"
)

// ask asks the receiver for tokens of an organisation.
type ask struct {
	// ID is a random number that the answer repeats.
	ID           uint64
	Organisation string
	Tokens       float64
}

// grant answers an ask. The lender has taken the tokens from its group's bucket.
type grant struct {
	ID     uint64
	Tokens float64
}

// pendingAsk is an ask without an answer.
type pendingAsk struct {
	organisation string
	expires      time.Duration
}

// maxAnswerTime is the time after which an answer to an ask no longer counts. It is far
// longer than an answer takes; one that comes later was held up, for instance while one of
// the VMs was suspended.
const maxAnswerTime = time.Second

// AskForTokens asks groups within the scope for tokens of an organisation, at most the
// given number of them in the VM's own data centre. OnTokens is called with each answer
// that arrives. It returns the number of groups asked.
func (messenger *Messenger) AskForTokens(scope throttler.Scope, organisation string, tokens float64, lenders int) int {
	addresses := messenger.lenders(scope, lenders)
	for _, address := range addresses {
		message := messenger.newMessage(false, nil)
		message.Asks = []ask{{ID: messenger.addPendingAsk(organisation), Organisation: organisation, Tokens: tokens}}
		messenger.sendAll([]netip.AddrPort{address}, message)
	}
	return len(addresses)
}

// lenders returns the addresses of random VMs of the groups to ask.
func (messenger *Messenger) lenders(scope throttler.Scope, most int) []netip.AddrPort {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	var addresses []netip.AddrPort
	if scope == throttler.DataCentre {
		for _, position := range rand.Perm(len(messenger.groups)) {
			group := messenger.groups[position]
			if position == messenger.position || len(group) == 0 || len(addresses) == most {
				continue
			}
			addresses = append(addresses, group[rand.IntN(len(group))].address)
		}
		return addresses
	}
	own := messenger.Regions[messenger.Self.DataCentre]
	for dataCentre, contacts := range messenger.contacts {
		if (messenger.Regions[dataCentre] == own) == (scope == throttler.Region) {
			addresses = append(addresses, contacts[rand.IntN(len(contacts))])
		}
	}
	return addresses
}

func (messenger *Messenger) addPendingAsk(organisation string) uint64 {
	now := messenger.Clock()
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	for id, pending := range messenger.pendingAsks {
		if now >= pending.expires {
			delete(messenger.pendingAsks, id)
		}
	}
	id := rand.Uint64()
	messenger.pendingAsks[id] = pendingAsk{organisation: organisation, expires: now + maxAnswerTime}
	return id
}

// takePendingAsk ends an ask. It returns false if the ask is unknown, was answered already
// or has expired: an answer must not count twice.
func (messenger *Messenger) takePendingAsk(id uint64) (pendingAsk, bool) {
	now := messenger.Clock()
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	pending, ok := messenger.pendingAsks[id]
	delete(messenger.pendingAsks, id)
	return pending, ok && now < pending.expires
}

// handleAsks lends tokens, and answers also if there are none.
func (messenger *Messenger) handleAsks(address string, asks []ask) {
	if len(asks) == 0 || messenger.OnAsk == nil {
		return
	}
	reply := messenger.newMessage(false, nil)
	for _, ask := range asks {
		reply.Grants = append(reply.Grants, grant{ID: ask.ID, Tokens: messenger.OnAsk(ask.Organisation, ask.Tokens)})
	}
	messenger.send(address, reply)
}

func (messenger *Messenger) handleGrants(from string, grants []grant) {
	for _, grant := range grants {
		pending, ok := messenger.takePendingAsk(grant.ID)
		if !ok {
			if grant.Tokens > 0 {
				messenger.Log.WithField("peer", from).WithField("tokens", grant.Tokens).Debug("tokens-too-late")
			}
			continue
		}
		if messenger.OnTokens != nil {
			messenger.OnTokens(from, pending.organisation, grant.Tokens)
		}
	}
}
