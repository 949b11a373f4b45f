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

// ledger is the reference model: one bucket for the whole fleet, which starts full.
// Each request that the fleet admits must find a token in it, so that no window of
// time admits more than rate × time + burst.
type ledger struct {
	bucket   limiter.Bucket
	admitted int
	excess   int
}

// Tolerances of the ledgers: rounding in tokens, for floating-point errors, and
// clockDrift as the relative error of the VMs' clocks.
const (
	rounding   = 1e-3
	clockDrift = 5e-5
)

// attachLedgers gives each organisation a ledger and counts admitted requests that find
// no token in it.
func attachLedgers(fleet *fleet) map[*organisation]*ledger {
	ledgers := make(map[*organisation]*ledger)
	for _, organisation := range fleet.organisations {
		ledgers[organisation] = &ledger{}
		ledgers[organisation].setLimit(fleet.now, organisation.limit)
		ledgers[organisation].bucket.Add(organisation.limit.Burst + rounding)
	}
	fleet.decided = func(organisation *organisation, request request, allowed bool) {
		ledger := ledgers[organisation]
		if !allowed {
			return
		}
		ledger.admitted++
		if !ledger.bucket.Take(fleet.now, 1) {
			ledger.excess++
		}
	}
	return ledgers
}

func (ledger *ledger) setLimit(now time.Duration, limit limiter.Limit) {
	ledger.bucket.Resize(now, limit.Rate*(1+2*clockDrift), limit.Burst+rounding)
}

func fewOrganisations() []*organisation {
	var organisations []*organisation
	for i, limit := range []limiter.Limit{{Rate: 80, Burst: 30}, {Rate: 10, Burst: 600}, {Rate: 5, Burst: 5}} {
		limit.Revision = 1
		path := configurator.Path(fmt.Sprintf("/swarm-line/organisations/crews-%d", i))
		organisations = append(organisations, &organisation{id: limiter.IDOf(path), limit: limit})
	}
	return organisations
}

// overload sends an organisation's requests at three times its rate, in random bursts
// with pauses, to two VMs at a time.
func (fleet *fleet) overload(organisation *organisation, end time.Duration) {
	focus := 0
	var next func()
	next = func() {
		if fleet.random.IntN(200) == 0 {
			focus = fleet.random.IntN(len(fleet.vms))
		}
		fleet.arrive(fleet.vms[(focus+fleet.random.IntN(2))%len(fleet.vms)], organisation)
		gap := time.Duration(fleet.random.ExpFloat64() / (3 * organisation.limit.Rate) * float64(time.Second))
		if fleet.random.IntN(100) == 0 {
			gap += time.Duration(fleet.random.Int64N(int64(2 * time.Second)))
		}
		if fleet.now+gap < end {
			fleet.after(gap, next)
		}
	}
	fleet.after(0, next)
}

// faultKinds names the faults that injectFault can inject.
var faultKinds = []string{
	"kill and restart", "kill and replace", "suspend", "freeze", "set wall clock forward", "set wall clock back",
	"store away", "store back", "lose store answers", "change a limit", "stop as planned", "restart all", "bad network",
	"good network",
}

// injectFault injects a fault.
func (fleet *fleet) injectFault(kind string, vm *VM, length time.Duration, ledgers map[*organisation]*ledger) {
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
		fleet.changeLimit(vm.index, length, ledgers)
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
		fleet.faults = faults{loss: 0.1, duplicate: 0.2, delayed: 0.1, maxDelay: 20 * time.Second}
	case "good network":
		fleet.faults = faults{}
	}
}

// changeLimit changes a limit. The change reaches the VMs at different times.
func (fleet *fleet) changeLimit(which int, length time.Duration, ledgers map[*organisation]*ledger) {
	organisation := fleet.organisations[which%len(fleet.organisations)]
	old, next := organisation.limit, organisation.limit
	next.Revision++
	next.Rate *= 0.25 + 1.5*fleet.random.Float64()
	next.Burst = max(2, next.Burst*(0.25+1.5*fleet.random.Float64()))
	organisation.limit = next
	ledgers[organisation].setLimit(fleet.now, limiter.Limit{Rate: max(old.Rate, next.Rate), Burst: max(old.Burst, next.Burst)})
	for _, vm := range fleet.vms {
		fleet.after(time.Duration(fleet.random.Int64N(int64(length))), func() {
			if vm.limits[organisation.id].Revision < next.Revision {
				vm.limits[organisation.id] = next
			}
		})
	}
	// Requests on a VM with the old limit may still be decided until then.
	fleet.after(length+time.Minute, func() {
		if organisation.limit == next {
			ledgers[organisation].setLimit(fleet.now, next)
		}
	})
}

// Under random faults of VMs, clocks, network and store, the fleet must never admit
// more than one bucket for the whole fleet would.
func TestNeverMoreThanOneBucketAdmits(t *testing.T) {
	kinds := make(map[string]int)
	admitted := 0
	rapid.Check(t, func(t *rapid.T) {
		organisations := fewOrganisations()
		fleet := newFleet(rapid.IntRange(2, 6).Draw(t, "vms"), organisations, rapid.Uint64().Draw(t, "seed"))
		ledgers := attachLedgers(fleet)
		end := fleet.now + 150*time.Second
		for _, organisation := range organisations {
			fleet.overload(organisation, end)
		}
		if rapid.Bool().Draw(t, "bad network from the start") {
			fleet.injectFault("bad network", fleet.vms[0], 0, ledgers)
		}
		fleet.runUntil(fleet.now + 30*time.Second)
		for fleet.now < end {
			kind := rapid.SampledFrom(faultKinds).Draw(t, "kind")
			vm := fleet.vms[rapid.IntRange(0, len(fleet.vms)-1).Draw(t, "vm")]
			length := time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second
			kinds[kind]++
			fleet.injectFault(kind, vm, length, ledgers)
			fleet.runUntil(fleet.now + time.Duration(rapid.IntRange(0, 15).Draw(t, "pause"))*time.Second)
		}
		for i, organisation := range organisations {
			ledger := ledgers[organisation]
			admitted += ledger.admitted
			if ledger.excess > 0 {
				t.Fatalf("organisation %d: %d of %d admitted requests exceed its rate and burst", i, ledger.excess, ledger.admitted)
			}
		}
	})
	is := is.New(t)
	is.Equal(len(kinds), len(faultKinds)) // every kind of fault was injected
	is.True(admitted > 50_000)
}

// The other VMs claim a dead VM's parts once their leases have certainly ended, and
// not before.
func TestPartsOfDeadVMAreReclaimed(t *testing.T) {
	is := is.New(t)
	organisations := fewOrganisations()[:1]
	fleet := newFleet(4, organisations, 1)
	ledgers := attachLedgers(fleet)
	fleet.runUntil(fleet.now + time.Minute)
	fleet.vms[0].kill()
	cover := func() float64 {
		total := 0.0
		for _, vm := range fleet.vms[1:] {
			total += vm.collector.Coverage(organisations[0].id.Shard(), vm.clocks())
		}
		return total
	}
	fleet.tick = time.Second
	fleet.runUntil(fleet.now + lender.PartLeaseDuration - 2*time.Minute)
	fleet.tick = 100 * time.Millisecond
	is.Equal(cover(), 0.75)
	fleet.overload(organisations[0], fleet.now+10*time.Minute)
	fleet.runUntil(fleet.now + 10*time.Minute)
	is.Equal(cover(), 1.0)
	is.Equal(ledgers[organisations[0]].excess, 0)
}
