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

// The load of the bookings of the grown site, 1.3 times as heavy as usual.
const (
	coolDownVMs               = 104
	coolDownTargets           = 64
	coolDownSlots             = 4
	coolDownQueue             = 16
	coolDownRequestsPerSecond = 263 * 1.3
	coolDownServiceTime       = 310 * time.Millisecond
	coolDownRunTime           = 2 * time.Minute
	coolDownAttempts          = 2
	// overhang is how long after the answer a request may still arrive.
	inFlightGrace = 500 * time.Millisecond
)

// asking is a target that turns all requests away until a time.
type coolDown struct {
	until time.Duration
	// told is when each VM was first told so.
	notified map[int]time.Duration
}

// quietFleet plays requests at targets a tenth of which ask for quiet at any time.
type coolDownFleet struct {
	honours  bool
	random   *rand.Rand
	vms      []*placer.Placer
	targets  []placer.Target
	coolDown map[string]*coolDown
	running  map[string]int
	ends     []completion

	sent, served, rejected, violations int
	// even are the times after a quiet time until its target works on a request. They
	// have no bound: a target that was idle counts as likelier to be ill, and bookings
	// pass it by while better known ones have room.
	recoveryTimes []time.Duration
	endedAt       map[string]time.Duration
}

func newCoolDownFleet(honours bool) *coolDownFleet {
	fleet := &coolDownFleet{
		honours: honours, random: rand.New(rand.NewPCG(3, 5)), coolDown: map[string]*coolDown{}, running: map[string]int{},
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

// ask keeps a tenth of the targets asking, for 1 to 5 s each.
func (fleet *coolDownFleet) startCoolDowns(now time.Duration) {
	for id, coolDown := range fleet.coolDown {
		if now >= coolDown.until {
			delete(fleet.coolDown, id)
			fleet.endedAt[id] = coolDown.until
		}
	}
	for len(fleet.coolDown) < coolDownTargets/10 {
		id := fleet.targets[fleet.random.IntN(coolDownTargets)].ID
		if fleet.coolDown[id] == nil {
			until := now + time.Second + time.Duration(fleet.random.Int64N(int64(4*time.Second)))
			fleet.coolDown[id] = &coolDown{until: until, notified: map[int]time.Duration{}}
		}
	}
}

// finish ends the work that is done by now.
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

// tell does something at the other VMs of the data centre.
func (fleet *coolDownFleet) notifyPeers(vm int, notify func(other *placer.Placer)) {
	for i, other := range fleet.vms {
		if i != vm && other.Locality.DataCentre == fleet.vms[vm].Locality.DataCentre {
			notify(other)
		}
	}
}

// try sends a request once, and reports whether a target took it.
func (fleet *coolDownFleet) attempt(vmIndex int, tried []string, now time.Duration) (string, bool) {
	vm := fleet.vms[vmIndex]
	picked, ok := vm.Pick(placer.PickInfo{Service: "s", Tried: tried, Now: now}, fleet.random)
	if !ok {
		return "", false
	}
	coolDown := fleet.coolDown[picked.ID]
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

// A tenth of the targets want quiet for 1 to 5 s at any time. Without heeding it, as
// before, VMs send to them again and again.
func TestHonouredCoolDownsAvoidRejections(t *testing.T) {
	is := is.New(t)
	ignored, honoured := newCoolDownFleet(false).run(), newCoolDownFleet(true).run()
	for _, run := range []struct {
		name  string
		fleet *coolDownFleet
	}{{"before", ignored}, {"heeded", honoured}} {
		fleet := run.fleet
		t.Logf("%s: served %.4f, turned away %.4f of %d requests, %d arrivals in quiet times, back after %v (median), %v (p90)", run.name,
			float64(fleet.served)/float64(fleet.sent), float64(fleet.rejected)/float64(fleet.sent), fleet.sent, fleet.violations,
			fleet.recoveryTimes[len(fleet.recoveryTimes)/2].Round(time.Millisecond), fleet.recoveryTimes[len(fleet.recoveryTimes)*9/10].Round(time.Millisecond))
	}
	is.True(ignored.violations > 0)
	is.Equal(honoured.violations, 0)
	is.True(honoured.served >= ignored.served)
	is.True(honoured.rejected < ignored.rejected)
}
