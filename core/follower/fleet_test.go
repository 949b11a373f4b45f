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

// fleet is a few VMs, a store and an operator in virtual time.
type fleet struct {
	now   time.Duration
	peers []watcher.Peer
	// places never change, because all VMs are on the list of live ones.
	places []arranger.Position
	vms    []*follower.Follower
	// log is the naive configuration: all changes, and the digest after each.
	log     []configurator.Change
	digests []configurator.Digest
	naive   *configurator.State
	// registered and confirmed are rows of the store.
	registered map[string]confirmer.Registration
	confirmed  *confirmer.Confirmer
	// cut and deaf say which calls fail, from one VM to another or to the
	// store.
	cut  func(from, to int) bool
	deaf func(vm int) bool
}

func newFleet(size, centres, regions int) *fleet {
	fleet := &fleet{
		now: time.Hour, naive: configurator.NewState(), registered: make(map[string]confirmer.Registration),
		confirmed: confirmer.New(), cut: func(int, int) bool { return false }, deaf: func(int) bool { return false },
	}
	fleet.digests = append(fleet.digests, fleet.naive.Digest)
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
		fleet.places = append(fleet.places, arranger.Arrange(self, others))
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

// record is an operator's change.
func (fleet *fleet) record() {
	revision := fleet.naive.Revision + 1
	entry := configurator.Entry{
		Path:   configurator.Path(fmt.Sprintf("/a/organisations/o%d", revision%7)),
		Fields: []configurator.Field{{Name: "burst", Value: "5"}, {Name: "rate", Value: fmt.Sprint(revision)}},
	}
	change := configurator.Change{ID: fmt.Sprint(revision), Revision: revision, Team: "a", Puts: []configurator.Entry{entry}}
	if err := fleet.naive.Apply(change); err != nil {
		panic(err)
	}
	fleet.log = append(fleet.log, change)
	fleet.digests = append(fleet.digests, fleet.naive.Digest)
}

// register lets a VM register with the store, unless it has.
func (fleet *fleet) register(i int) {
	vm, peer := fleet.vms[i], fleet.peers[i]
	if fleet.deaf(i) || fleet.registered[vm.VM].Incarnation == vm.Incarnation {
		return
	}
	fleet.registered[vm.VM] = confirmer.Registration{
		VM: vm.VM, Incarnation: vm.Incarnation, DataCentre: peer.DataCentre, BesideStore: peer.BesideStore,
	}
	vm.Registered(fleet.reading())
}

// read lets a VM read the store.
func (fleet *fleet) read(i int) {
	vm := fleet.vms[i]
	vm.Sent(fleet.reading())
	if fleet.deaf(i) {
		return
	}
	if vm.Read(fleet.reading(), fleet.reading(), fleet.naive.Revision) {
		if err := vm.Apply(fleet.log[vm.Revision():]); err != nil {
			panic(err)
		}
	}
}

// confirm lets a VM write what it has merged.
func (fleet *fleet) confirm(i int) {
	if !fleet.deaf(i) {
		fleet.confirmed.Merge(fleet.vms[i].Confirmed())
	}
}

// flight is a message under way.
type flight struct {
	from, to    int
	incarnation uint64
	sent        timekeeper.Reading
	message     follower.Message
	answer      follower.Answer
}

// send lets one VM begin an exchange with another one.
func (fleet *fleet) send(from, to int) flight {
	message := fleet.vms[from].Ask(fleet.reading())
	message.Confirmations = fleet.vms[from].Confirmations()
	return flight{from: from, to: to, incarnation: fleet.vms[from].Incarnation, sent: fleet.reading(), message: message}
}

// serve lets the called VM answer.
func (fleet *fleet) serve(flight flight) flight {
	flight.answer = fleet.vms[flight.to].Serve(fleet.reading(), flight.message)
	return flight
}

// hear lets the calling VM take in the answer, unless it has restarted, and
// reports whether it makes a second call.
func (fleet *fleet) hear(arrived flight) (offer flight, again bool) {
	asker := fleet.vms[arrived.from]
	if asker.Incarnation != arrived.incarnation {
		return arrived, false
	}
	asker.Delivered(arrived.message.Confirmations)
	news, err := asker.Hear(arrived.sent, fleet.reading(), arrived.answer)
	if err != nil {
		panic(err)
	}
	offer = arrived
	offer.sent = fleet.reading()
	offer.message = asker.Offer(fleet.reading(), arrived.answer)
	return offer, news.PeerBehind || news.PeerStale
}

// exchange makes the calls of an exchange at once.
func (fleet *fleet) exchange(from, to int) {
	if fleet.cut(from, to) {
		return
	}
	if offer, again := fleet.hear(fleet.serve(fleet.send(from, to))); again {
		fleet.serve(offer)
	}
}

// turn lets every VM do what it does twice a second.
func (fleet *fleet) turn(random *rand.Rand) {
	for i, vm := range fleet.vms {
		place := fleet.places[i]
		if place.Reader() || !vm.KeysKnown(fleet.reading()) {
			fleet.register(i)
			fleet.read(i)
		}
		for _, peer := range place.PeersToCall(random) {
			fleet.exchange(i, fleet.index(peer.Name))
		}
		if place.Reader() {
			fleet.confirm(i)
		}
		vm.Refresh(func(string) bool { return true })
	}
}

func (fleet *fleet) index(name string) int {
	var i int
	if _, err := fmt.Sscanf(name, "vm-%d", &i); err != nil {
		panic(err)
	}
	return i
}

func (fleet *fleet) verdict() confirmer.Progress {
	var registrations []confirmer.Registration
	for _, registration := range fleet.registered {
		registrations = append(registrations, registration)
	}
	return confirmer.Evaluate(fleet.naive.Revision, registrations, fleet.confirmed)
}

// settleTime is after how long of Covered nobody can serve without the
// revision.
const settleTime = guard.DefaultLimit + time.Second
