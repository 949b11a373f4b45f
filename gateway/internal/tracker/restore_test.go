package tracker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/platform"
	"godwitramp.example/platform/faker"
)

// restoreAfterLoss lets the configuration 11 be written after the copy, and restores it.
func restoreAfterLoss(fleet *fleet) {
	fleet.changeConfiguration(10, 1)
	snapshot := fleet.store.Snapshot()
	fleet.changeConfiguration(11, 1)
	fleet.store.Restore(snapshot)
}

// checkServing checks the version in force on a VM, and whether the VM may serve and trust keys.
func checkServing(t *testing.T, vm *member, version uint64, serves bool) {
	t.Helper()
	if index := vm.Index(); index == nil || index.Version != version {
		t.Errorf("VM %d has %v in force, must have %d", vm.rank, index, version)
	}
	if freshness := vm.freshness(); policy.MayServe(freshness) != serves || policy.MayTrustKeys(freshness) != serves {
		t.Errorf("VM %d: serves=%t, trusts-keys=%t, must be %t: %+v", vm.rank, policy.MayServe(freshness), policy.MayTrustKeys(freshness), serves, freshness)
	}
}

func TestChangeAfterRestoreIsInForceInTime(t *testing.T) {
	runFleet(t, 3, 1<<20, func(fleet *fleet) {
		fleet.changeConfiguration(10, 1)
		snapshot := fleet.store.Snapshot()
		for version := uint64(11); version < 20; version++ {
			fleet.putConfiguration(version, 1)
			time.Sleep(time.Second)
		}
		fleet.store.Restore(snapshot)
		time.Sleep(time.Second)
		fleet.changeConfiguration(20, 1)
	})
}

// The store gives version 11 of its rows out again, with another configuration, and has the
// history since, so that no VM gets an error.
func TestVersionGivenOutAgainHidesNoChange(t *testing.T) {
	runFleet(t, 3, 1<<20, func(fleet *fleet) {
		restoreAfterLoss(fleet)
		fleet.changeConfiguration(12, 1)
	})
}

// A VM that was cut off through the restore waits after a version that was given out again.
func TestVersionGivenOutAgainHidesNoChangeFromAVMThatWasCutOff(t *testing.T) {
	runFleet(t, 3, 1<<20, func(fleet *fleet) {
		fleet.changeConfiguration(10, 1)
		snapshot := fleet.store.Snapshot()
		fleet.changeConfiguration(11, 1)
		fleet.members()[0].link.Cut()
		time.Sleep(5 * time.Second)
		fleet.store.Restore(snapshot)
		fleet.putConfiguration(12, 1)
		time.Sleep(5 * time.Second)
		fleet.members()[0].link.Restore()
		time.Sleep(5 * time.Second)
		for _, member := range fleet.members() {
			checkServing(t, member, 12, true)
		}
	})
}

func TestConfigurationInForceDoesNotFallOverARestore(t *testing.T) {
	runFleet(t, 3, 1<<20, func(fleet *fleet) {
		restoreAfterLoss(fleet)
		time.Sleep(10 * time.Second)
		for _, member := range fleet.members() {
			checkServing(t, member, 11, true)
			if age := time.Since(fleet.startTime) - member.AsOf(); age > fleetMaxStaleness {
				t.Errorf("the configuration of VM %d is %v old though the store has nothing newer", member.rank, age)
			}
		}
	})
}

// The stand-in breaks calls off while it is away, then a page of each era comes.
func TestTwoRestoresInQuickSuccession(t *testing.T) {
	runFleet(t, 3, answerBytes(manyRoutes), func(fleet *fleet) {
		fleet.changeConfiguration(10, manyRoutes)
		snapshot := fleet.store.Snapshot()
		fleet.changeConfiguration(11, manyRoutes)
		for range 4 {
			fleet.store.Restore(snapshot)
			time.Sleep(150 * time.Millisecond)
		}
		fleet.putConfiguration(11, manyRoutes)
		fleet.store.Restore(snapshot)
		fleet.changeConfiguration(12, manyRoutes)
	})
}

// After a restore, a VM must not count as fresh, nor take rows, by claims about the time before.
func TestClaimsOfAnEndedEraAreIgnored(t *testing.T) {
	runFleet(t, 2, 1<<20, func(fleet *fleet) {
		fleet.changeConfiguration(10, 1)
		snapshot := fleet.store.Snapshot()
		fleet.changeConfiguration(11, 1)
		second := fleet.members()[1]
		old := fleet.members()[0].Claims()
		fleet.store.Restore(snapshot)
		fleet.changeConfiguration(12, 1)
		asOf := second.AsOf()
		for _, claim := range old {
			claim.StoreTime += time.Hour
			claim.Version += 100
			claim.After = 1
			claim.Rows = []platform.Row{{Table: claim.Table, Key: "forged", Version: claim.Version, Value: []byte("{}")}}
			second.HandleClaim(claim)
		}
		if second.AsOf() != asOf || second.Behind() {
			t.Errorf("a claim of an ended era changed the VM: as of %v, then %v, behind=%t", asOf, second.AsOf(), second.Behind())
		}
	})
}

func TestRestoredConfigurationOfTheSameVersionIsTheStoresTruth(t *testing.T) {
	runFleet(t, 2, 1<<20, func(fleet *fleet) {
		restoreAfterLoss(fleet)
		time.Sleep(time.Second)
		fleet.putConfiguration(11, 7)
		time.Sleep(fleetMaxStaleness)
		for _, member := range fleet.members() {
			if routes := len(member.Index().Routes); routes != 7 {
				t.Errorf("VM %d has %d routes, must have the 7 that the store acknowledged last", member.rank, routes)
			}
		}
	})
}

// Targets that registered after the copy must have time to write their entries again.
func TestEntriesMissingInTheCopyLapse(t *testing.T) {
	store, address := newStore(t, "a", "b")
	snapshot := store.Snapshot()
	putTarget(store, "c", "ready")
	putTarget(store, "d", "ready")
	vm := start(t, address, &group{})
	waitUntil(t, "configuration and targets are read", func() bool { return vm.Complete() && vm.has("a", "b", "c", "d") })
	store.Restore(snapshot)
	putTarget(store, "e", "ready")
	waitUntil(t, "the VM has read the copy and kept the targets", func() bool { return vm.has("a", "b", "c", "d", "e") })
	putTarget(store, "c", "ready")
	waitUntil(t, "the target that did not write again is gone", func() bool { return vm.has("a", "b", "c", "e") })
}

func TestStoreThatIsAwayDuringARestore(t *testing.T) {
	for _, faults := range []faker.Faults{{Refuse: 503}, {Silent: true}, {Delay: 300 * time.Millisecond}} {
		runFleet(t, 3, 1<<20, func(fleet *fleet) {
			fleet.changeConfiguration(10, 1)
			snapshot := fleet.store.Snapshot()
			fleet.changeConfiguration(11, 1)
			fleet.store.SetFaults(faults)
			time.Sleep(time.Second)
			fleet.store.Restore(snapshot)
			time.Sleep(time.Second)
			fleet.store.SetFaults(faker.Faults{})
			time.Sleep(500 * time.Millisecond)
			fleet.changeConfiguration(12, 1)
		})
	}
}

// The copy lacks the configuration 11, which may have withdrawn a key. The VMs that hold it may
// be cut off from the store.
func TestVMThatStartsFromTheCopyDoesNotServeByIt(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		runFleet(t, 3, 1<<20, func(fleet *fleet) {
			fleet.changeConfiguration(10, 1)
			snapshot := fleet.store.Snapshot()
			fleet.changeConfiguration(11, 1)
			fleet.kill(2)
			if cutOff {
				fleet.members()[0].link.Cut()
				fleet.members()[1].link.Cut()
			}
			fleet.store.Restore(snapshot)
			fleet.start(2, 1<<20)
			time.Sleep(time.Second)
			started := fleet.members()[2]
			for range 20 {
				checkServing(t, started, 10, false)
				if policy.MayRejectUnknown(started.freshness()) {
					t.Error("a VM rejects by a configuration that is withheld")
				}
				time.Sleep(time.Second)
			}
			fleet.putConfiguration(11, 1)
			time.Sleep(fleetMaxStaleness)
			checkServing(t, started, 11, true)
			if cutOff {
				fleet.members()[0].link.Restore()
				fleet.members()[1].link.Restore()
			}
		})
	}
}

// A VM that had not read the configuration 11 before the restore may use 10 for as long as if
// there had been no restore.
func TestVMThatLackedWhatTheCopyLacksAgesOn(t *testing.T) {
	runFleet(t, 3, 1<<20, func(fleet *fleet) {
		fleet.changeConfiguration(10, 1)
		snapshot := fleet.store.Snapshot()
		late := fleet.members()[2]
		late.link.Cut()
		time.Sleep(20 * time.Millisecond)
		late.down.Store(true) // no claims either
		fleet.putConfiguration(11, 1)
		time.Sleep(500 * time.Millisecond)
		fleet.store.Restore(snapshot)
		late.link.Restore()
		late.down.Store(false)
		time.Sleep(time.Second)
		checkServing(t, late, 10, true)
		time.Sleep(fleetMaxStaleness)
		checkServing(t, late, 10, false)
		fleet.store.Restore(snapshot)
		time.Sleep(fleetMaxStaleness)
		checkServing(t, late, 10, false)
		fleet.putConfiguration(12, 1)
		time.Sleep(fleetMaxStaleness)
		checkServing(t, late, 12, true)
	})
}

// In an ordinary change, the VMs that have it already must not make the others refuse.
func TestOrdinaryChangeWithholdsNothing(t *testing.T) {
	runFleet(t, 3, answerBytes(manyRoutes), func(fleet *fleet) {
		restoreAfterLoss(fleet)
		time.Sleep(fleetMaxStaleness)
		for version := uint64(12); version < 20; version++ {
			fleet.putConfiguration(version, manyRoutes)
			for range 20 {
				time.Sleep(100 * time.Millisecond)
				for _, member := range fleet.members() {
					if freshness := member.freshness(); !policy.MayTrustKeys(freshness) {
						t.Errorf("VM %d refuses during a change: %+v", member.rank, freshness)
					}
				}
			}
		}
	})
}

// putEntry writes a target's entry with a start and a number of writes since.
func putEntry(store *faker.Store, id, state string, born, sequence int) {
	store.Put(platform.TargetTable, "", id, fmt.Appendf(nil,
		`{"Service":"s","Address":"10.0.0.1:80","Zone":"z","Version":"v1","WarmupRemaining":"0ms","Slots":4,"State":%q,"Sequence":%d,"born":%d}`, state, sequence, born))
}

// knows reports whether the VM has the target.
func (vm *vm) knows(id string) bool {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	_, ok := vm.targets[id]
	return ok
}

// leaving reports whether the VM has the target and knows that it is leaving.
func (vm *vm) leaving(id string) bool {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	return vm.targets[id].Leaving
}

// The copy says that leaving targets are ready and has entries of targets that are gone, at
// whose addresses others may live.
func TestTargetsThatLeftStayAwayOverARestore(t *testing.T) {
	is := is.New(t)
	store, address := newStore(t, "a")
	for _, id := range []string{"leaving", "gone", "restarted"} {
		putEntry(store, id, "ready", 7, 3)
	}
	snapshot := store.Snapshot()
	vm := start(t, address, &group{})
	waitUntil(t, "configuration and targets are read", func() bool { return vm.Complete() && vm.has("a", "leaving", "gone", "restarted") })
	putEntry(store, "leaving", "draining", 7, 4)
	store.Delete(platform.TargetTable, "", "gone")
	store.Delete(platform.TargetTable, "", "restarted")
	waitUntil(t, "the VM has the changes", func() bool { return vm.has("a", "leaving") && vm.leaving("leaving") })
	for i, marker := range []string{"first", "second", "third"} {
		if i == 1 {
			store.ForgetHistory() // the table is read once more
		} else {
			store.Restore(snapshot)
		}
		putEntry(store, "restarted", "ready", 8, 1)
		putTarget(store, marker, "ready")
		waitUntil(t, "the VM has read the table", func() bool { return vm.knows(marker) && vm.knows("restarted") })
		is.True(vm.leaving("leaving"))
		is.True(!vm.knows("gone"))
	}
	putEntry(store, "leaving", "ready", 7, 5)
	putEntry(store, "gone", "ready", 7, 5)
	waitUntil(t, "targets that write again are taken as they are", func() bool {
		return vm.knows("gone") && !vm.leaving("leaving")
	})
}

// The copy brings back an entry of a target from before it started again: requests must not go
// to the address of the earlier start.
func TestEarlierStartOfATargetIsNotBelievedAfterARestore(t *testing.T) {
	is := is.New(t)
	store, address := newStore(t, "a")
	putEntry(store, "up", "ready", 7, 3)
	putEntry(store, "gone", "ready", 7, 3)
	snapshot := store.Snapshot()
	vm := start(t, address, &group{})
	waitUntil(t, "configuration and targets are read", func() bool { return vm.Complete() && vm.has("a", "up", "gone") })
	putEntry(store, "up", "ready", 8, 1)
	putEntry(store, "gone", "ready", 8, 1)
	waitUntil(t, "the VM has the later starts", func() bool { return vm.incarnation("up") == 8 && vm.incarnation("gone") == 8 })
	store.Delete(platform.TargetTable, "", "gone")
	waitUntil(t, "the target has gone", func() bool { return !vm.knows("gone") })
	store.Restore(snapshot)
	putTarget(store, "marker", "ready")
	waitUntil(t, "the VM has read the copy", func() bool { return vm.knows("marker") })
	is.Equal(vm.incarnation("up"), int64(8))
	is.True(!vm.knows("gone"))
	putEntry(store, "up", "draining", 8, 2)
	waitUntil(t, "a target that writes again is taken as it is", func() bool { return vm.leaving("up") })
}

// Within an era, an entry with fewer writes is taken as it is if the target has started again, and counts anew.
// Of the same start, it was sent before the target's report and performed late.
func TestEntryWithFewerWritesIsTakenWithinAnEra(t *testing.T) {
	is := is.New(t)
	store, address := newStore(t, "a")
	putEntry(store, "b", "draining", 7, 9)
	vm := start(t, address, &group{})
	waitUntil(t, "configuration and targets are read", func() bool { return vm.Complete() && vm.has("a", "b") })
	putEntry(store, "b", "ready", 7, 1)
	putTarget(store, "marker", "ready")
	waitUntil(t, "the late entry is read", func() bool { return vm.knows("marker") })
	is.True(vm.leaving("b"))
	putEntry(store, "b", "ready", 8, 1)
	waitUntil(t, "the target is ready again", func() bool { return !vm.leaving("b") })
}

// A VM that has read the copy, and is cut off before the configuration 11 is written again, must
// not count as fresh as of a time at which 11 was in force.
func TestVersionThatWasLostIsKnownAsLostOnceItIsWrittenAgain(t *testing.T) {
	runFleet(t, 3, 1<<20, func(fleet *fleet) {
		fleet.changeConfiguration(10, 1)
		snapshot := fleet.store.Snapshot()
		late := fleet.members()[2]
		late.link.Cut()
		late.down.Store(true) // no claims either
		fleet.putConfiguration(11, 1)
		time.Sleep(500 * time.Millisecond)
		lost := time.Since(fleet.startTime)
		fleet.store.Restore(snapshot)
		late.link.Restore()
		time.Sleep(fleetMaxStaleness)
		late.link.Cut()
		fleet.putConfiguration(11, 1)
		time.Sleep(500 * time.Millisecond)
		late.down.Store(false)
		time.Sleep(600 * time.Millisecond)
		if asOf := late.AsOf(); asOf >= lost || !late.Behind() {
			t.Errorf("VM 2 takes version 10 for the newest as of %v, 11 was in force before %v; behind=%t", asOf, lost, late.Behind())
		}
		late.link.Restore()
		time.Sleep(fleetMaxStaleness)
		checkServing(t, late, 11, true)
	})
}

// An answer with the changes of another era can't be used: a VM must not wait for the end of its
// transfer, which takes 1.7 s, before it reads the table.
func TestUselessTransferOfANewEraIsBrokenOff(t *testing.T) {
	runFleet(t, 3, answerBytes(manyRoutes)*10/17, func(fleet *fleet) {
		fleet.changeConfiguration(10, 1)
		snapshot := fleet.store.Snapshot()
		fleet.changeConfiguration(11, 1)
		fleet.store.Restore(snapshot)
		fleet.putConfiguration(12, 1)
		fleet.changeConfiguration(13, manyRoutes)
	})
}

// incarnation returns that of a target, 0 if the VM doesn't have it.
func (vm *vm) incarnation(id string) int64 {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	return vm.targets[id].Incarnation
}
