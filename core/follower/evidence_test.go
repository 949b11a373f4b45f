package follower_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/timekeeper"
)

// ready returns a fleet on which every VM has confirmed revision 1.
func ready(size, centres, regions int) (*fleet, *rand.Rand) {
	fleet := newFleet(size, centres, regions)
	random := rand.New(rand.NewPCG(1, 1))
	fleet.recordChange()
	fleet.rounds(random, 4)
	return fleet, random
}

func (fleet *fleet) rounds(random *rand.Rand, count int) {
	for range count {
		fleet.now += 500 * time.Millisecond
		fleet.round(random)
	}
}

func (fleet *fleet) trustingVMs() int {
	count := 0
	for _, vm := range fleet.vms {
		if vm.KeysKnown(fleet.reading()) {
			count++
		}
	}
	return count
}

func storeUnreachableForAll(int) bool      { return true }
func peersUnreachableForAll(_, _ int) bool { return true }

func TestOutageIsNotTakenForIsolation(t *testing.T) {
	is := is.New(t)
	fleet, random := ready(12, 6, 3)
	fleet.storeUnreachable = storeUnreachableForAll
	for range 100 {
		fleet.rounds(random, 1)
		is.Equal(fleet.trustingVMs(), 12) // in an outage for all VMs, none refuses keys
	}
	fleet.peerUnreachable = peersUnreachableForAll
	fleet.rounds(random, 8)
	is.Equal(fleet.trustingVMs(), 0) // an isolated VM can't tell an outage from its own isolation
}

func TestVMThatStartsDuringOutageServes(t *testing.T) {
	is := is.New(t)
	fleet, random := ready(12, 6, 3)
	fleet.storeUnreachable = storeUnreachableForAll
	fleet.rounds(random, 10)
	fleet.restart(5)
	fleet.rounds(random, 4)
	is.Equal(fleet.vms[5].Revision(), uint64(1))
	is.Equal(fleet.trustingVMs(), 12)
}

// The silence of VMs whose confirmation nobody waits for must not make others
// accept keys.
func TestSilenceOfUnregisteredVMsDoesNotCount(t *testing.T) {
	is := is.New(t)
	fleet, random := ready(4, 2, 1)
	fleet.storeUnreachable = storeUnreachableForAll
	for i := range fleet.vms {
		fleet.restart(i)
		is.NoErr(fleet.vms[i].Apply(fleet.log))
		fleet.vms[i].Registered(fleet.reading())
	}
	fleet.rounds(random, 8)
	is.Equal(fleet.trustingVMs(), 0)
}

// A VM must not accept keys on evidence of silence from peers that hold a newer
// revision.
func TestSilenceOfVMsWithNewerRevisionDoesNotCount(t *testing.T) {
	is := is.New(t)
	fleet, _ := ready(3, 3, 1)
	fleet.recordChange()
	for i := range 2 {
		fleet.readStore(i)
	}
	fleet.storeUnreachable = storeUnreachableForAll
	fleet.now += 7 * time.Second
	for i := range 2 {
		fleet.readStore(i)
	}
	fleet.now += time.Second
	is.True(!fleet.vms[2].KeysKnown(fleet.reading()))
	for i := range 2 {
		answer := fleet.answerCall(fleet.startExchange(2, i)).answer
		answer.Changes = nil // the VM learns of the revision but doesn't get the change
		_, err := fleet.vms[2].HandleAnswer(fleet.reading(), fleet.reading(), answer)
		is.NoErr(err)
	}
	is.Equal(fleet.vms[2].Revision(), uint64(1))
	is.True(!fleet.vms[2].KeysKnown(fleet.reading()))
	fleet.exchange(2, 0)
	is.True(fleet.vms[2].KeysKnown(fleet.reading()))
}

// Evidence must age while it is in flight, also while the VM is suspended and its
// monotonic clock stands still.
func TestEvidenceAgesInFlight(t *testing.T) {
	for _, test := range []struct {
		name  string
		after timekeeper.Reading
		known bool
	}{
		{"in time", timekeeper.At(2 * time.Second), true},
		{"late", timekeeper.At(4 * time.Second), false},
		{"suspended", timekeeper.Reading{Wall: 4 * time.Second}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fleet, _ := ready(2, 2, 1)
			fleet.restart(1)
			answered := fleet.answerCall(fleet.startExchange(1, 0))
			now := timekeeper.Reading{Mono: fleet.now + test.after.Mono, Wall: fleet.now + test.after.Wall}
			_, err := fleet.vms[1].HandleAnswer(answered.sent, now, answered.answer)
			is.NoErr(err)
			is.Equal(fleet.vms[1].Revision(), uint64(1))
			is.Equal(fleet.vms[1].KeysKnown(now), test.known)
		})
	}
}

// A partitioned region must receive changes through other regions while there is
// a path, whichever side can open connections.
func TestRegionCutOff(t *testing.T) {
	for _, test := range []struct {
		name        string
		unreachable func(from, to int) bool // regions
		want        int
	}{
		{"from the store's region", func(from, to int) bool { return from+to == 2 && from != to }, 24},
		{"can't call out", func(from, to int) bool { return from == 2 && to != 2 }, 24},
		{"can't be called", func(from, to int) bool { return from != 2 && to == 2 }, 24},
		{"from everywhere", func(from, to int) bool { return from != to && (from == 2 || to == 2) }, 16},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fleet, random := ready(24, 6, 3)
			region := func(vm int) int { return vm % 6 / 2 }
			fleet.storeUnreachable = func(vm int) bool { return region(vm) == 2 }
			fleet.peerUnreachable = func(from, to int) bool { return test.unreachable(region(from), region(to)) }
			fleet.rounds(random, 12)
			fleet.recordChange()
			fleet.rounds(random, 12)
			upToDate := 0
			for _, vm := range fleet.vms {
				if vm.Revision() == 2 {
					upToDate++
				}
			}
			is.Equal(upToDate, test.want)
			is.Equal(fleet.trustingVMs(), test.want)
		})
	}
}

func TestDivergedVMsReload(t *testing.T) {
	is := is.New(t)
	fleet, _ := ready(2, 2, 1)
	wrong := fleet.log[0]
	wrong.Puts = []configurator.Entry{{Path: "/a/services/s"}}
	fleet.restart(1)
	is.NoErr(fleet.vms[1].Apply([]configurator.Change{wrong}))
	fleet.exchange(0, 1)
	is.True(fleet.vms[0].Diverged())
	is.True(fleet.vms[1].Diverged())
	table, _ := configurator.Compile(fleet.reference.All())
	for _, vm := range fleet.vms {
		is.True(vm.Replace(fleet.reference.Clone(), table))
		is.True(!vm.Diverged())
	}
	fleet.exchange(0, 1)
	is.True(!fleet.vms[0].Diverged())
}

// An older state, such as that of a lagging peer, must never revert a VM.
func TestOldSnapshotIsRefused(t *testing.T) {
	is := is.New(t)
	fleet, _ := ready(2, 2, 1)
	old := fleet.vms[1].State()
	table, _ := configurator.Compile(old.All())
	fleet.recordChange()
	fleet.readStore(0)
	is.True(!fleet.vms[0].Replace(old, table))
	fleet.exchange(1, 0) // the lagging VM receives the change
	is.Equal(fleet.vms[0].Revision(), uint64(2))
	is.Equal(fleet.vms[1].Revision(), uint64(2))
}
