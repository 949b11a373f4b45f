// Package messenger carries short notes between the VMs of the fleet, as
// encrypted datagrams.
//
// The VMs of a data centre fall into groups of bounded size, which share rates
// and tell each other of every attempt. What the whole fleet should know goes to
// one VM of each other group, which passes it on in its own: bytes between data
// centres and regions are paid for. A note that is lost is not sent again: what
// notes tell is worth little a moment later.
//
// # Usage
//
//	messenger := &messenger.Messenger{Peer: self, Key: key, Receive: receive, Log: log}
//	messenger.Know(peers)
//	go messenger.Run(ctx)
//	messenger.Tell(note)       // to the group
//	messenger.TellFleet(note)  // to the rest of the fleet
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
	// silence is how long a VM may be silent before its group spends without
	// it; three heartbeats can be lost.
	silence = 1700 * time.Millisecond
	// maxDatagram is above the size of the longest letter.
	maxDatagram = 48 << 10
)

// Messenger exchanges notes with the other VMs of the fleet. Fields are set before
// Run.
type Messenger struct {
	Self Peer
	// Key encrypts the datagrams.
	Key []byte
	// Receive takes the notes of another VM. It is called from one goroutine.
	Receive func(from Peer, note Note)
	// Claims, if set, returns what this VM knows of the store. HearClaim takes
	// what another VM of the group knows.
	Claims    func() []Claim
	HearClaim func(claim Claim)
	// Lost, if set, reports whether the store does not answer this VM.
	Lost func() bool
	// Changed, if set, is called when the number of members of the group, or of
	// those that are heard, has changed.
	Changed func()
	// Clock is steady.
	Clock func() time.Duration
	Log   *logrus.Entry

	connection *net.UDPConn
	sealer     *sealer

	mutex sync.Mutex
	// peers are the other VMs of the data centre, group those of the VM's group,
	// and others those of each other group.
	peers  map[string]*peer
	group  []*peer
	others map[int][]*peer
	// contacts are VMs of each other data centre.
	contacts map[string][]netip.AddrPort
	// size is the number of VMs of the data centre.
	size    int
	leaving bool
}

// peer is what is known of another VM.
type peer struct {
	Peer
	address netip.AddrPort
	heard   time.Duration
	silent  bool
	// lost is true while the store does not answer it.
	lost bool
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
	messenger.size = 1
	messenger.peers = make(map[string]*peer)
	messenger.contacts = make(map[string][]netip.AddrPort)
	return nil
}

// Run exchanges notes until the context ends.
func (messenger *Messenger) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = messenger.connection.Close() })
	defer stop()
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { messenger.beat(ctx) })
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

func (messenger *Messenger) receive(letter letter) {
	from := Peer{Name: letter.From, DataCentre: letter.DataCentre, Address: letter.Address}
	if from.Name == messenger.Self.Name {
		return
	}
	if letter.Leaving {
		messenger.forget(from.Name)
		return
	}
	if from.DataCentre == messenger.Self.DataCentre {
		messenger.hear(from)
	}
	if letter.Relay {
		messenger.Tell(letter.Notes...)
	}
	if letter.Hello {
		messenger.send(from.Address, messenger.letter(false, nil))
	}
	for _, note := range letter.Notes {
		messenger.Receive(from, note)
	}
	if len(letter.Claims) == 0 || messenger.HearClaim == nil || !messenger.InGroup(from.Name) {
		return
	}
	messenger.setLost(from.Name, letter.Lost)
	for _, claim := range letter.Claims {
		messenger.HearClaim(claim)
	}
}

// beat is heard by the group and notices who isn't.
func (messenger *Messenger) beat(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		messenger.Beat()
		messenger.checkSilence()
	}
}

// Beat tells the group that this VM is there, and what it knows of the store.
func (messenger *Messenger) Beat() {
	letter := messenger.letter(false, nil)
	if messenger.Claims != nil {
		for _, claim := range messenger.Claims() {
			letter.Claims = append(letter.Claims, claim.bounded())
		}
		letter.Lost = messenger.Lost()
	}
	messenger.sendAll(messenger.groupPeers(), letter)
}

// Tell sends notes to the group.
func (messenger *Messenger) Tell(notes ...Note) {
	messenger.sendAll(messenger.groupPeers(), messenger.letter(false, notes))
}

// TellFleet sends notes to the VMs that aren't of the group.
func (messenger *Messenger) TellFleet(notes ...Note) {
	letter := messenger.letter(false, notes)
	letter.Relay = true
	messenger.sendAll(messenger.relays(), letter)
}

func (messenger *Messenger) sendAll(addresses []netip.AddrPort, letter letter) {
	if len(addresses) == 0 {
		return
	}
	sealed, err := messenger.sealer.seal(letter)
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
	messenger.Tell()
}

func (messenger *Messenger) letter(hello bool, notes []Note) letter {
	messenger.mutex.Lock()
	leaving := messenger.leaving
	messenger.mutex.Unlock()
	return letter{
		From: messenger.Self.Name, DataCentre: messenger.Self.DataCentre, Address: messenger.Self.Address,
		Hello: hello, Leaving: leaving, Notes: notes,
	}
}

func (messenger *Messenger) send(address string, letter letter) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		messenger.Log.WithError(err).Warn("peer-address-malformed")
		return
	}
	sealed, err := messenger.sealer.seal(letter)
	if err != nil {
		messenger.Log.WithError(err).Error("message-not-sealed")
		return
	}
	if _, err := messenger.connection.WriteToUDPAddrPort(sealed, target); err != nil {
		messenger.Log.WithError(err).WithField("peer", address).Debug("message-not-sent")
	}
}
