package placer_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/placer"
)

// The traffic of the bookings service at the larger site, at 1.3 times its usual rate.
const (
	coolDownVMs               = 104
	coolDownTargets           = 64
	coolDownSlots             = 4
	coolDownQueue             = 16
	coolDownRequestsPerSecond = 263 * 1.3
	coolDownServiceTime       = 310 * time.Millisecond
	coolDownRunTime           = 2 * time.Minute
	coolDownAttempts          = 2
	// inFlightGrace is how long after the answer requests that were already sent may
	// arrive.
	inFlightGrace = 500 * time.Millisecond
)

// coolDown is a period in which a target rejects all requests.
type coolDown struct {
	until time.Duration
	// notified is when each VM first received the cool-down.
	notified map[int]time.Duration
}

// coolDownFleet simulates requests to targets, a tenth of which are in a cool-down
// at any time.
type coolDownFleet struct {
	honours   bool
	random    *rand.Rand
	vms       []*placer.Placer
	targets   []placer.Target
	coolDowns map[string]*coolDown
	running   map[string]int
	ends      []completion

	sent, served, rejected, violations int
	// recoveryTimes are the times from the end of a cool-down until the target
	// serves a request. They have no upper bound: an idle target has a higher
	// suspicion, and bookings avoid it while targets with a lower one have free
	// slots.
	recoveryTimes []time.Duration
	endedAt       map[string]time.Duration
}

func newCoolDownFleet(honours bool) *coolDownFleet {
	fleet := &coolDownFleet{
		honours: honours, random: rand.New(rand.NewPCG(3, 5)), coolDowns: map[string]*coolDown{}, running: map[string]int{},
		endedAt: map[string]time.Duration{},
	}
	centres := []string{"a1", "b1", "c1", "a2", "b2", "c2"}
	for i := range coolDownTargets {
		fleet.targets = append(fleet.targets, target(fmt.Sprint("t", i), centres[i%len(centres)]))
	}
	for i := range coolDownVMs {
		vm := at(centres[i%len(centres)])
		vm.Replace(fleet.targets, 0)
		fleet.vms = append(fleet.vms, vm)
	}
	return fleet
}

// startCoolDowns keeps a tenth of the targets in a cool-down of 1 to 5 s.
func (fleet *coolDownFleet) startCoolDowns(now time.Duration) {
	for id, coolDown := range fleet.coolDowns {
		if now >= coolDown.until {
			delete(fleet.coolDowns, id)
			fleet.endedAt[id] = coolDown.until
		}
	}
	for len(fleet.coolDowns) < coolDownTargets/10 {
		id := fleet.targets[fleet.random.IntN(coolDownTargets)].ID
		if fleet.coolDowns[id] == nil {
			until := now + time.Second + time.Duration(fleet.random.Int64N(int64(4*time.Second)))
			fleet.coolDowns[id] = &coolDown{until: until, notified: map[int]time.Duration{}}
		}
	}
}

// complete processes the attempts that have ended by now.
func (fleet *coolDownFleet) complete(now time.Duration) {
	slices.SortFunc(fleet.ends, func(a, b completion) int { return cmp.Compare(a.at, b.at) })
	for len(fleet.ends) > 0 && fleet.ends[0].at <= now {
		ended := fleet.ends[0]
		fleet.ends = fleet.ends[1:]
		fleet.running[ended.target.ID]--
		fleet.vms[ended.vm].Done(ended.target, placer.Good, ended.at)
		fleet.notifyPeers(ended.vm, func(other *placer.Placer) { other.PeerDone(ended.target.ID, placer.Good, ended.at) })
	}
}

// notifyPeers calls notify with each other VM of the data centre.
func (fleet *coolDownFleet) notifyPeers(vm int, notify func(other *placer.Placer)) {
	for i, other := range fleet.vms {
		if i != vm && other.Locality.DataCentre == fleet.vms[vm].Locality.DataCentre {
			notify(other)
		}
	}
}

// attempt sends a request once. It returns the target and whether it accepted the
// request.
func (fleet *coolDownFleet) attempt(vmIndex int, tried []string, now time.Duration) (string, bool) {
	vm := fleet.vms[vmIndex]
	picked, ok := vm.Pick(placer.PickInfo{Service: "s", Tried: tried, Now: now}, fleet.random)
	if !ok {
		return "", false
	}
	coolDown := fleet.coolDowns[picked.ID]
	if coolDown == nil && fleet.running[picked.ID] < coolDownSlots+coolDownQueue {
		fleet.notifyPeers(vmIndex, func(other *placer.Placer) { other.PeerStarted(picked.ID, now) })
		fleet.running[picked.ID]++
		wait := float64(max(0, fleet.running[picked.ID]-coolDownSlots)) / coolDownSlots
		fleet.ends = append(fleet.ends, completion{vm: vmIndex, target: picked, at: now + time.Duration((1+wait)*float64(coolDownServiceTime))})
		if endedAt, ok := fleet.endedAt[picked.ID]; ok {
			fleet.recoveryTimes = append(fleet.recoveryTimes, now-endedAt)
			delete(fleet.endedAt, picked.ID)
		}
		return picked.ID, true
	}
	vm.Done(picked, placer.Full, now)
	if coolDown == nil {
		return picked.ID, false
	}
	if notified, ok := coolDown.notified[vmIndex]; !ok {
		coolDown.notified[vmIndex] = now
	} else if now > notified+inFlightGrace {
		fleet.violations++
	}
	if fleet.honours {
		vm.CoolDown(picked, coolDown.until-now, now)
	}
	return picked.ID, false
}

func (fleet *coolDownFleet) run() *coolDownFleet {
	for now := time.Duration(0); now < coolDownRunTime; {
		now += time.Duration(fleet.random.ExpFloat64() / coolDownRequestsPerSecond * float64(time.Second))
		fleet.complete(now)
		fleet.startCoolDowns(now)
		fleet.sent++
		var tried []string
		for range coolDownAttempts {
			id, ok := fleet.attempt(fleet.random.IntN(coolDownVMs), tried, now)
			if ok {
				fleet.served++
				break
			}
			fleet.rejected++
			tried = append(tried, id)
		}
	}
	slices.Sort(fleet.recoveryTimes)
	return fleet
}

// A tenth of the targets are in a cool-down of 1 to 5 s at any time. VMs that ignore
// the cool-down send requests to them again and again.
func TestHonouredCoolDownsAvoidRejections(t *testing.T) {
	is := is.New(t)
	ignored, honoured := newCoolDownFleet(false).run(), newCoolDownFleet(true).run()
	for _, run := range []struct {
		name  string
		fleet *coolDownFleet
	}{{"before", ignored}, {"heeded", honoured}} {
		fleet := run.fleet
		t.Logf("%s: served %.4f, rejected %.4f of %d requests, %d arrivals during cool-downs, serving again after %v (median), %v (p90)", run.name,
			float64(fleet.served)/float64(fleet.sent), float64(fleet.rejected)/float64(fleet.sent), fleet.sent, fleet.violations,
			fleet.recoveryTimes[len(fleet.recoveryTimes)/2].Round(time.Millisecond), fleet.recoveryTimes[len(fleet.recoveryTimes)*9/10].Round(time.Millisecond))
	}
	is.True(ignored.violations > 0)
	is.Equal(honoured.violations, 0)
	is.True(honoured.served >= ignored.served)
	is.True(honoured.rejected < ignored.rejected)
}
