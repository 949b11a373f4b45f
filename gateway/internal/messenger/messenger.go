// Package messenger carries short events between the VMs of the fleet, as
// encrypted datagrams.
//
// The VMs of a data centre fall into groups of bounded size, which share rates
// and tell each other of every attempt. What the whole fleet should know goes to
// one VM of each other group, which passes it on in its own: bytes between data
// centres and regions are paid for. A event that is lost is not sent again: what
// events tell is worth little a moment later.
//
// # Usage
//
//	messenger := &messenger.Messenger{Peer: self, Key: key, Receive: receive, Log: log}
//	messenger.Know(peers)
//	go messenger.Run(ctx)
//	messenger.Tell(event)       // to the group
//	messenger.TellFleet(event)  // to the rest of the fleet
package messenger

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Peer is a VM of the fleet.
type Peer struct {
	Name       string
	DataCentre string
	// Address is the IP address and UDP port that it listens on.
	Address string
}

const (
	// heartbeat is how often a VM that has nothing to tell is heard by its
	// group.
	heartbeat = 500 * time.Millisecond
	// silenceTimeout is how long a VM may be silent before its group spends without
	// it; three heartbeats can be lost.
	silenceTimeout = 1700 * time.Millisecond
	// maxDatagram is above the size of the longest message.
	maxDatagram = 48 << 10
)

// Messenger exchanges events with the other VMs of the fleet. Fields are set before
// Run.
type Messenger struct {
	Self Peer
	// Key encrypts the datagrams.
	Key []byte
	// OnEvent takes the events of another VM. It is called from one goroutine.
	OnEvent func(from Peer, event Event)
	// Claims, if set, returns what this VM knows of the store. HearClaim takes
	// what another VM of the group knows.
	Claims  func() []Claim
	OnClaim func(claim Claim)
	// StoreUnreachable, if set, reports whether the store does not answer this VM.
	StoreUnreachable func() bool
	// OnGroupChange, if set, is called when the number of members of the group, or of
	// those that are heard, has changed.
	OnGroupChange func()
	// Clock is steady.
	Clock func() time.Duration
	Log   *logrus.Entry

	connection *net.UDPConn
	sealer     *sealer

	mutex sync.Mutex
	// peers are the other VMs of the data centre, group those of the VM's group,
	// and others those of each other group.
	peers       map[string]*peer
	group       []*peer
	otherGroups map[int][]*peer
	// contacts are VMs of each other data centre.
	contacts map[string][]netip.AddrPort
	// dataCentreSize is the number of VMs of the data centre.
	dataCentreSize int
	leaving        bool
}

// peer is what is known of another VM.
type peer struct {
	Peer
	address   netip.AddrPort
	lastHeard time.Duration
	silent    bool
	// storeUnreachable is true while the store does not answer it.
	storeUnreachable bool
}

// Open binds the address. It comes before all other calls.
func (messenger *Messenger) Open() error {
	var err error
	if messenger.sealer, err = newSealer(messenger.Key); err != nil {
		return err
	}
	address, err := net.ResolveUDPAddr("udp4", messenger.Self.Address)
	if err != nil {
		return fmt.Errorf("resolve address of messages: %w", err)
	}
	if messenger.connection, err = net.ListenUDP("udp4", address); err != nil {
		return fmt.Errorf("listen for messages: %w", err)
	}
	messenger.dataCentreSize = 1
	messenger.peers = make(map[string]*peer)
	messenger.contacts = make(map[string][]netip.AddrPort)
	return nil
}

// Run exchanges events until the context ends.
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
		messenger.receive(opened)
	}
}

func (messenger *Messenger) receive(message message) {
	from := Peer{Name: message.From, DataCentre: message.DataCentre, Address: message.Address}
	if from.Name == messenger.Self.Name {
		return
	}
	if message.Leaving {
		messenger.remove(from.Name)
		return
	}
	if from.DataCentre == messenger.Self.DataCentre {
		messenger.addHeard(from)
	}
	if message.Relay {
		messenger.SendToGroup(message.Events...)
	}
	if message.Hello {
		messenger.send(from.Address, messenger.newMessage(false, nil))
	}
	for _, event := range message.Events {
		messenger.OnEvent(from, event)
	}
	if len(message.Claims) == 0 || messenger.OnClaim == nil || !messenger.InGroup(from.Name) {
		return
	}
	messenger.setStoreUnreachable(from.Name, message.StoreUnreachable)
	for _, claim := range message.Claims {
		messenger.OnClaim(claim)
	}
}

// sendHeartbeats is heard by the group and notices who isn't.
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
		messenger.detectSilence()
	}
}

// SendHeartbeat tells the group that this VM is there, and what it knows of the store.
func (messenger *Messenger) SendHeartbeat() {
	message := messenger.newMessage(false, nil)
	if messenger.Claims != nil {
		for _, claim := range messenger.Claims() {
			message.Claims = append(message.Claims, claim.bounded())
		}
		message.StoreUnreachable = messenger.StoreUnreachable()
	}
	messenger.sendAll(messenger.groupAddresses(), message)
}

// SendToGroup sends events to the group.
func (messenger *Messenger) SendToGroup(events ...Event) {
	messenger.sendAll(messenger.groupAddresses(), messenger.newMessage(false, events))
}

// SendToFleet sends events to the VMs that aren't of the group.
func (messenger *Messenger) SendToFleet(events ...Event) {
	message := messenger.newMessage(false, events)
	message.Relay = true
	messenger.sendAll(messenger.relayAddresses(), message)
}

func (messenger *Messenger) sendAll(addresses []netip.AddrPort, message message) {
	if len(addresses) == 0 {
		return
	}
	sealed, err := messenger.sealer.seal(message)
	if err != nil {
		messenger.Log.WithError(err).Error("message-not-sealed")
		return
	}
	for _, address := range addresses {
		_, err := messenger.connection.WriteToUDPAddrPort(sealed, address)
		if err != nil {
			messenger.Log.WithError(err).WithField("peer", address).Debug("message-not-sent")
		}
	}
}

// Leave tells all known VMs that this one stops.
func (messenger *Messenger) Leave() {
	messenger.mutex.Lock()
	messenger.leaving = true
	messenger.mutex.Unlock()
	messenger.SendToGroup()
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
	sealed, err := messenger.sealer.seal(message)
	if err != nil {
		messenger.Log.WithError(err).Error("message-not-sealed")
		return
	}
	if _, err := messenger.connection.WriteToUDPAddrPort(sealed, target); err != nil {
		messenger.Log.WithError(err).WithField("peer", address).Debug("message-not-sent")
	}
}
