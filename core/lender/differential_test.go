package lender_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/lender"
	"godwitramp.example/core/limiter"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20260401", "rapid.checks": "50", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// ledger is the naive version of all of this: one bucket for the fleet, which
// starts full. Whatever the fleet admits must find a token in it, so that no
// window of time sees more than rate × time + burst.
type ledger struct {
	bucket   limiter.Bucket
	admitted int
	excess   int
}

// rounding allows for floating-point errors and for clocks of the fleet that
// run too fast by clockDrift.
const (
	rounding   = 1e-3
	clockDrift = 5e-5
)

// watch checks the fleet against the ledgers.
func watch(fleet *fleet) map[*tenant]*ledger {
	ledgers := make(map[*tenant]*ledger)
	for _, tenant := range fleet.tenants {
		ledgers[tenant] = &ledger{}
		ledgers[tenant].allow(fleet.now, tenant.limit)
		ledgers[tenant].bucket.Add(tenant.limit.Burst + rounding)
	}
	fleet.decided = func(tenant *tenant, request request, inside bool) {
		ledger := ledgers[tenant]
		if !inside {
			return
		}
		ledger.admitted++
		if !ledger.bucket.Take(fleet.now, 1) {
			ledger.excess++
		}
	}
	return ledgers
}

func (ledger *ledger) allow(now time.Duration, limit limiter.Limit) {
	ledger.bucket.Resize(now, limit.Rate*(1+2*clockDrift), limit.Burst+rounding)
}

func fewTenants() []*tenant {
	var tenants []*tenant
	for i, limit := range []limiter.Limit{{Rate: 80, Burst: 30}, {Rate: 10, Burst: 600}, {Rate: 5, Burst: 5}} {
		limit.Revision = 1
		path := configurator.Path(fmt.Sprintf("/swarm-line/organisations/crews-%d", i))
		tenants = append(tenants, &tenant{id: limiter.IDOf(path), limit: limit})
	}
	return tenants
}

// overload sends three times its rate for an organisation, in random bursts
// with pauses, to a few VMs at a time.
func (fleet *fleet) overload(tenant *tenant, end time.Duration) {
	focus := 0
	var next func()
	next = func() {
		if fleet.random.IntN(200) == 0 {
			focus = fleet.random.IntN(len(fleet.vms))
		}
		fleet.arrive(fleet.vms[(focus+fleet.random.IntN(2))%len(fleet.vms)], tenant)
		gap := time.Duration(fleet.random.ExpFloat64() / (3 * tenant.limit.Rate) * float64(time.Second))
		if fleet.random.IntN(100) == 0 {
			gap += time.Duration(fleet.random.Int64N(int64(2 * time.Second)))
		}
		if fleet.now+gap < end {
			fleet.after(gap, next)
		}
	}
	fleet.after(0, next)
}

// faultKinds are what may befall a fleet, by name.
var faultKinds = []string{
	"kill and restart", "kill and replace", "suspend", "freeze", "set wall clock forward", "set wall clock back",
	"store away", "store back", "lose store answers", "change a limit", "stop as planned", "restart all", "bad network",
	"good network",
}

// befall brings about a fault.
func (fleet *fleet) befall(kind string, vm *VM, length time.Duration, ledgers map[*tenant]*ledger) {
	switch kind {
	case "kill and restart":
		vm.kill()
		fleet.after(length/4, vm.start)
	case "kill and replace":
		vm.kill()
		vm.boot = fmt.Sprint(fleet.now)
		fleet.after(length/4, vm.start)
	case "suspend":
		vm.pause(length, true)
	case "freeze":
		vm.pause(length, false)
	case "set wall clock forward":
		vm.wallOffset += 1000 * length
	case "set wall clock back":
		vm.wallOffset -= 1000 * length
	case "store away", "store back":
		fleet.outage = kind == "store away"
	case "lose store answers":
		fleet.loseAnswers = true
		fleet.after(length, func() { fleet.loseAnswers = false })
	case "change a limit":
		fleet.change(vm.index, length, ledgers)
	case "stop as planned":
		vm.leave()
		fleet.after(8*time.Second, vm.kill)
		fleet.after(8*time.Second+length/4, vm.start)
	case "restart all":
		for _, vm := range fleet.vms {
			vm.kill()
			fleet.after(length/8, vm.start)
		}
	case "bad network":
		fleet.faults = faults{loss: 0.1, double: 0.2, late: 0.1, latest: 20 * time.Second}
	case "good network":
		fleet.faults = faults{}
	}
}

// change sets another limit, which reaches the VMs at different times.
func (fleet *fleet) change(which int, length time.Duration, ledgers map[*tenant]*ledger) {
	tenant := fleet.tenants[which%len(fleet.tenants)]
	old, next := tenant.limit, tenant.limit
	next.Revision++
	next.Rate *= 0.25 + 1.5*fleet.random.Float64()
	next.Burst = max(2, next.Burst*(0.25+1.5*fleet.random.Float64()))
	tenant.limit = next
	ledgers[tenant].allow(fleet.now, limiter.Limit{Rate: max(old.Rate, next.Rate), Burst: max(old.Burst, next.Burst)})
	for _, vm := range fleet.vms {
		fleet.after(time.Duration(fleet.random.Int64N(int64(length))), func() {
			if vm.limits[tenant.id].Revision < next.Revision {
				vm.limits[tenant.id] = next
			}
		})
	}
	// Requests that were on a VM with the old limit may still be decided.
	fleet.after(length+time.Minute, func() {
		if tenant.limit == next {
			ledgers[tenant].allow(fleet.now, next)
		}
	})
}

func TestNeverMoreThanOneBucketAdmits(t *testing.T) {
	kinds := make(map[string]int)
	admitted := 0
	rapid.Check(t, func(t *rapid.T) {
		tenants := fewTenants()
		fleet := newFleet(rapid.IntRange(2, 6).Draw(t, "vms"), tenants, rapid.Uint64().Draw(t, "seed"))
		ledgers := watch(fleet)
		end := fleet.now + 150*time.Second
		for _, tenant := range tenants {
			fleet.overload(tenant, end)
		}
		if rapid.Bool().Draw(t, "bad network from the start") {
			fleet.befall("bad network", fleet.vms[0], 0, ledgers)
		}
		fleet.runUntil(fleet.now + 30*time.Second)
		for fleet.now < end {
			kind := rapid.SampledFrom(faultKinds).Draw(t, "kind")
			vm := fleet.vms[rapid.IntRange(0, len(fleet.vms)-1).Draw(t, "vm")]
			length := time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second
			kinds[kind]++
			fleet.befall(kind, vm, length, ledgers)
			fleet.runUntil(fleet.now + time.Duration(rapid.IntRange(0, 15).Draw(t, "pause"))*time.Second)
		}
		for i, tenant := range tenants {
			ledger := ledgers[tenant]
			admitted += ledger.admitted
			if ledger.excess > 0 {
				t.Fatalf("organisation %d got %d of %d requests beyond its rate and burst", i, ledger.excess, ledger.admitted)
			}
		}
	})
	is := is.New(t)
	is.Equal(len(kinds), len(faultKinds)) // every fault has come
	is.True(admitted > 50_000)
}

// A dead VM's parts return when their leases have certainly ended, and not
// before.
func TestPartsOfDeadVMReturn(t *testing.T) {
	is := is.New(t)
	tenants := fewTenants()[:1]
	fleet := newFleet(4, tenants, 1)
	ledgers := watch(fleet)
	fleet.runUntil(fleet.now + time.Minute)
	fleet.vms[0].kill()
	cover := func() float64 {
		total := 0.0
		for _, vm := range fleet.vms[1:] {
			total += vm.collector.Cover(tenants[0].id.Shard(), vm.read())
		}
		return total
	}
	fleet.tick = time.Second
	fleet.runUntil(fleet.now + lender.PartLength - 2*time.Minute)
	fleet.tick = 100 * time.Millisecond
	is.Equal(cover(), 0.75)
	fleet.overload(tenants[0], fleet.now+10*time.Minute)
	fleet.runUntil(fleet.now + 10*time.Minute)
	is.Equal(cover(), 1.0)
	is.Equal(ledgers[tenants[0]].excess, 0)
}
