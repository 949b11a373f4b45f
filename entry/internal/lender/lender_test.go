package lender_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"godwitramp.example/core/configurator"
	corelender "godwitramp.example/core/lender"
	"godwitramp.example/core/meter"
	"godwitramp.example/core/watcher"
	"godwitramp.example/entry/internal/lender"
	"godwitramp.example/shell/faker"
)

// fleet is several VMs in one process, with an in-memory network.
type fleet struct {
	platform *faker.Platform
	mutex    sync.Mutex
	services map[string]*lender.Service
	peers    []watcher.Peer
	table    *configurator.Table
	stops    map[string]context.CancelFunc
	group    sync.WaitGroup
	starts   uint64
}

var smallOrganisation = &configurator.Organisation{Path: "/kundsetu/organisations/bhuj-crews", Rate: 5, Burst: 5}

func newFleet(t *testing.T) *fleet {
	fields := []configurator.Field{{Name: "burst", Value: "5"}, {Name: "rate", Value: "5"}}
	budget := []configurator.Field{
		{Name: "burst", Value: "1MB"}, {Name: "from", Value: "kutch"}, {Name: "rate", Value: "100KB"}, {Name: "to", Value: "charotar"},
	}
	entries := []configurator.Entry{
		{Path: smallOrganisation.Path, Fields: fields}, {Path: "/kundsetu/budgets/spill", Fields: budget},
	}
	table, problems := configurator.Compile(slices.Values(entries))
	is.New(t).Equal(len(problems), 0)
	return &fleet{
		platform: faker.New(), services: make(map[string]*lender.Service), table: table,
		stops: make(map[string]context.CancelFunc),
	}
}

// Table returns the configuration.
func (fleet *fleet) Table() *configurator.Table {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.table
}

func (fleet *fleet) setTable(table *configurator.Table) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.table = table
}

// Revision returns the revision of the configuration.
func (fleet *fleet) Revision() uint64 {
	if fleet.Table() == nil {
		return 0
	}
	return 1
}

// member is one VM's view of the fleet.
type member struct {
	*fleet
	self watcher.Peer
}

// Self returns this VM.
func (member member) Self() watcher.Peer { return member.self }

// Live returns the VMs that run.
func (member member) Live() []watcher.Peer {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(member.peers), func(peer watcher.Peer) bool { return peer == member.self })
}

// Call calls the service of another VM.
func (member member) Call(ctx context.Context, address, method string, args, reply any) error {
	member.mutex.Lock()
	service := member.services[address]
	member.mutex.Unlock()
	if service == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(2 * time.Millisecond)
	switch method {
	case "Lender.Borrow":
		return service.Borrow(args.(*lender.BorrowRequest), reply.(*lender.BorrowReply))
	case "Lender.Offer":
		return service.Offer(args.(*lender.OfferRequest), reply.(*corelender.OfferReply))
	}
	return errors.New("no such method")
}

func (fleet *fleet) startVM(t *testing.T, index int) *lender.Lender {
	name := fmt.Sprintf("vm-%02d", index)
	fleet.starts++
	member := member{fleet: fleet, self: watcher.Peer{Name: name, Address: name, Incarnation: fleet.starts}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	added := &lender.Lender{Members: member, Caller: member, Platform: fleet.platform, Tables: fleet, Log: logrus.NewEntry(log)}
	ctx, cancel := context.WithCancel(t.Context())
	fleet.mutex.Lock()
	fleet.services[name] = added.Service()
	fleet.peers = append(fleet.peers, member.self)
	fleet.stops[name] = cancel
	fleet.mutex.Unlock()
	fleet.group.Go(func() { _ = added.Run(ctx) })
	return added
}

// stopVM stops a VM and removes it from the membership.
func (fleet *fleet) stopVM(name string) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.stops[name]()
	delete(fleet.services, name)
	fleet.peers = slices.DeleteFunc(fleet.peers, func(peer watcher.Peer) bool { return peer.Name == name })
}

func (fleet *fleet) stop() {
	for _, cancel := range fleet.stops {
		cancel()
	}
	fleet.group.Wait()
}

// admitted counts how many of n simultaneous requests are admitted.
func admitted(t *testing.T, vm *lender.Lender, n int) int {
	var mutex sync.Mutex
	var group sync.WaitGroup
	count := 0
	for range n {
		group.Go(func() {
			allowed, retryAfter := vm.Admit(t.Context(), smallOrganisation)
			mutex.Lock()
			defer mutex.Unlock()
			if allowed {
				count++
			} else if retryAfter <= 0 {
				t.Error("refusal without a retry time")
			}
		})
	}
	group.Wait()
	return count
}

func TestBurstCountsOverAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newFleet(t)
		defer fleet.stop()
		var vms []*lender.Lender
		for i := range 3 {
			vms = append(vms, fleet.startVM(t, i))
		}
		time.Sleep(70 * time.Second)
		total := 0
		for _, vm := range vms {
			total += admitted(t, vm, 10)
		}
		// The burst, and the tokens that accrue while the last requests wait.
		is.True(total >= 5)
		is.True(total <= 8)
	})
}

// The first organisation of a shard does not wait for the next renewal.
func TestFirstOrganisationIsServedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newFleet(t)
		defer fleet.stop()
		table := fleet.Table()
		fleet.setTable(nil)
		var vms []*lender.Lender
		for i := range 3 {
			vms = append(vms, fleet.startVM(t, i))
		}
		time.Sleep(5 * time.Second)
		fleet.setTable(table)
		time.Sleep(10 * time.Second)
		is.True(admitted(t, vms[0], 1) == 1)
	})
}

// A VM that starts while the store is unavailable borrows from the others.
func TestVMStartedDuringStoreOutageBorrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newFleet(t)
		defer fleet.stop()
		for i := range 3 {
			fleet.startVM(t, i)
		}
		time.Sleep(70 * time.Second)
		fleet.platform.SetFaults(faker.Faults{Outage: true})
		started := fleet.startVM(t, 3)
		time.Sleep(20 * time.Second)
		is.Equal(admitted(t, started, 5), 5)
	})
}

// The next read of the rows detects writes whose answers were lost.
func TestClaimsWithLostAnswersAreRecovered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newFleet(t)
		defer fleet.stop()
		fleet.platform.SetFaults(faker.Faults{LoseAnswers: true})
		vm := fleet.startVM(t, 0)
		time.Sleep(30 * time.Second)
		is.Equal(admitted(t, vm, 5), 0)
		fleet.platform.SetFaults(faker.Faults{})
		time.Sleep(60 * time.Second)
		is.Equal(admitted(t, vm, 5), 5)
	})
}

// After a planned stop other VMs take over the parts in about a minute instead
// of waiting for the leases to end.
func TestPlannedStopHandsPartsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newFleet(t)
		defer fleet.stop()
		first := fleet.startVM(t, 0)
		time.Sleep(70 * time.Second) // the first VM holds all parts
		second := fleet.startVM(t, 1)
		first.Leave()
		first.Release(t.Context())
		fleet.stopVM("vm-00")
		time.Sleep(2 * time.Minute)
		is.Equal(admitted(t, second, 5), 5)
	})
}

// Traffic to another region stays within the team's budget over all VMs, and
// the totals are written for billing.
func TestSpilloverStaysWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newFleet(t)
		defer fleet.stop()
		var vms []*lender.Lender
		for i := range 2 {
			vms = append(vms, fleet.startVM(t, i))
		}
		time.Sleep(70 * time.Second)
		const bytes = 10_000
		spentBytes := 0
		const seconds = 30
		for range seconds * 50 {
			for _, vm := range vms {
				if vm.MaySpill("kundsetu", "kutch", "charotar", bytes) {
					spentBytes += bytes
					flow := meter.Flow{Organisation: smallOrganisation.Path, Service: "/kundsetu/services/due-lists", From: "kutch", To: "charotar"}
					vm.RecordSpending(lender.Spending{Flow: flow, Estimated: bytes, Bytes: bytes})
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		is.True(spentBytes <= 1_000_000+seconds*100_000)
		is.True(spentBytes >= seconds*100_000/2)
		is.True(!vms[0].MaySpill("swarm-line", "kutch", "charotar", 1)) // another team
		is.True(!vms[0].MaySpill("kundsetu", "charotar", "kutch", 1))   // the reverse direction
		for _, vm := range vms {
			vm.Leave()
			vm.Release(t.Context())
		}
		rows, err := fleet.platform.Scan(t.Context(), "meter/", 100)
		is.NoErr(err)
		written := 0
		for _, row := range rows {
			var totals []meter.Total
			is.NoErr(json.Unmarshal(row.Value, &totals))
			for _, total := range totals {
				written += int(total.Bytes)
			}
		}
		is.Equal(written, spentBytes)
	})
}

// While each VM in turn stops as planned and is restarted, a load of half the
// rate is served with at most 0.5% refusals.
func TestRollingRestartRefusesFewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newFleet(t)
		defer fleet.stop()
		vms := make([]*lender.Lender, 4)
		for i := range vms {
			vms[i] = fleet.startVM(t, i)
		}
		time.Sleep(70 * time.Second)
		refused, sent := 0, 0
		serve := func(seconds int, excluded int) {
			for second := range 2 * seconds {
				vm := (excluded + 1 + second%3) % 4
				refused += 1 - admitted(t, vms[vm], 1)
				sent++
				time.Sleep(400 * time.Millisecond)
			}
		}
		for i := range vms {
			vms[i].Leave()
			serve(8, i)
			vms[i].Release(t.Context())
			fleet.stopVM(fmt.Sprintf("vm-%02d", i))
			serve(2, i)
			vms[i] = fleet.startVM(t, i)
			serve(90, i)
			t.Log("after VM", i, "refused", refused, "of", sent)
		}
		is.True(200*refused <= sent)
	})
}
