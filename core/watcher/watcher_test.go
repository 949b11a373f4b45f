package watcher_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/watcher"
)

// link is one direction between two VMs: calls from one to the other.
type link struct{ from, to string }

// fleet runs watchers against each other in virtual time.
type fleet struct {
	now      time.Duration
	random   *rand.Rand
	names    []string
	watchers map[string]*watcher.Watcher
	cut      func(link) bool
	calls    int
	records  int
}

const regions = 3

func newPeer(i int) watcher.Peer {
	region := fmt.Sprintf("region-%d", i%regions)
	return watcher.Peer{
		Name: fmt.Sprintf("vm-%04d", i), Region: region, DataCentre: fmt.Sprintf("%s-%d", region, i/regions%2),
		Address: fmt.Sprintf("vm-%04d", i), Incarnation: 1,
	}
}

func newFleet(size int) *fleet {
	var peers []watcher.Peer
	for i := range size {
		peers = append(peers, newPeer(i))
	}
	return fleetOf(peers)
}

func fleetOf(peers []watcher.Peer) *fleet {
	fleet := &fleet{
		random: rand.New(rand.NewPCG(1, 2)), watchers: make(map[string]*watcher.Watcher),
		cut: func(link) bool { return false },
	}
	for _, peer := range peers {
		fleet.start(peer)
		fleet.watchers[peer.Name].SetCandidates(peers)
	}
	return fleet
}

func (fleet *fleet) start(peer watcher.Peer) {
	if _, ok := fleet.watchers[peer.Name]; !ok {
		fleet.names = append(fleet.names, peer.Name)
	}
	fleet.watchers[peer.Name] = watcher.New(peer)
}

func (fleet *fleet) kill(name string) {
	fleet.names = slices.DeleteFunc(fleet.names, func(other string) bool { return other == name })
	delete(fleet.watchers, name)
}

// run simulates whole periods until the duration has passed.
func (fleet *fleet) run(duration time.Duration) {
	for end := fleet.now + duration; fleet.now < end; {
		fleet.now += watcher.Period
		for _, name := range fleet.names {
			fleet.step(name)
		}
	}
}

func (fleet *fleet) step(name string) {
	caller := fleet.watchers[name]
	for _, peer := range caller.PeersToCall(fleet.now, fleet.random) {
		message := caller.Message(peer)
		fleet.calls++
		fleet.records += len(message.Records) + len(message.Synced)
		called := fleet.watchers[peer.Name]
		if called == nil || fleet.cut(link{name, peer.Name}) {
			caller.CallFailed(peer, fleet.now)
			continue
		}
		answer := called.HandleCall(message, fleet.now)
		fleet.records += len(answer.Records) + len(answer.Synced)
		caller.HandleAnswer(peer, answer, fleet.now)
	}
	caller.Tick(fleet.now)
}

// converged reports whether every VM lists all others as live.
func (fleet *fleet) converged() bool {
	for _, name := range fleet.names {
		if len(fleet.watchers[name].Live()) != len(fleet.names)-1 {
			return false
		}
	}
	return true
}

func TestFleetConvergesAndDetectsCrash(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(40)
	fleet.run(30 * time.Second)
	is.True(fleet.converged())
	fleet.kill("vm-0007")
	fleet.run(8 * time.Second)
	is.True(fleet.converged()) // no VM lists the crashed one any more
}

func TestLeavingVMIsRemovedWithinThreePeriods(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(40)
	fleet.run(30 * time.Second)
	fleet.watchers["vm-0007"].Leave()
	fleet.run(3 * time.Second)
	fleet.kill("vm-0007")
	is.True(fleet.converged())
}

func TestRestartSpreadsNewIncarnation(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(40)
	fleet.run(30 * time.Second)
	restarted := newPeer(7)
	restarted.Incarnation = 2
	fleet.start(restarted)
	fleet.watchers[restarted.Name].SetCandidates([]watcher.Peer{newPeer(1)})
	fleet.run(20 * time.Second)
	is.True(fleet.converged())
	record, _ := fleet.watchers["vm-0030"].Record(restarted.Name)
	is.Equal(record.Peer.Incarnation, uint64(2))
}

// A VM whose clock was set back before its restart begins with a lower
// incarnation than the one that the fleet knows.
func TestRestartWithLowerIncarnationRejoins(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(12)
	fleet.run(30 * time.Second)
	restarted := newPeer(7)
	restarted.Incarnation = 0
	fleet.start(restarted)
	fleet.watchers[restarted.Name].SetCandidates([]watcher.Peer{newPeer(1)})
	fleet.run(20 * time.Second)
	is.True(fleet.converged())
}

// A VM that one neighbour can't call is suspected, but refutes the suspicion
// through the others and is never declared dead.
func TestOneWayLinkFailureDoesNotKillVM(t *testing.T) {
	is := is.New(t)
	// All are in one data centre, so that each calls two of the other three.
	var peers []watcher.Peer
	for i := range 4 {
		peer := newPeer(i)
		peer.Region, peer.DataCentre = "region", "region-1"
		peers = append(peers, peer)
	}
	fleet := fleetOf(peers)
	fleet.run(20 * time.Second)
	is.True(fleet.converged())
	calling := "vm-0000"
	called := fleet.watchers[calling].PeersToCall(fleet.now, fleet.random)[0].Name
	fleet.cut = func(l link) bool { return l == link{calling, called} }
	fleet.run(30 * time.Second)
	for _, name := range fleet.names {
		if name == called {
			continue
		}
		record, ok := fleet.watchers[name].Record(called)
		is.True(ok)
		is.True(record.Status <= watcher.Suspect) // refutes the suspicion over other paths
	}
	for _, peer := range fleet.watchers[calling].Live() {
		is.True(peer.Name != called) // calls over the failed link keep it out of the list
	}
	fleet.cut = func(link) bool { return false }
	fleet.run(20 * time.Second)
	is.True(fleet.converged())
}

// After a partition of an hour, VMs declared dead are found again by probes
// alone, without the platform's list.
func TestRegionsRejoinAfterPartition(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(12)
	fleet.run(30 * time.Second)
	for _, name := range fleet.names {
		fleet.watchers[name].SetCandidates(nil) // the platform's list is unavailable
	}
	side := func(name string) bool {
		return fleet.watchers[name] != nil && fleet.watchers[name].Self().Region == "region-0"
	}
	fleet.cut = func(l link) bool { return side(l.from) != side(l.to) }
	fleet.run(time.Hour)
	is.Equal(len(fleet.watchers["vm-0000"].Live()), 3) // only the rest of its own region
	fleet.cut = func(link) bool { return false }
	fleet.run(3 * time.Minute)
	is.True(fleet.converged())
}

func TestFanOutDoesNotGrow(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{40, 80, 160} {
		fleet := newFleet(size)
		most := 0
		fleet.run(time.Minute)
		is.True(fleet.converged())
		for _, name := range fleet.names {
			most = max(most, len(fleet.watchers[name].PeersToCall(fleet.now, fleet.random)))
		}
		is.True(most <= 6)
		fleet.calls, fleet.records = 0, 0
		fleet.run(time.Minute)
		t.Logf("vms=%d calls-per-vm-and-second=%.2f records-per-call=%.3f",
			size, float64(fleet.calls)/float64(size)/60, float64(fleet.records)/float64(fleet.calls))
	}
}
