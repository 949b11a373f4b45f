package tracker_test

import (
	"flag"
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
	// turnsAway is true if the store turns away whole data centres, and turnedAwayUntil when it last ended or will end
	// to do so to each VM.
	turnsAway       bool
	turnedAwayUntil [faultRunVMs]time.Time
	// restores is true if the store is restored from older copies. snapshots are copies of
	// the last seconds, the oldest first.
	restores  bool
	snapshots []faker.Snapshot
	// restoreUntil is until when the store has no other fault after a restore, so that all
	// VMs without a fault are checked.
	restoreUntil time.Time
	// rewritePending is true until the operator has written again after a restore, at
	// storeFaultUntil.
	rewritePending bool
	// routes is the number of routes of each of the versions.
	routes []int
	// claimsLostUntil is when the last loss of claims ended or will end.
	claimsLostUntil time.Time
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
		faultRun.takeSnapshot()
		faultRun.writeAgain()
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
			faultRun.claimsLostUntil = time.Now().Add(duration)
			faultRun.dropClaims.Store(true)
			faultRun.running.Go(func() {
				time.Sleep(duration)
				faultRun.dropClaims.Store(false)
			})
		case 8, 9:
			if faultRun.restores {
				faultRun.injectRestore()
			}
		}
		if faultRun.turnsAway && faultRun.random.IntN(40) == 0 {
			faultRun.turnDataCentreAway()
		}
		faultRun.checkVMs()
		faultRun.checkFreshness()
	}
}

// turnDataCentreAway resets the connections of the VMs of a data centre to the store for some seconds.
func (faultRun *faultRun) turnDataCentreAway() {
	first, duration := 2*faultRun.random.IntN(faultRunVMs/2), faultRun.randomDuration(500, 9000)
	for rank := first; rank < first+2; rank++ {
		if time.Now().Before(faultRun.vmFaultUntil[rank]) || time.Now().Before(faultRun.turnedAwayUntil[rank]) {
			return
		}
	}
	for rank := first; rank < first+2; rank++ {
		member := faultRun.members()[rank]
		faultRun.turnedAwayUntil[rank] = time.Now().Add(duration)
		member.turnAway()
		faultRun.running.Go(func() {
			time.Sleep(duration)
			member.turnedAway.Store(false)
		})
	}
}

const (
	// maxSnapshots is the number of steps whose snapshots are kept.
	maxSnapshots = 200
	// restoreCheckTime is the time without another fault of the store after a restore.
	restoreCheckTime = 8 * time.Second
)

func (faultRun *faultRun) takeSnapshot() {
	if !faultRun.restores {
		return
	}
	faultRun.snapshots = append(faultRun.snapshots, faultRun.store.Snapshot())
	if len(faultRun.snapshots) > maxSnapshots {
		faultRun.snapshots = faultRun.snapshots[1:]
	}
}

// injectRestore takes the store away for a moment, once or twice, and restores it from a copy
// that is some seconds old. The operator writes the newest configuration again within a second.
func (faultRun *faultRun) injectRestore() {
	if time.Now().Before(faultRun.storeFaultUntil) || time.Now().Before(faultRun.restoreUntil) {
		return
	}
	rewrite := faultRun.randomDuration(1, 1000)
	snapshot := faultRun.snapshots[faultRun.random.IntN(len(faultRun.snapshots))]
	for range 1 + faultRun.random.IntN(2) {
		faultRun.store.SetFaults([]faker.Faults{{}, {Refuse: http.StatusServiceUnavailable}, {Silent: true}}[faultRun.random.IntN(3)])
		time.Sleep(faultRun.randomDuration(1, 1000))
		faultRun.store.Restore(snapshot)
		faultRun.store.SetFaults(faker.Faults{})
		time.Sleep(faultRun.randomDuration(1, 300))
	}
	faultRun.snapshots = nil // the copies of the era before are of a history that is gone
	faultRun.takeSnapshot()
	faultRun.storeFaultUntil = time.Now().Add(rewrite)
	faultRun.restoreUntil = time.Now().Add(restoreCheckTime)
	faultRun.rewritePending = true
}

// writeAgain writes the newest configuration again if it is time after a restore.
func (faultRun *faultRun) writeAgain() {
	if !faultRun.rewritePending || time.Now().Before(faultRun.storeFaultUntil) {
		return
	}
	faultRun.rewritePending = false
	faultRun.storeFaultUntil = time.Now()
	if newest := len(faultRun.versions) - 1; newest >= 0 {
		faultRun.putConfiguration(faultRun.versions[newest], faultRun.routes[newest])
	}
}

// claimDelay is the time within which claims that are not lost have arrived.
const claimDelay = 1100 * time.Millisecond

// checkFreshness checks that no VM takes its configuration for the newest as of a time at which
// another one had a newer one already, which the store may have lost: keys may have been
// withdrawn in it.
func (faultRun *faultRun) checkFreshness() {
	now := time.Now()
	if !faultRun.restores || now.Sub(faultRun.claimsLostUntil) < claimDelay {
		return
	}
	for rank, member := range faultRun.members() {
		index := member.Index()
		if index == nil || !faultRun.heard(rank) {
			continue
		}
		asOf := faultRun.startTime.Add(member.AsOf())
		if version, since := faultRun.newerSince(index.Version); version > 0 && since.Before(asOf) && now.Sub(since) > claimDelay {
			faultRun.t.Errorf("VM %d takes version %d for the newest as of %v, but %d was in force at %v",
				rank, index.Version, member.AsOf(), version, since.Sub(faultRun.startTime))
		}
	}
}

// heard reports whether the VM's claims and those to it have had time to arrive.
func (faultRun *faultRun) heard(rank int) bool {
	return !faultRun.members()[rank].down.Load() && time.Since(faultRun.vmFaultUntil[rank]) >= claimDelay
}

// newerSince returns the newest version in force on a VM that is heard, if it is newer than the
// given one, and since when that VM has had it.
func (faultRun *faultRun) newerSince(known uint64) (uint64, time.Time) {
	var newest uint64
	var newestSince time.Time
	for rank, member := range faultRun.members() {
		index := member.Index()
		if index == nil || !faultRun.heard(rank) || index.Version <= max(known, newest) {
			continue
		}
		member.mutex.Lock()
		if since, ok := member.inForce[index.Version]; ok {
			newest, newestSince = index.Version, since
		}
		member.mutex.Unlock()
	}
	return newest, newestSince
}

// randomDuration returns a random duration; the bounds are in milliseconds.
func (faultRun *faultRun) randomDuration(shortest, longest int) time.Duration {
	return time.Duration(shortest+faultRun.random.IntN(longest-shortest)) * time.Millisecond
}

func (faultRun *faultRun) writeConfiguration() {
	version, routes := uint64(100+len(faultRun.versions)), 1+faultRun.random.IntN(manyRoutes)
	faultRun.putConfiguration(version, routes)
	faultRun.routes = append(faultRun.routes, routes)
	faultRun.versions, faultRun.confirmedAt = append(faultRun.versions, version), append(faultRun.confirmedAt, time.Now())
}

func (faultRun *faultRun) injectStoreFault() {
	if time.Now().Before(faultRun.storeFaultUntil) || time.Now().Before(faultRun.restoreUntil) {
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
		if now.Sub(faultRun.vmFaultUntil[rank]) < settleTime || now.Sub(faultRun.turnedAwayUntil[rank]) < settleTime || now.Sub(faultRun.storeFaultUntil) < settleTime {
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
		sweep(t, seed, false, false)
	}
}

// sweep makes one run from a seed.
func sweep(t *testing.T, seed uint64, restores, dataCentres bool) {
	t.Run(fmt.Sprint(seed), func(t *testing.T) {
		bytesPerSecond := answerBytes(manyRoutes) * 10 / 12
		run := func(test func(fleet *fleet)) { runFleet(t, faultRunVMs, bytesPerSecond, test) }
		if dataCentres {
			run = func(test func(fleet *fleet)) { runDataCentres(t, faultRunVMs/3, bytesPerSecond, test) }
		}
		run(func(fleet *fleet) {
			faultRun := &faultRun{turnsAway: dataCentres, fleet: fleet, random: rand.New(rand.NewPCG(seed, 1)), bytesPerSecond: bytesPerSecond, restores: restores}
			faultRun.run()
			time.Sleep(time.Second)
			faultRun.writeAgain()
			time.Sleep(9 * time.Second) // lets all faults end
			faultRun.checkVMs()
			if faultRun.refusals > 0 {
				t.Logf("refused in %d checks of %d", faultRun.refusals, faultRunVMs*int(faultRunTime/(50*time.Millisecond)))
			}
		})
	})
}

// restoreRunSeeds are the seeds of the runs in which the store is restored as well. With 1192 and
// 1282, a newer configuration that was not lost hid one that was; with 1124, the transfer of an
// answer that could not be used took too long.
var restoreRunSeeds = []uint64{1124, 1192, 1282, 0, 1, 2, 3, 4, 5, 6, 7}

// The same holds if the store comes back from older copies at times, overlapping with all
// other faults, and no VM believes the copy where another one knows better.
func TestConfirmedChangesAreInForceUnderRandomFaultsAndRestores(t *testing.T) {
	seeds := restoreRunSeeds
	if *extraSeeds > 0 {
		seeds = nil
		for seed := range *extraSeeds {
			seeds = append(seeds, 1000+seed)
		}
	}
	for _, seed := range seeds {
		sweep(t, seed, true, false)
	}
}

// The same with the VMs in three data centres, of which the store turns away one or another at times.
func TestConfirmedChangesAreInForceWhileDataCentresAreTurnedAway(t *testing.T) {
	seeds := turnedAwaySeeds
	if *extraSeeds > 0 {
		seeds = nil
		for seed := range *extraSeeds {
			seeds = append(seeds, 2000+seed)
		}
	}
	for _, seed := range seeds {
		sweep(t, seed, true, true)
	}
}

// turnedAwaySeeds are the seeds of these runs. With 2022 and 2034, VMs that had heard of a version in their group, but had
// not read it, didn't tell other data centres of it.
var turnedAwaySeeds = []uint64{2022, 2034, 0, 1, 2, 3, 4, 5}

var extraSeeds = flag.Uint64("restore-seeds", 0, "run this number of other seeds with restores")
