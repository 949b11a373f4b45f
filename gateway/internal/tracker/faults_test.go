package tracker_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"godwitramp.example/core/verifier"
	"godwitramp.example/platform/faker"
)

const (
	// faultRunTime is the duration of a run. settleTime is how long a VM and the store
	// must have been without a fault before the bound is checked on the VM.
	faultRunTime = 40 * time.Second
	settleTime   = 3 * time.Second
	faultRunVMs  = 6
)

// faultRun writes configurations and injects faults at random, from a seed.
type faultRun struct {
	*fleet
	random         *rand.Rand
	bytesPerSecond int
	// versions are the configurations written so far, and confirmedAt when the store
	// confirmed each.
	versions    []uint64
	confirmedAt []time.Time
	// storeFaultUntil and vmFaultUntil are when the last fault of the store and of each
	// VM ended or will end.
	storeFaultUntil time.Time
	vmFaultUntil    [faultRunVMs]time.Time
	// refusals counts the checks at which a VM that lacked the due version
	// refused to serve.
	refusals int
}

// policy decides when a VM refuses to serve with an old configuration.
var policy = verifier.Policy{Propagation: fleetMaxStaleness, UnreachableGrace: 5 * time.Second, Withdrawal: 5 * time.Second}

// run advances time in short steps. In each step it may write or inject something, and
// it checks all VMs.
func (faultRun *faultRun) run() {
	const step = 50 * time.Millisecond
	for end := time.Now().Add(faultRunTime); time.Now().Before(end); time.Sleep(step) {
		switch faultRun.random.IntN(60) {
		case 0, 1, 2:
			faultRun.writeConfiguration()
		case 3:
			faultRun.injectStoreFault()
		case 4, 5:
			faultRun.injectVMFault(faultRun.random.IntN(faultRunVMs))
		case 6:
			faultRun.store.ForgetHistory()
		case 7:
			duration := faultRun.randomDuration(200, 1500)
			faultRun.dropClaims.Store(true)
			faultRun.running.Go(func() {
				time.Sleep(duration)
				faultRun.dropClaims.Store(false)
			})
		}
		faultRun.checkVMs()
	}
}

// randomDuration returns a random duration; the bounds are in milliseconds.
func (faultRun *faultRun) randomDuration(shortest, longest int) time.Duration {
	return time.Duration(shortest+faultRun.random.IntN(longest-shortest)) * time.Millisecond
}

func (faultRun *faultRun) writeConfiguration() {
	version := uint64(100 + len(faultRun.versions))
	faultRun.putConfiguration(version, 1+faultRun.random.IntN(manyRoutes))
	faultRun.versions, faultRun.confirmedAt = append(faultRun.versions, version), append(faultRun.confirmedAt, time.Now())
}

func (faultRun *faultRun) injectStoreFault() {
	if time.Now().Before(faultRun.storeFaultUntil) {
		return
	}
	duration := faultRun.randomDuration(500, 5000)
	faultRun.storeFaultUntil = time.Now().Add(duration)
	faultRun.store.SetFaults([]faker.Faults{
		{Refuse: http.StatusTooManyRequests}, {Refuse: http.StatusServiceUnavailable}, {Silent: true}, {Delay: 380 * time.Millisecond},
	}[faultRun.random.IntN(4)])
	faultRun.running.Go(func() {
		time.Sleep(duration)
		faultRun.store.SetFaults(faker.Faults{})
	})
}

// injectVMFault partitions a VM from the store, or kills and restarts it.
func (faultRun *faultRun) injectVMFault(rank int) {
	if time.Now().Before(faultRun.vmFaultUntil[rank]) {
		return
	}
	duration := faultRun.randomDuration(200, 6000)
	faultRun.vmFaultUntil[rank] = time.Now().Add(duration)
	if faultRun.random.IntN(2) == 0 {
		faultRun.kill(rank)
		faultRun.running.Go(func() {
			time.Sleep(duration)
			faultRun.start(rank, faultRun.bytesPerSecond)
		})
		return
	}
	link := faultRun.members()[rank].link
	faultRun.running.Go(func() {
		link.Cut()
		time.Sleep(duration)
		link.Restore()
	})
}

// freshness returns how current the VM's configuration is.
func (member *member) freshness() verifier.Freshness {
	return verifier.Freshness{
		Age: time.Since(member.fleet.startTime) - member.AsOf(), Behind: member.Behind(), StoreUnreachable: member.StoreUnreachable(),
	}
}

// checkVMs checks that every VM without a recent fault has the newest version that must
// be in force by now, or refuses to serve.
func (faultRun *faultRun) checkVMs() {
	now := time.Now()
	var due uint64
	for i, confirmed := range faultRun.confirmedAt {
		if now.Sub(confirmed) > fleetMaxStaleness {
			due = faultRun.versions[i]
		}
	}
	for rank, member := range faultRun.members() {
		index := member.Index()
		if member.down.Load() || index == nil || index.Version >= due {
			continue
		}
		if now.Sub(faultRun.vmFaultUntil[rank]) < settleTime || now.Sub(faultRun.storeFaultUntil) < settleTime {
			continue
		}
		freshness := member.freshness()
		if policy.MayServe(freshness) {
			faultRun.t.Errorf("VM %d serves with version %d at %v, must have %d: %+v", rank, index.Version, now.Sub(faultRun.startTime), due, freshness)
		} else {
			faultRun.refusals++
		}
	}
}

// faultRunSeeds are a few seeds and all that have ever failed. With 144 to 455, the VM
// that polls was cut off while the history was lost and the configuration grew tenfold.
// With 216, the transfer of five versions took longer than the bound.
var faultRunSeeds = []uint64{216, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 144, 217, 248, 366, 455}

// No VM without a recent fault may serve with an old configuration after the bound,
// whatever faults store and VMs had before. Transfers take up to 1.2 s, as for 3,000
// routes over 10 Mbit/s.
func TestConfirmedChangesAreInForceUnderRandomFaults(t *testing.T) {
	for _, seed := range faultRunSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bytesPerSecond := answerBytes(manyRoutes) * 10 / 12
			runFleet(t, faultRunVMs, bytesPerSecond, func(fleet *fleet) {
				faultRun := &faultRun{fleet: fleet, random: rand.New(rand.NewPCG(seed, 1)), bytesPerSecond: bytesPerSecond}
				faultRun.run()
				time.Sleep(10 * time.Second) // lets all faults end
				faultRun.checkVMs()
				if faultRun.refusals > 0 {
					t.Logf("refused in %d checks of %d", faultRun.refusals, faultRunVMs*int(faultRunTime/(50*time.Millisecond)))
				}
			})
		})
	}
}
