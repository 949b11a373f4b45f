// Package messenger sends events between the VMs of the fleet, in encrypted UDP datagrams.
//
// The VMs of a data centre are divided into groups of bounded size. The VMs of a group
// share rates and send each other an event for every attempt. An event for the whole fleet
// is sent to a few groups of the data centre and to one VM of each other data centre, which
// relay it to their groups and to the rest of the data centre, as traffic between data
// centres and regions is charged for. Lost events are not sent again, as an event is of
// little use a moment later.
//
// Claims about the store are exchanged within a data centre. In a survey, VMs of all data centres
// are asked which configuration they have in force.
//
// # Usage
//
//	messenger := &messenger.Messenger{Self: self, Key: key, OnEvent: onEvent, Clock: clock, Log: log}
//	err := messenger.Open()
//	messenger.AddPeers(peers)
//	go messenger.Run(ctx)
//	messenger.SendToGroup(event)
//	messenger.SendToFleet(event)  // to the rest of the fleet
package messenger

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/spreader"
	"godwitramp.example/core/throttler"
	"godwitramp.example/shell/recoverer"
)

// Peer is a VM of the fleet.
type Peer struct {
	Name       string
	DataCentre string
	// Address is the IP address and UDP port on which the VM receives datagrams.
	Address string
}

const (
	// heartbeat is the interval at which a VM sends a message to its group, also without
	// events.
	heartbeat = 500 * time.Millisecond
	// silenceTimeout is the time without a message after which a peer counts as silent,
	// and its part of the group's rates is no longer spent. Three heartbeats may be lost.
	silenceTimeout = 1700 * time.Millisecond
	// maxDatagram is the size of the receive buffer. Longer datagrams are refused.
	maxDatagram = 64 << 10
)

// Messenger exchanges events with the other VMs of the fleet. Fields are set before Open.
// The methods are safe for concurrent use after Open.
type Messenger struct {
	Self Peer
	// Key is the fleet's AES key, which encrypts and authenticates the datagrams. The store
	// had it in KeyEra.
	Key    []byte
	KeyEra uint64
	// OnEvent handles an event of another VM. It is called from one goroutine.
	OnEvent func(from Peer, event Event)
	// Claims, if set, returns the claims of this VM about the store, which heartbeats
	// carry. OnClaim, if set, handles a claim of another VM of the data centre, or what a VM of
	// another one has in force.
	Claims  func() []Claim
	OnClaim func(claim Claim)
	// InForce, if set, returns what this VM has in force, false if there is nothing to tell. It answers surveys.
	InForce func() (Claim, bool)
	// OnHeard, if set, is called for each message of another VM.
	OnHeard func()
	// Reminders, if set, returns events that the VM repeats until they lapse, as single ones may be
	// lost, and VMs that start have heard none.
	Reminders func() []Event
	// Offers, if set, returns what the VM's group leaves to others. The first VM of the group sends it with each
	// heartbeat.
	Offers func() []Offer
	// StoreUnreachable reports whether the store does not answer this VM. It must be set
	// if Claims or InForce is.
	StoreUnreachable func() bool
	// StoreEra, if set, returns the newest era of the store that its answers have named.
	StoreEra func() uint64
	// OnGroupChange, if set, is called when the group or the number of its members that
	// are not silent may have changed.
	OnGroupChange func()
	// Regions maps each data centre to its region.
	Regions map[string]string
	// OnAsk, if set, takes up to the given tokens of an organisation out of this VM's bucket
	// and returns how many; they are sent to another group. OnTokens, if set, handles the
	// tokens that the named VM has lent to this one, or zero if it had none.
	OnAsk    func(organisation string, tokens float64) float64
	OnTokens func(from, organisation string, tokens float64)
	// Clock is monotonic.
	Clock func() time.Duration
	Log   *logrus.Entry

	connection *net.UDPConn
	sealer     *sealer

	mutex sync.Mutex
	// peers are the other VMs of the data centre by name, groups those of each of its groups,
	// group those of this VM's group, and position that group's position in groups.
	peers    map[string]*peer
	groups   [][]*peer
	group    []*peer
	position int
	// contacts are the addresses of some VMs of each other data centre, the one heard of
	// last at the end.
	contacts map[string][]netip.AddrPort
	// dataCentreSize is the number of VMs of the data centre, including this one.
	dataCentreSize int
	// behind are the keys known last of the VMs that may not know the one in use.
	behind map[netip.AddrPort][]byte
	// heardEra is the newest era of the store that a message has named.
	heardEra uint64
	leaving  bool
	// introduced is true once the VMs of the fleet are known, and claimsKnown once their claims were.
	introduced, claimsKnown bool
	pendingAsks             map[uint64]pendingAsk
}

// peer is the state of another VM of the data centre.
type peer struct {
	Peer
	address   netip.AddrPort
	lastHeard time.Duration
	silent    bool
	// hearing says how far this VM's tokens and those of the peer are known to each other, and askedAt is
	// when the peer was last asked for a message.
	hearing throttler.Hearing
	askedAt time.Duration
	// storeUnreachable is true while the store does not answer the peer.
	storeUnreachable bool
	// claimed is true once claims have come from the peer.
	claimed bool
}

// Open binds the address. Call it before all other methods.
func (messenger *Messenger) Open() error {
	var err error
	if messenger.sealer, err = newSealer(messenger.KeyEra, messenger.Key); err != nil {
		return err
	}
	address, err := net.ResolveUDPAddr("udp4", messenger.Self.Address)
	if err != nil {
		return fmt.Errorf("resolve UDP address for messages: %w", err)
	}
	if messenger.connection, err = net.ListenUDP("udp4", address); err != nil {
		return fmt.Errorf("listen for messages: %w", err)
	}
	messenger.dataCentreSize = 1
	messenger.groups = make([][]*peer, 1)
	messenger.peers = make(map[string]*peer)
	messenger.contacts = make(map[string][]netip.AddrPort)
	messenger.behind = make(map[netip.AddrPort][]byte)
	messenger.pendingAsks = make(map[uint64]pendingAsk)
	return nil
}

// Run receives messages and sends heartbeats until the context ends.
func (messenger *Messenger) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = messenger.connection.Close() })
	defer stop()
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { messenger.sendHeartbeats(ctx) })
	buffer := make([]byte, maxDatagram)
	for {
		n, source, err := messenger.connection.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			messenger.Log.WithError(err).Warn("message-read-failed")
			continue
		}
		opened, err := messenger.sealer.open(buffer[:n])
		if err != nil {
			messenger.Log.WithError(err).WithField("source", source).Warn("message-refused")
			continue
		}
		recoverer.Do(messenger.Log.WithField("source", source), func() { messenger.receive(opened) })
	}
}

func (messenger *Messenger) receive(message message) {
	from := Peer{Name: message.From, DataCentre: message.DataCentre, Address: message.Address}
	if from.Name == messenger.Self.Name {
		return
	}
	messenger.receiveKey(message)
	if messenger.OnHeard != nil {
		messenger.OnHeard()
	}
	if message.Leaving {
		messenger.remove(from.Name)
		return
	}
	if from.DataCentre == messenger.Self.DataCentre {
		messenger.addHeard(from)
	} else {
		messenger.addContact(from)
	}
	if message.Relay && len(message.Events) > 0 {
		messenger.SendToGroup(message.Events...)
		messenger.relay(message.RelayPart, message.Events)
	}
	messenger.handleAsks(from.Address, message.Asks)
	messenger.handleGrants(from.Name, message.Grants)
	survey, claims := takeSurvey(message.Claims)
	message.Claims = claims
	switch {
	case survey != nil && message.Hello:
		messenger.answerSurvey(from, *survey)
	case survey != nil:
		messenger.completeAnswer(*survey, message.Claims)
	case message.Hello:
		messenger.answerHello(from)
	}
	for _, event := range message.Events {
		messenger.OnEvent(from, event)
	}
	if from.DataCentre != messenger.Self.DataCentre {
		messenger.handleFarClaims(message)
		return
	}
	if len(message.Claims) == 0 || messenger.OnClaim == nil {
		return
	}
	messenger.setStoreUnreachable(from.Name, message.StoreUnreachable)
	if message.Relay {
		messenger.relayClaims(message.RelayPart, message.Claims)
	}
	for _, claim := range message.Claims {
		messenger.OnClaim(claim)
	}
	messenger.recordClaims(from.Name)
}

// answerHello answers a hello. A VM of the group gets the claims of this VM, as it must learn
// before it serves whether the store has lost a configuration. Rows are handed out once, so
// that they go to the whole group.
func (messenger *Messenger) answerHello(from Peer) {
	if !messenger.InGroup(from.Name) {
		messenger.send(from.Address, messenger.newMessage(false, nil))
		return
	}
	if events := messenger.reminders(); len(events) > 0 {
		messenger.send(from.Address, messenger.newMessage(false, events))
	}
	if messenger.Claims == nil {
		messenger.send(from.Address, messenger.newMessage(false, nil))
		return
	}
	message := messenger.newHeartbeat()
	if slices.ContainsFunc(message.Claims, func(claim Claim) bool { return len(claim.Rows) > 0 }) {
		messenger.sendHeartbeat(message)
		return
	}
	messenger.send(from.Address, message)
}

// sendHeartbeats sends heartbeats and detects silent peers until the context ends.
func (messenger *Messenger) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		messenger.SendHeartbeat()
		messenger.remind()
		messenger.sendOffers()
		messenger.detectSilence()
	}
}

// remind repeats the reminders in the group. They are also repeated in the rest of the fleet, in a part
// of its heartbeats by the VM that polls the store for the data centre, and crashes at once.
func (messenger *Messenger) remind() {
	events := messenger.reminders()
	if len(events) == 0 {
		return
	}
	messenger.SendToGroup(events...)
	crashed := slices.ContainsFunc(events, func(event Event) bool { return event.Kind == RequestCrashed })
	if crashed || messenger.Rank() == 0 && rand.IntN(fleetReminder) == 0 {
		messenger.SendToFleet(events...)
	}
}

// fleetReminder is the mean number of heartbeats between reminders of the fleet.
const fleetReminder = 6

func (messenger *Messenger) reminders() []Event {
	if messenger.Reminders == nil {
		return nil
	}
	return messenger.Reminders()
}

// SendHeartbeat sends the group a message without events, with the claims of this VM. The VM
// that polls the store for the data centre sends its claims to the other groups as well.
func (messenger *Messenger) SendHeartbeat() { messenger.sendHeartbeat(messenger.newHeartbeat()) }

// newHeartbeat returns a message with the claims of this VM.
func (messenger *Messenger) newHeartbeat() message {
	message := messenger.newMessage(false, nil)
	if messenger.Claims != nil {
		for _, claim := range messenger.Claims() {
			message.Claims = append(message.Claims, claim.bounded())
		}
		message.StoreUnreachable, message.Era = messenger.StoreUnreachable(), messenger.restoredEra()
	}
	return message
}

func (messenger *Messenger) sendHeartbeat(message message) {
	messenger.sendAll(messenger.groupAddresses(), message)
	if len(message.Claims) > 0 && messenger.Rank() == 0 {
		messenger.sendClaims(allGroups, message.Claims)
	}
}

// relayClaims forwards claims of another group's VM to this VM's group and to the other
// groups of a part.
func (messenger *Messenger) relayClaims(part spreader.Part, claims []Claim) {
	message := messenger.newMessage(false, nil)
	message.Claims, message.StoreUnreachable = claims, messenger.StoreUnreachable()
	message.Era = messenger.restoredEra()
	messenger.sendAll(messenger.groupAddresses(), message)
	messenger.sendClaims(part, claims)
}

// sendClaims sends claims to the groups of a part of this data centre, except to this VM's
// own.
func (messenger *Messenger) sendClaims(part spreader.Part, claims []Claim) {
	for _, relay := range messenger.relays(part) {
		message := messenger.newMessage(false, nil)
		message.Claims, message.StoreUnreachable = claims, messenger.StoreUnreachable()
		message.Era = messenger.restoredEra()
		message.Relay, message.RelayPart = true, relay.part
		messenger.sendAll([]netip.AddrPort{relay.address}, message)
	}
}

// SendToGroup sends events to the group.
func (messenger *Messenger) SendToGroup(events ...Event) {
	messenger.sendAll(messenger.groupAddresses(), messenger.newMessage(false, events))
}

// SendToFleet sends events to the VMs outside the group, through relays.
func (messenger *Messenger) SendToFleet(events ...Event) {
	messenger.relay(allGroups, events)
	message := messenger.newMessage(false, events)
	message.Relay, message.RelayPart = true, allGroups
	messenger.sendAll(messenger.contactAddresses(), message)
}

// relay sends events to the groups of a part of this data centre, except to this VM's own.
func (messenger *Messenger) relay(part spreader.Part, events []Event) {
	for _, relay := range messenger.relays(part) {
		message := messenger.newMessage(false, events)
		message.Relay, message.RelayPart = true, relay.part
		messenger.sendAll([]netip.AddrPort{relay.address}, message)
	}
}

func (messenger *Messenger) sendAll(addresses []netip.AddrPort, message message) {
	for key, addresses := range messenger.byKey(addresses) {
		messenger.sendSealed(addresses, message, []byte(key))
	}
}

// sendSealed sends a message that is encrypted with a key. If the key isn't the one in use,
// the message tells the one in use.
func (messenger *Messenger) sendSealed(addresses []netip.AddrPort, message message, key []byte) {
	if era, current := messenger.sealer.current(); !bytes.Equal(key, current) {
		message.Era, message.Key = era, current
	}
	sealed, err := messenger.sealer.seal(message, key)
	if err != nil {
		messenger.Log.WithError(err).Error("message-not-encrypted")
		return
	}
	for _, address := range addresses {
		_, err := messenger.connection.WriteToUDPAddrPort(sealed, address)
		if err != nil {
			messenger.Log.WithError(err).WithField("peer", address).Debug("message-not-sent")
		}
	}
}

// Leave notifies the data centre that this VM stops. All later messages say so too. Other
// groups would otherwise go on to count it, and to send it what it should relay.
func (messenger *Messenger) Leave() {
	messenger.mutex.Lock()
	messenger.leaving = true
	addresses := make([]netip.AddrPort, 0, len(messenger.peers))
	for _, peer := range messenger.peers {
		addresses = append(addresses, peer.address)
	}
	messenger.mutex.Unlock()
	messenger.sendAll(addresses, messenger.newMessage(false, nil))
}

func (messenger *Messenger) newMessage(hello bool, events []Event) message {
	messenger.mutex.Lock()
	leaving := messenger.leaving
	messenger.mutex.Unlock()
	return message{
		From: messenger.Self.Name, DataCentre: messenger.Self.DataCentre, Address: messenger.Self.Address,
		Hello: hello, Leaving: leaving, Events: events,
	}
}

func (messenger *Messenger) send(address string, message message) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		messenger.Log.WithError(err).Warn("peer-address-malformed")
		return
	}
	messenger.sendAll([]netip.AddrPort{target}, message)
}
