package syncer_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/configurator"
	"godwitramp.example/shell/connector"
	"godwitramp.example/shell/faker"
	"godwitramp.example/shell/waiter"
)

// full adds fleets of 160 and 640 VMs to the measurements.
var full = flag.Bool("full", false, "measure fleets of 160 and 640 VMs too")

// TestInForceEverywhere measures, at several fleet sizes, how long a change
// takes to reach every VM and the operator, and what it costs.
func TestInForceEverywhere(t *testing.T) {
	sizes := []int{40}
	if *full {
		sizes = append(sizes, 160, 640)
	}
	for _, size := range sizes {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			network := newNetwork(t, size)
			defer network.stopAll()
			first := network.record(1, putOrganisation)
			network.startAll()
			is.True(network.await(time.Minute, func(vm *vm) bool { return vm.Revision() == first && vm.KeysKnown() }) < 3*time.Second)
			time.Sleep(time.Minute)
			idle := network.measure(func() { time.Sleep(measurementTime) })
			const changes = 10
			busy := network.measure(func() {
				for range changes {
					network.record(1, putOrganisation)
					time.Sleep(measurementTime / changes)
				}
			})
			recordedAt := time.Now()
			revision := network.record(1, putOrganisation)
			inForceTime := network.await(time.Minute, atLeast(revision))
			report, err := network.awaitReport(revision)
			is.NoErr(err)
			t.Logf("%d VMs: in force on all VMs after %v, reported to the operator after %v", size, inForceTime, time.Since(recordedAt).Round(time.Millisecond))
			t.Logf("idle: %.0f reads/s, %.1f writes/s, %.0f bytes/s sent by a VM", idle.reads, idle.writes, idle.bytes/float64(size))
			t.Logf("a change: %.0f reads, %.0f writes, %.0f bytes sent by a VM", (busy.reads-idle.reads)*measurementTime.Seconds()/changes,
				(busy.writes-idle.writes)*measurementTime.Seconds()/changes, (busy.bytes-idle.bytes)/float64(size)*measurementTime.Seconds()/changes)
			is.True(inForceTime < 3*time.Second)
			is.Equal(report, waiter.Report{Revision: revision, InForce: true, Confirmed: size})
		})
	}
}

// awaitReport waits as the operators' command does.
func (network *network) awaitReport(revision uint64) (waiter.Report, error) {
	ctx, cancel := context.WithTimeout(network.t.Context(), time.Minute)
	defer cancel()
	return (&waiter.Waiter{Platform: network.platform}).Wait(ctx, revision, nil)
}

// measurementTime is how long rates are measured.
const measurementTime = 40 * time.Second

// fleetRates are the operations of the whole fleet per second.
type fleetRates struct {
	reads, writes, bytes float64
}

func (network *network) measure(work func()) fleetRates {
	counts, bytes := network.platform.Counts(), network.bytes.Load()
	work()
	after := network.platform.Counts()
	return fleetRates{
		reads: float64(after.Reads-counts.Reads) / measurementTime.Seconds(), writes: float64(after.Writes-counts.Writes) / measurementTime.Seconds(),
		bytes: float64(network.bytes.Load()-bytes) / measurementTime.Seconds(),
	}
}

// A VM that starts while the store is unavailable gets the newest revision from
// its peers, both when they still hold the changes and when it needs a snapshot.
func TestStartDuringStoreOutage(t *testing.T) {
	for _, changes := range []int{3, 600} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			network := newNetwork(t, 8)
			defer network.stopAll()
			for i := range 7 {
				network.start(i)
			}
			time.Sleep(2 * time.Second)
			newest := network.record(changes, putOrganisation)
			is.True(network.await(10*time.Second, atLeast(newest)) < 10*time.Second)
			network.platform.SetFaults(faker.Faults{Outage: true})
			time.Sleep(time.Minute)
			network.start(7)
			is.True(network.await(10*time.Second, func(vm *vm) bool { return vm.Revision() == newest && vm.KeysKnown() }) < 4*time.Second)
		})
	}
}

// A change is recorded once and comes into force while the store is slow and
// loses the answers to writes.
func TestChangeTakesEffectWhileStoreLosesAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork(t, 12)
		defer network.stopAll()
		network.record(1, putOrganisation)
		network.startAll()
		time.Sleep(2 * time.Second)
		network.platform.SetFaults(faker.Faults{LoseAnswers: true, Delay: 600 * time.Millisecond})
		revision := network.record(1, putOrganisation)
		is.True(network.await(time.Minute, atLeast(revision)) < 4*time.Second)
		report, err := network.awaitReport(revision)
		is.NoErr(err)
		is.Equal(report, waiter.Report{Revision: revision, InForce: true, Confirmed: 12})
		is.True(network.await(time.Second, func(vm *vm) bool { return vm.KeysKnown() }) < time.Second)
	})
}

// VMs that get no answer from the store, or get it too late to rely on, accept
// one another's evidence at once, also when most VMs are far from the readers.
func TestStoreFaultsCauseNoRefusals(t *testing.T) {
	sizes := []int{12, 40}
	if *full {
		sizes = append(sizes, 160, 640)
	}
	for _, size := range sizes {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			network := newNetwork(t, size)
			defer network.stopAll()
			network.record(1, putOrganisation)
			network.startAll()
			time.Sleep(5 * time.Second)
			for _, faults := range []faker.Faults{
				{Outage: true}, {}, {Hang: true}, {Delay: 300 * time.Millisecond}, {Delay: time.Second}, {Delay: 2500 * time.Millisecond}, {Delay: 5 * time.Second},
			} {
				network.platform.SetFaults(faults)
				refused := 0
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					for _, vm := range network.vms {
						if !vm.KeysKnown() {
							refused++
						}
					}
				}
				t.Logf("%d VMs, %+v: %d of %d checks refused", size, faults, refused, 100*size)
				is.Equal(refused, 0) // no wrongful refusal
			}
		})
	}
}

// A VM that restarts while isolated serves nothing and catches up and confirms
// once it is reachable; a VM that has deregistered is not waited for.
func TestRestartedVMCatchesUpAndDeregisteredVMIsNotAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork(t, 12)
		defer network.stopAll()
		revision := network.record(1, putOrganisation)
		network.startAll()
		time.Sleep(15 * time.Second)
		network.kill(5)
		network.faults.Store(isolated(5))
		network.start(5) // it can't register
		is.NoErr(network.vms[6].Deregister(t.Context()))
		network.kill(6)
		network.vms[6].Syncer = nil
		report, err := network.awaitReport(revision)
		is.NoErr(err)
		is.Equal(report.Confirmed, 11) // the registration is still its predecessor's
		is.True(!network.vms[5].KeysKnown())
		network.faults.Store(&noFaults)
		newest := network.record(1, putOrganisation)
		is.True(network.await(time.Minute, func(vm *vm) bool { return vm.Revision() == newest && vm.KeysKnown() }) < 4*time.Second)
		report, err = network.awaitReport(newest)
		is.NoErr(err)
		is.Equal(report, waiter.Report{Revision: newest, InForce: true, Confirmed: 11})
	})
}

// A withdrawal applies to admitted requests that still wait, within 2 s on
// connected VMs and within 3 s on an isolated VM, and the operator's report
// names that VM as missing.
func TestWithdrawnKeyStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork(t, 40)
		defer network.stopAll()
		hash := configurator.KeyHash(sha256.Sum256([]byte("secret")))
		const organisation, key = "/a/organisations/o", "/a/organisations/o/keys/k"
		network.record(1, func(change *configurator.Change) {
			change.Puts = []configurator.Entry{
				{Path: organisation, Fields: []configurator.Field{{Name: "burst", Value: "5"}, {Name: "rate", Value: "5"}}},
				{Path: key, Fields: []configurator.Field{{Name: "sha-256", Value: hex.EncodeToString(hash[:])}}},
			}
		})
		network.startAll()
		valid := func(vm *vm) bool { return vm.StillValid(hash, organisation) }
		is.True(network.await(time.Minute, valid) < 4*time.Second)
		is.True(!network.vms[0].StillValid(hash, "/a/organisations/other"))
		time.Sleep(15 * time.Second)
		network.faults.Store(isolated(9))
		revision := network.record(1, func(change *configurator.Change) { change.Deletes = []configurator.Path{key} })
		connectedTime := network.await(time.Minute, func(vm *vm) bool { return vm.peer.Name == "vm-009" || !valid(vm) })
		isolatedTime := connectedTime + network.await(time.Minute, func(vm *vm) bool { return !valid(vm) })
		t.Logf("the key stopped after %v, on the isolated VM after %v", connectedTime, isolatedTime)
		is.True(connectedTime < 2*time.Second)
		is.True(isolatedTime <= 3*time.Second+10*time.Millisecond)
		report, err := network.awaitReport(revision)
		is.NoErr(err)
		is.Equal(report, waiter.Report{Revision: revision, InForce: true, Refusing: true, Confirmed: 39, Missing: []string{"vm-009"}})
	})
}

// The registration of a VM that died is deleted once the platform has stopped
// listing it for long enough; a running VM that the list leaves out registers
// again.
func TestEndedVMIsDeregistered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork(t, 6)
		defer network.stopAll()
		network.record(1, putOrganisation)
		network.startAll()
		network.platform.SetVMs([]connector.VM{{Name: "vm-000"}, {Name: "vm-001"}, {Name: "vm-002"}})
		time.Sleep(9 * time.Minute)
		network.kill(5) // dies; the list leaves out vm-003 and vm-004 by mistake
		registered := func() []string {
			var names []string
			registrations, err := network.records.Registrations(t.Context())
			is.NoErr(err)
			for _, registration := range registrations {
				names = append(names, registration.VM)
			}
			return names
		}
		is.Equal(len(registered()), 6)
		time.Sleep(3 * time.Minute)
		network.platform.SetVMs([]connector.VM{{Name: "vm-000"}, {Name: "vm-001"}, {Name: "vm-002"}, {Name: "vm-003"}, {Name: "vm-004"}})
		time.Sleep(6 * time.Minute)
		is.Equal(registered(), []string{"vm-000", "vm-001", "vm-002", "vm-003", "vm-004"})
	})
}
