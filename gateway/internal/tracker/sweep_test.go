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
	// sweepTime is how long a sweep lasts, touch how long a VM must have been left
	// alone for the bound to hold on it.
	sweepTime = 40 * time.Second
	touch     = 3 * time.Second
	sweepVMs  = 6
)

// sweep plays changes and disturbances drawn from a seed.
type sweep struct {
	*fleet
	random *rand.Rand
	rate   int
	// versions are the changes so far, and when each was confirmed.
	versions  []uint64
	confirmed []time.Time
	// disturbed is when the last disturbance of the store, and of each VM, ended or
	// will end.
	storeDisturbed time.Time
	disturbed      [sweepVMs]time.Time
	refusals       int
}

// bounds are what a VM holds itself to.
var bounds = verifier.Policy{Propagation: fleetBound, UnreachableGrace: 5 * time.Second, Withdrawal: 5 * time.Second}

// play lets time pass in short steps, in each of which something may happen.
func (sweep *sweep) play() {
	const step = 50 * time.Millisecond
	for end := time.Now().Add(sweepTime); time.Now().Before(end); time.Sleep(step) {
		switch sweep.random.IntN(60) {
		case 0, 1, 2:
			sweep.write()
		case 3:
			sweep.disturbStore()
		case 4, 5:
			sweep.disturbVM(sweep.random.IntN(sweepVMs))
		case 6:
			sweep.store.ForgetHistory()
		case 7:
			lasts := sweep.between(200, 1500)
			sweep.loseClaims.Store(true)
			sweep.running.Go(func() {
				time.Sleep(lasts)
				sweep.loseClaims.Store(false)
			})
		}
		sweep.look()
	}
}

// between draws a time in milliseconds.
func (sweep *sweep) between(least, most int) time.Duration {
	return time.Duration(least+sweep.random.IntN(most-least)) * time.Millisecond
}

func (sweep *sweep) write() {
	version := uint64(100 + len(sweep.versions))
	sweep.put(version, 1+sweep.random.IntN(manyRoutes))
	sweep.versions, sweep.confirmed = append(sweep.versions, version), append(sweep.confirmed, time.Now())
}

func (sweep *sweep) disturbStore() {
	if time.Now().Before(sweep.storeDisturbed) {
		return
	}
	lasts := sweep.between(500, 5000)
	sweep.storeDisturbed = time.Now().Add(lasts)
	sweep.store.SetFaults([]faker.Faults{
		{Refuse: http.StatusTooManyRequests}, {Refuse: http.StatusServiceUnavailable}, {Silent: true}, {Delay: 380 * time.Millisecond},
	}[sweep.random.IntN(4)])
	sweep.running.Go(func() {
		time.Sleep(lasts)
		sweep.store.SetFaults(faker.Faults{})
	})
}

// disturbVM cuts a VM off from the store, or kills it and starts it again.
func (sweep *sweep) disturbVM(rank int) {
	if time.Now().Before(sweep.disturbed[rank]) {
		return
	}
	lasts := sweep.between(200, 6000)
	sweep.disturbed[rank] = time.Now().Add(lasts)
	if sweep.random.IntN(2) == 0 {
		sweep.kill(rank)
		sweep.running.Go(func() {
			time.Sleep(lasts)
			sweep.start(rank, sweep.rate)
		})
		return
	}
	link := sweep.members()[rank].link
	sweep.running.Go(func() {
		link.Cut()
		time.Sleep(lasts)
		link.Mend()
	})
}

// look checks every VM that was left alone against the newest version that must be in
// force by now.
func (sweep *sweep) look() {
	now := time.Now()
	var due uint64
	for i, confirmed := range sweep.confirmed {
		if now.Sub(confirmed) > fleetBound {
			due = sweep.versions[i]
		}
	}
	for rank, member := range sweep.members() {
		index := member.Index()
		if member.down.Load() || index == nil || index.Version >= due {
			continue
		}
		if now.Sub(sweep.disturbed[rank]) < touch || now.Sub(sweep.storeDisturbed) < touch {
			continue
		}
		knowledge := verifier.Freshness{
			Age: now.Sub(sweep.began) - member.AsOf(), Behind: member.Behind(), StoreUnreachable: member.StoreUnreachable(),
		}
		if bounds.MayServe(knowledge) {
			sweep.t.Errorf("VM %d serves by version %d at %v, must have %d: %+v", rank, index.Version, now.Sub(sweep.began), due, knowledge)
		} else {
			sweep.refusals++
		}
	}
}

// sweepSeeds are a few, and those that ever failed: under 144 to 455 the VM that polls was
// cut off, the history was gone and the configuration grew tenfold; under 216 a transfer
// of five versions took longer than a change may.
var sweepSeeds = []uint64{216, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 144, 217, 248, 366, 455}

// Transfers take up to 1.2 s, as of 3,000 routes over 10 Mbit/s.
func TestConfirmedChangesAreInForceThroughDisturbances(t *testing.T) {
	for _, seed := range sweepSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rate := bytesOf(manyRoutes) * 10 / 12
			runFleet(t, sweepVMs, rate, func(fleet *fleet) {
				sweep := &sweep{fleet: fleet, random: rand.New(rand.NewPCG(seed, 1)), rate: rate}
				sweep.play()
				time.Sleep(10 * time.Second) // disturbances end
				sweep.look()
				if sweep.refusals > 0 {
					t.Logf("refused in %d looks of %d", sweep.refusals, sweepVMs*int(sweepTime/(50*time.Millisecond)))
				}
			})
		})
	}
}
