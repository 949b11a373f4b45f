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

// full adds the largest fleet to the measurements.
var full = flag.Bool("full", false, "measure fleets of 160 and 640 VMs too")

// TestInForceEverywhere measures, at several sizes, how long a change takes to
// every VM and to the operators' answer, and what it costs.
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
			first := network.record(1, organisation)
			network.startAll()
			is.True(network.await(time.Minute, func(vm *vm) bool { return vm.Revision() == first && vm.KeysKnown() }) < 3*time.Second)
			time.Sleep(time.Minute)
			idle := network.measure(func() { time.Sleep(measured) })
			const changes = 10
			busy := network.measure(func() {
				for range changes {
					network.record(1, organisation)
					time.Sleep(measured / changes)
				}
			})
			begin := time.Now()
			revision := network.record(1, organisation)
			everywhere := network.await(time.Minute, atLeast(revision))
			report, err := network.wait(revision)
			is.NoErr(err)
			t.Logf("%d VMs: in force everywhere after %v, operator told after %v", size, everywhere, time.Since(begin).Round(time.Millisecond))
			t.Logf("idle: %.0f reads/s, %.1f writes/s, %.0f bytes/s sent by a VM", idle.reads, idle.writes, idle.bytes/float64(size))
			t.Logf("a change: %.0f reads, %.0f writes, %.0f bytes sent by a VM", (busy.reads-idle.reads)*measured.Seconds()/changes,
				(busy.writes-idle.writes)*measured.Seconds()/changes, (busy.bytes-idle.bytes)/float64(size)*measured.Seconds()/changes)
			is.True(everywhere < 3*time.Second)
			is.Equal(report, waiter.Report{Revision: revision, InForce: true, Confirmed: size})
		})
	}
}

// wait asks as the operators' command does.
func (network *network) wait(revision uint64) (waiter.Report, error) {
	ctx, cancel := context.WithTimeout(network.t.Context(), time.Minute)
	defer cancel()
	return (&waiter.Waiter{Platform: network.platform}).Wait(ctx, revision, nil)
}

// measured is how long rates are measured.
const measured = 40 * time.Second

// rates are what the whole fleet does in a second.
type rates struct {
	reads, writes, bytes float64
}

func (network *network) measure(work func()) rates {
	counts, bytes := network.platform.Counts(), network.bytes.Load()
	work()
	after := network.platform.Counts()
	return rates{
		reads: float64(after.Reads-counts.Reads) / measured.Seconds(), writes: float64(after.Writes-counts.Writes) / measured.Seconds(),
		bytes: float64(network.bytes.Load()-bytes) / measured.Seconds(),
	}
}

// TestStartWhileStoreIsAway proves that a VM which starts without the store
// gets the newest revision from its peers, when they still hold the changes
// and when only a snapshot leads there.
func TestStartWhileStoreIsAway(t *testing.T) {
	for _, changes := range []int{3, 600} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			network := newNetwork(t, 8)
			defer network.stopAll()
			for i := range 7 {
				network.start(i)
			}
			time.Sleep(2 * time.Second)
			newest := network.record(changes, organisation)
			is.True(network.await(10*time.Second, atLeast(newest)) < 10*time.Second)
			network.platform.SetFaults(faker.Faults{Outage: true})
			time.Sleep(time.Minute)
			network.start(7)
			is.True(network.await(10*time.Second, func(vm *vm) bool { return vm.Revision() == newest && vm.KeysKnown() }) < 4*time.Second)
		})
	}
}

// TestLostAndSlowAnswers proves that a change is recorded once and comes into
// force while the store is slow and loses the answers to writes.
func TestLostAndSlowAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork(t, 12)
		defer network.stopAll()
		network.record(1, organisation)
		network.startAll()
		time.Sleep(2 * time.Second)
		network.platform.SetFaults(faker.Faults{LoseAnswers: true, Delay: 600 * time.Millisecond})
		revision := network.record(1, organisation)
		is.True(network.await(time.Minute, atLeast(revision)) < 4*time.Second)
		report, err := network.wait(revision)
		is.NoErr(err)
		is.Equal(report, waiter.Report{Revision: revision, InForce: true, Confirmed: 12})
		is.True(network.await(time.Second, func(vm *vm) bool { return vm.KeysKnown() }) < time.Second)
	})
}

// TestStoreFaultsRefuseNobody proves that VMs which get no answer, or get it
// too late to rely on, vouch for one another at once, also with a crowd of VMs
// far from the readers.
func TestStoreFaultsRefuseNobody(t *testing.T) {
	sizes := []int{12, 40}
	if *full {
		sizes = append(sizes, 160, 640)
	}
	for _, size := range sizes {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			network := newNetwork(t, size)
			defer network.stopAll()
			network.record(1, organisation)
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
				t.Logf("%d VMs, %+v: %d of %d requests refused", size, faults, refused, 100*size)
				is.Equal(refused, 0) // no wrongful refusal
			}
		})
	}
}

// TestRestartAndLeave proves that a VM which starts cut off serves nothing, that
// its new process follows and confirms once it is reached, and that a VM which
// left is not waited for.
func TestRestartAndLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork(t, 12)
		defer network.stopAll()
		revision := network.record(1, organisation)
		network.startAll()
		time.Sleep(15 * time.Second)
		network.kill(5)
		network.faults.Store(isolated(5))
		network.start(5) // it can't put itself on record
		is.NoErr(network.vms[6].Leave(t.Context()))
		network.kill(6)
		network.vms[6].Syncer = nil
		report, err := network.wait(revision)
		is.NoErr(err)
		is.Equal(report.Confirmed, 11) // its predecessor is still the one on record
		is.True(!network.vms[5].KeysKnown())
		network.faults.Store(&whole)
		newest := network.record(1, organisation)
		is.True(network.await(time.Minute, func(vm *vm) bool { return vm.Revision() == newest && vm.KeysKnown() }) < 4*time.Second)
		report, err = network.wait(newest)
		is.NoErr(err)
		is.Equal(report, waiter.Report{Revision: newest, InForce: true, Confirmed: 11})
	})
}

// TestWithdrawnKeyStops proves that a withdrawal acts on admitted requests
// that wait, within 2 s where the network is whole and 3 s on a VM that is cut
// off, and that the operator is told the truth about that VM.
func TestWithdrawnKeyStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork(t, 40)
		defer network.stopAll()
		hash := configurator.KeyHash(sha256.Sum256([]byte("secret")))
		const customer, key = "/a/organisations/o", "/a/organisations/o/keys/k"
		network.record(1, func(change *configurator.Change) {
			change.Puts = []configurator.Entry{
				{Path: customer, Fields: []configurator.Field{{Name: "burst", Value: "5"}, {Name: "rate", Value: "5"}}},
				{Path: key, Fields: []configurator.Field{{Name: "sha-256", Value: hex.EncodeToString(hash[:])}}},
			}
		})
		network.startAll()
		valid := func(vm *vm) bool { return vm.StillValid(hash, customer) }
		is.True(network.await(time.Minute, valid) < 4*time.Second)
		is.True(!network.vms[0].StillValid(hash, "/a/organisations/other"))
		time.Sleep(15 * time.Second)
		network.faults.Store(isolated(9))
		revision := network.record(1, func(change *configurator.Change) { change.Deletes = []configurator.Path{key} })
		elsewhere := network.await(time.Minute, func(vm *vm) bool { return vm.peer.Name == "vm-009" || !valid(vm) })
		cutOff := elsewhere + network.await(time.Minute, func(vm *vm) bool { return !valid(vm) })
		t.Logf("the key stopped after %v, on the VM that is cut off after %v", elsewhere, cutOff)
		is.True(elsewhere < 2*time.Second)
		is.True(cutOff <= 3*time.Second+10*time.Millisecond)
		report, err := network.wait(revision)
		is.NoErr(err)
		is.Equal(report, waiter.Report{Revision: revision, InForce: true, Refusing: true, Confirmed: 39, Missing: []string{"vm-009"}})
	})
}

// TestEndedVMIsForgotten proves that the registration of a VM which died is
// taken back once the platform no longer lists it, and that a VM which lives
// registers anew.
func TestEndedVMIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork(t, 6)
		defer network.stopAll()
		network.record(1, organisation)
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
