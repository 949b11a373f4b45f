package follower_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"godwitramp.example/core/arranger"
	"godwitramp.example/core/configurator"
	"godwitramp.example/core/confirmer"
	"godwitramp.example/core/follower"
	"godwitramp.example/core/guard"
	"godwitramp.example/core/timekeeper"
	"godwitramp.example/core/watcher"
)

// TestMain fixes the seed of rapid, so that every run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fleet simulates VMs, a store and an operator in virtual time.
type fleet struct {
	now   time.Duration
	peers []watcher.Peer
	// positions never change, as all VMs stay listed as live.
	positions []arranger.Position
	vms       []*follower.Follower
	// log holds all changes, and digests the digest after each. reference is the
	// newest configuration, which the VMs are compared with.
	log       []configurator.Change
	digests   []configurator.Digest
	reference *configurator.State
	// registered and confirmed are stored in rows of the store.
	registered map[string]confirmer.Registration
	confirmed  *confirmer.Confirmer
	// peerUnreachable and storeUnreachable decide which calls fail, from one VM
	// to another or to the store.
	peerUnreachable  func(from, to int) bool
	storeUnreachable func(vm int) bool
}

func newFleet(size, centres, regions int) *fleet {
	fleet := &fleet{
		now: time.Hour, reference: configurator.NewState(), registered: make(map[string]confirmer.Registration),
		confirmed: confirmer.New(), peerUnreachable: func(int, int) bool { return false }, storeUnreachable: func(int) bool { return false },
	}
	fleet.digests = append(fleet.digests, fleet.reference.Digest)
	for i := range size {
		centre := i % centres
		region := centre * regions / centres
		fleet.peers = append(fleet.peers, watcher.Peer{
			Name: fmt.Sprintf("vm-%02d", i), DataCentre: fmt.Sprintf("dc-%d", centre), Region: fmt.Sprintf("region-%d", region),
			BesideStore: region == 0,
		})
		fleet.vms = append(fleet.vms, nil)
		fleet.restart(i)
	}
	for i, self := range fleet.peers {
		others := append(append([]watcher.Peer{}, fleet.peers[:i]...), fleet.peers[i+1:]...)
		fleet.positions = append(fleet.positions, arranger.Arrange(self, others))
	}
	return fleet
}

func (fleet *fleet) reading() timekeeper.Reading { return timekeeper.At(fleet.now) }

func (fleet *fleet) restart(i int) {
	peer := &fleet.peers[i]
	peer.Incarnation++
	vm := follower.New(peer.Name, peer.Incarnation)
	vm.BesideStore, vm.DataCentre = peer.BesideStore, peer.DataCentre
	fleet.vms[i] = vm
}

// recordChange records a change by an operator in the store.
func (fleet *fleet) recordChange() {
	revision := fleet.reference.Revision + 1
	entry := configurator.Entry{
		Path:   configurator.Path(fmt.Sprintf("/a/organisations/o%d", revision%7)),
		Fields: []configurator.Field{{Name: "burst", Value: "5"}, {Name: "rate", Value: fmt.Sprint(revision)}},
	}
	change := configurator.Change{ID: fmt.Sprint(revision), Revision: revision, Team: "a", Puts: []configurator.Entry{entry}}
	if err := fleet.reference.Apply(change); err != nil {
		panic(err)
	}
	fleet.log = append(fleet.log, change)
	fleet.digests = append(fleet.digests, fleet.reference.Digest)
}

// register registers a VM with the store unless it is registered already.
func (fleet *fleet) register(i int) {
	vm, peer := fleet.vms[i], fleet.peers[i]
	if fleet.storeUnreachable(i) || fleet.registered[vm.VM].Incarnation == vm.Incarnation {
		return
	}
	fleet.registered[vm.VM] = confirmer.Registration{
		VM: vm.VM, Incarnation: vm.Incarnation, DataCentre: peer.DataCentre, BesideStore: peer.BesideStore,
	}
	vm.Registered(fleet.reading())
}

// readStore makes a VM read the store and apply what it lacks.
func (fleet *fleet) readStore(i int) {
	vm := fleet.vms[i]
	vm.ReadSent(fleet.reading())
	if fleet.storeUnreachable(i) {
		return
	}
	if vm.ReadAnswered(fleet.reading(), fleet.reading(), fleet.reference.Revision) {
		if err := vm.Apply(fleet.log[vm.Revision():]); err != nil {
			panic(err)
		}
	}
}

// confirm makes a VM write its confirmations to the store.
func (fleet *fleet) confirm(i int) {
	if !fleet.storeUnreachable(i) {
		fleet.confirmed.Merge(fleet.vms[i].AllConfirmations())
	}
}

// call is a message in flight, and its answer.
type call struct {
	from, to    int
	incarnation uint64
	sent        timekeeper.Reading
	message     follower.Message
	answer      follower.Answer
}

// startExchange sends the first message of an exchange between two VMs.
func (fleet *fleet) startExchange(from, to int) call {
	message := fleet.vms[from].DigestMessage(fleet.reading())
	message.Confirmations = fleet.vms[from].PendingConfirmations()
	return call{from: from, to: to, incarnation: fleet.vms[from].Incarnation, sent: fleet.reading(), message: message}
}

// answerCall makes the called VM answer.
func (fleet *fleet) answerCall(inFlight call) call {
	inFlight.answer = fleet.vms[inFlight.to].HandleMessage(fleet.reading(), inFlight.message)
	return inFlight
}

// receiveAnswer makes the calling VM handle the answer, unless it has restarted,
// and reports whether it makes a second call.
func (fleet *fleet) receiveAnswer(arrived call) (second call, needed bool) {
	caller := fleet.vms[arrived.from]
	if caller.Incarnation != arrived.incarnation {
		return arrived, false
	}
	caller.ConfirmationsDelivered(arrived.message.Confirmations)
	followUp, err := caller.HandleAnswer(arrived.sent, fleet.reading(), arrived.answer)
	if err != nil {
		panic(err)
	}
	second = arrived
	second.sent = fleet.reading()
	second.message = caller.ChangesMessage(fleet.reading(), arrived.answer)
	return second, followUp.PeerBehind || followUp.PeerEvidenceStale
}

// exchange makes all calls of an exchange without delay.
func (fleet *fleet) exchange(from, to int) {
	if fleet.peerUnreachable(from, to) {
		return
	}
	if second, needed := fleet.receiveAnswer(fleet.answerCall(fleet.startExchange(from, to))); needed {
		fleet.answerCall(second)
	}
}

// round runs the work that every VM does twice a second.
func (fleet *fleet) round(random *rand.Rand) {
	for i, vm := range fleet.vms {
		position := fleet.positions[i]
		if position.Reader() || !vm.KeysKnown(fleet.reading()) {
			fleet.register(i)
			fleet.readStore(i)
		}
		for _, peer := range position.PeersToCall(random) {
			fleet.exchange(i, fleet.index(peer.Name))
		}
		if position.Reader() {
			fleet.confirm(i)
		}
		vm.RefreshConfirmations(func(string) bool { return true })
	}
}

func (fleet *fleet) index(name string) int {
	var i int
	if _, err := fmt.Sscanf(name, "vm-%d", &i); err != nil {
		panic(err)
	}
	return i
}

func (fleet *fleet) progress() confirmer.Progress {
	var registrations []confirmer.Registration
	for _, registration := range fleet.registered {
		registrations = append(registrations, registration)
	}
	return confirmer.Evaluate(fleet.reference.Revision, registrations, fleet.confirmed)
}

// settleTime is how long after Covered no VM that lacks the revision may still
// accept keys.
const settleTime = guard.DefaultMaxAge + time.Second
