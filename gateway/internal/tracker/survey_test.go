package tracker_test

import (
	"testing"
	"time"

	"godwitramp.example/platform/faker"
)

// runDataCentres runs a test on a fleet with the given number of VMs in each of three data centres. The first
// VMs are those of the first data centre.
func runDataCentres(t *testing.T, each, bytesPerSecond int, test func(fleet *fleet)) {
	runFleet(t, 0, bytesPerSecond, func(fleet *fleet) {
		fleet.dataCentres = make(map[int]string)
		for rank := range 3 * each {
			fleet.dataCentres[rank] = []string{"a", "b", "c"}[rank/each]
		}
		for rank := range 3 * each {
			fleet.start(rank, bytesPerSecond)
		}
		time.Sleep(10 * time.Second)
		fleet.changeConfiguration(10, 1)
		test(fleet)
	})
}

// withdraw turns VMs away from the store, and lets it lose a configuration that was acknowledged then, in which a
// key may have been withdrawn. It comes back after the bound for withdrawn keys, half a second after it went.
func withdraw(fleet *fleet, turnedAway ...*member) faker.Snapshot {
	snapshot := fleet.store.Snapshot()
	for _, vm := range turnedAway {
		vm.turnAway()
	}
	time.Sleep(500 * time.Millisecond)
	fleet.putConfiguration(11, 1)
	time.Sleep(5500 * time.Millisecond)
	restoreFor(fleet, snapshot, turnedAway...)
	return snapshot
}

// restoreFor restores the store after half a second, for VMs that it has turned away too.
func restoreFor(fleet *fleet, snapshot faker.Snapshot, turnedAway ...*member) {
	fleet.store.SetFaults(faker.Faults{Refuse: 503})
	time.Sleep(500 * time.Millisecond)
	fleet.store.Restore(snapshot)
	fleet.store.SetFaults(faker.Faults{})
	for _, vm := range turnedAway {
		vm.turnedAway.Store(false)
	}
}

// checkDistrust checks all the while that none of the VMs trusts keys.
func checkDistrust(duration time.Duration, vms ...*member) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, vm := range vms {
			if vm.Index() == nil {
				continue
			}
			if freshness := vm.freshness(); policy.MayTrustKeys(freshness) || policy.MayRejectUnknown(freshness) {
				vms[0].fleet.t.Errorf("VM %d trusts keys %v before the end, with version %d: %+v", vm.rank, time.Until(end), vm.Index().Version, freshness)
				return
			}
		}
	}
}

// checkTrust checks that all VMs trust keys within the time, and from then on.
func checkTrust(within time.Duration, vms ...*member) {
	time.Sleep(within)
	for range 200 {
		for _, vm := range vms {
			if freshness := vm.freshness(); !policy.MayTrustKeys(freshness) {
				vms[0].fleet.t.Errorf("VM %d doesn't trust keys, with version %d: %+v", vm.rank, vm.Index().Version, freshness)
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// A VM that the store turned away until it came back from a copy took that for the newest, and accepted a key that
// had been withdrawn meanwhile: no VM of its data centre knew better, and it never asked those of the others.
func TestVMThatWasTurnedAwayAcceptsAWithdrawnKeyOfTheCopy(t *testing.T) {
	for _, each := range []int{1, 2} { // the store turns the whole data centre away
		runDataCentres(t, each, 1<<20, func(fleet *fleet) {
			turnedAway := fleet.members()[:each]
			withdraw(fleet, turnedAway...)
			checkDistrust(8*time.Second, turnedAway...)
			fleet.putConfiguration(11, 1)
			checkTrust(fleetMaxStaleness, fleet.members()...)
		})
	}
}

// The same holds for a VM that no other one reaches, until the operator has written again.
func TestVMThatHearsNoOtherAcceptsAWithdrawnKeyOfTheCopy(t *testing.T) {
	runDataCentres(t, 1, 1<<20, func(fleet *fleet) {
		vm := fleet.members()[0]
		vm.down.Store(true)
		withdraw(fleet, vm)
		checkDistrust(time.Minute, vm)
		fleet.putConfiguration(11, 1)
		checkTrust(fleetMaxStaleness, vm)
	})
}

// A VM alone in its data centre that is started again after the restore must not take the copy for the newest either,
// whether it hears the others or not.
func TestDataCentreThatStartsFromTheCopyServesAWithdrawnKey(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		runDataCentres(t, 2, 1<<20, func(fleet *fleet) {
			fleet.kill(0)
			fleet.kill(1)
			withdraw(fleet)
			fleet.start(0, 1<<20)
			fleet.start(1, 1<<20)
			started := fleet.members()[:2]
			if cutOff {
				for _, vm := range fleet.members()[2:] {
					vm.down.Store(true)
				}
			}
			checkDistrust(20*time.Second, started...)
			fleet.putConfiguration(11, 1)
			checkTrust(fleetMaxStaleness, started...)
		})
	}
}

// The copy may hold a newer configuration than the VM that was turned away, or an older one, and still lack the
// newest.
func TestCopyOfAnotherVersionHidesAWithdrawnKey(t *testing.T) {
	for _, beforeCopy := range []uint64{9, 11} {
		runDataCentres(t, 1, 1<<20, func(fleet *fleet) {
			vm := fleet.members()[0]
			older := fleet.store.Snapshot()
			if beforeCopy < 10 {
				fleet.store.Restore(older)
				fleet.putConfiguration(9, 1)
				older = fleet.store.Snapshot()
				time.Sleep(fleetMaxStaleness)
			}
			vm.turnAway()
			time.Sleep(300 * time.Millisecond)
			if beforeCopy > 10 {
				fleet.putConfiguration(11, 1)
				older = fleet.store.Snapshot()
			}
			time.Sleep(300 * time.Millisecond)
			fleet.putConfiguration(12, 1)
			time.Sleep(5500 * time.Millisecond)
			restoreFor(fleet, older, vm)
			checkDistrust(8*time.Second, vm)
			fleet.putConfiguration(12, 1)
			checkTrust(fleetMaxStaleness, fleet.members()...)
		})
	}
}

func TestTwoRestoresInARowHideAWithdrawnKey(t *testing.T) {
	for _, pause := range []time.Duration{10 * time.Millisecond, 200 * time.Millisecond, 3 * time.Second} {
		runDataCentres(t, 1, 1<<20, func(fleet *fleet) {
			vm := fleet.members()[0]
			snapshot := withdraw(fleet, vm)
			time.Sleep(pause)
			restoreFor(fleet, snapshot)
			checkDistrust(8*time.Second, vm)
			fleet.putConfiguration(11, 1)
			checkTrust(fleetMaxStaleness, fleet.members()...)
		})
	}
}

// Datagrams may be lost as the survey begins.
func TestLostAnswersHideAWithdrawnKey(t *testing.T) {
	runDataCentres(t, 2, 1<<20, func(fleet *fleet) {
		turnedAway := fleet.members()[:2]
		fleet.dropClaims.Store(true)
		withdraw(fleet, turnedAway...)
		checkDistrust(900*time.Millisecond, turnedAway...)
		fleet.dropClaims.Store(false)
		checkDistrust(8*time.Second, turnedAway...)
	})
}

// If the store has lost nothing, a VM that it turned away until the restore accepts keys at once, and the others go
// on to, also if nothing is written afterwards.
func TestGoodKeysAreRefusedAfterARestore(t *testing.T) {
	for _, each := range []int{1, 2} {
		runDataCentres(t, each, 1<<20, func(fleet *fleet) {
			turnedAway, others := fleet.members()[:each], fleet.members()[each:]
			for _, vm := range turnedAway {
				vm.turnAway()
			}
			time.Sleep(8 * time.Second)
			snapshot := fleet.store.Snapshot()
			fleet.running.Go(func() { checkTrust(0, others...) })
			restoreFor(fleet, snapshot, turnedAway...)
			checkTrust(time.Second, fleet.members()...) // the VM calls the store again within 0.8 s
		})
	}
}

// VMs that start on a store that was restored long ago accept keys as soon as others have answered.
func TestGoodKeysAreRefusedByVMsThatStartAfterARestore(t *testing.T) {
	for _, each := range []int{1, 2} {
		runDataCentres(t, each, 1<<20, func(fleet *fleet) {
			restoreFor(fleet, fleet.store.Snapshot())
			time.Sleep(time.Minute)
			for rank := range each {
				fleet.kill(rank)
			}
			for rank := range each {
				fleet.start(rank, 1<<20)
			}
			checkTrust(200*time.Millisecond, fleet.members()...)
		})
	}
}

// After an outage for all VMs that ends with a restore nobody knows what was acknowledged meanwhile. Once all have
// said so, the VMs serve.
func TestFleetServesAgainAfterALongOutageAndARestore(t *testing.T) {
	for _, size := range []int{1, 3} {
		run := func(fleet *fleet) {
			fleet.store.SetFaults(faker.Faults{Silent: true})
			time.Sleep(10 * time.Second)
			fleet.store.Restore(fleet.store.Snapshot())
			fleet.store.SetFaults(faker.Faults{})
			checkTrust(fleetMaxStaleness, fleet.members()...)
		}
		if size == 1 {
			runFleet(t, 1, 1<<20, run)
		} else {
			runDataCentres(t, 1, 1<<20, run)
		}
	}
}

// A data centre that is lost must not keep the others from serving after a restore.
func TestLostDataCentreHoldsUpNoOther(t *testing.T) {
	runDataCentres(t, 2, 1<<20, func(fleet *fleet) {
		fleet.kill(4)
		fleet.kill(5)
		time.Sleep(5 * time.Second)
		restoreFor(fleet, fleet.store.Snapshot())
		checkTrust(0, fleet.members()[:4]...)
	})
}

// Beside VMs of an earlier version, which say less, a VM that was up to date serves on and one that starts long after
// a restore serves soon, but one that was turned away distrusts the copy.
func TestSurveyBesideOlderVMs(t *testing.T) {
	runDataCentres(t, 1, 1<<20, func(fleet *fleet) {
		fleet.older.Store(true)
		vm := fleet.members()[0]
		withdraw(fleet, vm)
		checkDistrust(8*time.Second, vm)
		fleet.putConfiguration(11, 1)
		checkTrust(fleetMaxStaleness, vm)
		fleet.kill(0)
		fleet.start(0, 1<<20)
		checkTrust(1500*time.Millisecond, fleet.members()...)
	})
	runDataCentres(t, 2, 1<<20, func(fleet *fleet) {
		fleet.older.Store(true)
		restoreFor(fleet, fleet.store.Snapshot())
		checkTrust(0, fleet.members()...)
	})
}

// The last VM of a fleet must not refuse keys for good after a restore: the others, which it still knows, can't answer.
func TestLastVMOfAFleetServesAgainAfterARestore(t *testing.T) {
	runDataCentres(t, 1, 1<<20, func(fleet *fleet) {
		fleet.kill(1)
		fleet.kill(2)
		time.Sleep(5 * time.Second)
		restoreFor(fleet, fleet.store.Snapshot())
		checkTrust(time.Minute, fleet.members()[0])
	})
}
