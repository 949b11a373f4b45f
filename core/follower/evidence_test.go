package follower_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/timekeeper"
)

// ready returns a fleet in which every VM has confirmed revision 1.
func ready(size, centres, regions int) (*fleet, *rand.Rand) {
	fleet := newFleet(size, centres, regions)
	random := rand.New(rand.NewPCG(1, 1))
	fleet.record()
	fleet.turns(random, 4)
	return fleet, random
}

func (fleet *fleet) turns(random *rand.Rand, count int) {
	for range count {
		fleet.now += 500 * time.Millisecond
		fleet.turn(random)
	}
}

func (fleet *fleet) known() int {
	count := 0
	for _, vm := range fleet.vms {
		if vm.KeysKnown(fleet.reading()) {
			count++
		}
	}
	return count
}

func nobody(int) bool   { return true }
func all(_, _ int) bool { return true }

func TestOutageIsNoIsolation(t *testing.T) {
	is := is.New(t)
	fleet, random := ready(12, 6, 3)
	fleet.deaf = nobody
	for range 100 {
		fleet.turns(random, 1)
		is.Equal(fleet.known(), 12) // an outage for all refuses nobody
	}
	fleet.cut = all
	fleet.turns(random, 8)
	is.Equal(fleet.known(), 0) // alone, no VM can tell
}

func TestVMThatStartsDuringOutageServes(t *testing.T) {
	is := is.New(t)
	fleet, random := ready(12, 6, 3)
	fleet.deaf = nobody
	fleet.turns(random, 10)
	fleet.restart(5)
	fleet.turns(random, 4)
	is.Equal(fleet.vms[5].Revision(), uint64(1))
	is.Equal(fleet.known(), 12)
}

// TestUnregisteredVMIsNoWitness proves that VMs which nobody waits for can't
// make others serve.
func TestUnregisteredVMIsNoWitness(t *testing.T) {
	is := is.New(t)
	fleet, random := ready(4, 2, 1)
	fleet.deaf = nobody
	for i := range fleet.vms {
		fleet.restart(i)
		is.NoErr(fleet.vms[i].Apply(fleet.log))
		fleet.vms[i].Registered(fleet.reading())
	}
	fleet.turns(random, 8)
	is.Equal(fleet.known(), 0)
}

// TestSilenceOfVMsThatKnowMore proves that a VM which hears that the store is
// silent from VMs with a newer revision knows that it is behind.
func TestSilenceOfVMsThatKnowMore(t *testing.T) {
	is := is.New(t)
	fleet, _ := ready(3, 3, 1)
	fleet.record()
	for i := range 2 {
		fleet.read(i)
	}
	fleet.deaf = nobody
	fleet.now += 7 * time.Second
	for i := range 2 {
		fleet.read(i)
	}
	fleet.now += time.Second
	is.True(!fleet.vms[2].KeysKnown(fleet.reading()))
	for i := range 2 {
		answer := fleet.serve(fleet.send(2, i)).answer
		answer.Changes = nil // the VM knows of the revision but can't get it
		_, err := fleet.vms[2].Hear(fleet.reading(), fleet.reading(), answer)
		is.NoErr(err)
	}
	is.Equal(fleet.vms[2].Revision(), uint64(1))
	is.True(!fleet.vms[2].KeysKnown(fleet.reading()))
	fleet.exchange(2, 0)
	is.True(fleet.vms[2].KeysKnown(fleet.reading()))
}

// TestLateAnswerIsOld proves that evidence ages while it is under way, also
// while the VM is suspended and its monotonic clock stands still.
func TestLateAnswerIsOld(t *testing.T) {
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
			flight := fleet.serve(fleet.send(1, 0))
			now := timekeeper.Reading{Mono: fleet.now + test.after.Mono, Wall: fleet.now + test.after.Wall}
			_, err := fleet.vms[1].Hear(flight.sent, now, flight.answer)
			is.NoErr(err)
			is.Equal(fleet.vms[1].Revision(), uint64(1))
			is.Equal(fleet.vms[1].KeysKnown(now), test.known)
		})
	}
}

// TestRegionCutOff proves that a region follows through others as long as
// there is a path, whichever side can open connections.
func TestRegionCutOff(t *testing.T) {
	for _, test := range []struct {
		name string
		cut  func(from, to int) bool // regions
		want int
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
			fleet.deaf = func(vm int) bool { return region(vm) == 2 }
			fleet.cut = func(from, to int) bool { return test.cut(region(from), region(to)) }
			fleet.turns(random, 12)
			fleet.record()
			fleet.turns(random, 12)
			follow := 0
			for _, vm := range fleet.vms {
				if vm.Revision() == 2 {
					follow++
				}
			}
			is.Equal(follow, test.want)
			is.Equal(fleet.known(), test.want)
		})
	}
}

func TestDivergedVMsLoadAnew(t *testing.T) {
	is := is.New(t)
	fleet, _ := ready(2, 2, 1)
	wrong := fleet.log[0]
	wrong.Puts = []configurator.Entry{{Path: "/a/services/s"}}
	fleet.restart(1)
	is.NoErr(fleet.vms[1].Apply([]configurator.Change{wrong}))
	fleet.exchange(0, 1)
	is.True(fleet.vms[0].Diverged())
	is.True(fleet.vms[1].Diverged())
	table, _ := configurator.Compile(fleet.naive.All())
	for _, vm := range fleet.vms {
		is.True(vm.Replace(fleet.naive.Clone(), table))
		is.True(!vm.Diverged())
	}
	fleet.exchange(0, 1)
	is.True(!fleet.vms[0].Diverged())
}

// TestOldSnapshotIsRefused proves that what a lagging peer holds never
// reverts a VM.
func TestOldSnapshotIsRefused(t *testing.T) {
	is := is.New(t)
	fleet, _ := ready(2, 2, 1)
	old := fleet.vms[1].State()
	table, _ := configurator.Compile(old.All())
	fleet.record()
	fleet.read(0)
	is.True(!fleet.vms[0].Replace(old, table))
	fleet.exchange(1, 0) // the lagging VM learns
	is.Equal(fleet.vms[0].Revision(), uint64(2))
	is.Equal(fleet.vms[1].Revision(), uint64(2))
}
