package steward_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/ejector"
	"godwitramp.example/core/router"
	"godwitramp.example/shell/faker"
)

func TestFleetEjectsTogether(t *testing.T) {
	for name, faults := range map[string]faker.Faults{"no faults": {}, "store answers lost": {LoseAnswers: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fleet := start(t, vmCount, faults)
				fleet.platform.SetFaults(faker.Faults{Outage: true}) // ejection needs no store from here on
				fleet.serve(fleet.members, 5*time.Second, router.Good)
				is.Equal(fleet.countUsing(fleet.members), vmCount)
				fleet.serve(fleet.members[:3], time.Second, router.Failed)
				is.Equal(fleet.countUsing(fleet.members), 0) // also the other three VMs, without evidence of their own
				active := fleet.members[5].steward.ActiveEjections()
				is.Equal(len(active), 1)
				is.True(active[0].Holder != "") // operators see which VM decided
				time.Sleep(15 * time.Second)
				is.Equal(fleet.countUsing(fleet.members), vmCount) // the ejection has ended
			})
		})
	}
}

func TestUnreachableVMDropsEjectionWhenLeaseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := start(t, vmCount, faker.Faults{})
		fleet.serve(fleet.members[:3], time.Second, router.Failed)
		for i := range vmCount - 1 { // vm-5 gets no answers, though its peers do
			fleet.cutLink(fmt.Sprint("peer-5>peer-", i))
		}
		is.Equal(fleet.countUsing(fleet.members[5:]), 0)
		time.Sleep(15 * time.Second)
		is.Equal(fleet.countUsing(fleet.members[5:]), 1)
	})
}

func TestEjectionEndsWithItsHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := start(t, vmCount, faker.Faults{})
		fleet.serve(fleet.members[:3], time.Second, router.Failed)
		is.Equal(fleet.countUsing(fleet.members), 0)
		for _, from := range fleet.members { // no call gets an answer
			for _, to := range fleet.members {
				fleet.cutLink(from.peer.Address + ">" + to.peer.Address)
			}
		}
		time.Sleep(15 * time.Second)
		is.Equal(fleet.countUsing(fleet.members), vmCount)
	})
}

func TestLeavingTargetIsExcludedByAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := start(t, 40, faker.Faults{})
		is.Equal(fleet.countUsing(fleet.members), 40)
		target := configurator.Path(service + "/targets/t0")
		fleet.members[0].router.Done(router.Result{Target: target, Kind: router.Leaving}, fleet.members[0].Now())
		time.Sleep(3 * time.Second) // only one VM got the announcement
		is.Equal(fleet.countUsing(fleet.members), 0)
	})
}

func TestPermitsMoveToVMsChosenByRing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := start(t, vmCount, faker.Faults{})
		holders := func() map[string]bool {
			rows, err := fleet.platform.Scan(t.Context(), "ejection/", 10)
			is.NoErr(err)
			names := make(map[string]bool)
			for _, row := range rows {
				var claim ejector.Claim
				is.NoErr(json.Unmarshal(row.Value, &claim))
				names[claim.Holder] = !claim.Released
			}
			return names
		}
		before := holders()
		is.Equal(len(before), 2) // two of four targets may be ejected
		fleet.setIsolated(before, true)
		time.Sleep(30 * time.Second)
		is.Equal(holders(), before) // a VM that sees no other claims no permit that is held
		for _, member := range fleet.members {
			if before[member.peer.Name] {
				fleet.stop(member)
			}
		}
		time.Sleep(30 * time.Second)
		is.Equal(len(holders()), 1) // the first VM that read the rows claimed both
		fleet.setIsolated(before, false)
		time.Sleep(5 * time.Minute)
		is.Equal(len(holders()), 2) // the ring spreads them
	})
}

// One target after the other fails, while links between VMs are cut in one
// direction, VMs are stopped and the store has outages. Over all VMs no more
// than two of the four targets may be ejected.
func TestFloorHoldsThroughPartitionsAndStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := start(t, vmCount, faker.Faults{LoseAnswers: true})
		group := ejector.Group{Service: service, Region: "r"}
		maxEjected, changes := 0, 0
		for round := range 60 {
			failing := fmt.Sprint("t", round%4)
			fleet.mutex.Lock()
			clear(fleet.cutLinks)
			for range fleet.random.IntN(12) {
				fleet.cutLinks[fmt.Sprint("peer-", fleet.random.IntN(vmCount), ">peer-", fleet.random.IntN(vmCount))] = true
			}
			fleet.mutex.Unlock()
			fleet.platform.SetFaults(faker.Faults{LoseAnswers: round%2 == 0, Outage: round%5 == 0})
			if round == 20 || round == 40 {
				fleet.stop(fleet.members[round/20])
			}
			for range 20 {
				fleet.serveBy(fleet.members, 100*time.Millisecond, func(name string) router.ResultKind {
					if name == failing {
						return router.Failed
					}
					return router.Good
				})
				ejected := make(map[configurator.Path]bool)
				for _, member := range fleet.members {
					for _, target := range member.steward.Ejected(group) {
						ejected[target] = true
					}
				}
				if len(ejected) > 0 {
					changes++
				}
				maxEjected = max(maxEjected, len(ejected))
			}
		}
		t.Logf("at most %d of four targets ejected; some ejected in %d of 1200 checks", maxEjected, changes)
		is.Equal(maxEjected, 2) // the floor is reached and never broken
	})
}

func TestStoppedVMReleasesItsPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := start(t, vmCount, faker.Faults{})
		holders := func() string {
			rows, err := fleet.platform.Scan(t.Context(), "ejection/", 10)
			is.NoErr(err)
			var all strings.Builder
			for _, row := range rows {
				all.Write(row.Value)
			}
			return all.String()
		}
		before := holders()
		is.Equal(strings.Count(before, `"released":false`), 2) // two of four targets may be ejected
		for _, member := range fleet.members {
			fleet.stop(member)
		}
		time.Sleep(10 * time.Second)
		is.Equal(strings.Count(holders(), `"released":true`), 2)
	})
}

// TestMeasureCalls reports the cost of the exchange per VM, without and with an
// ejection, for several fleet sizes.
func TestMeasureCalls(t *testing.T) {
	t.Log("VMs | idle: calls and bytes a VM and second | with traffic and an ejection")
	for _, size := range []int{10, 20, 40} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			fleet := start(t, size, faker.Faults{})
			count := func(run func()) (calls, bytes float64) {
				startedAt := fleet.members[0].Now()
				before, sent := fleet.cost()
				run()
				after, sentAfter := fleet.cost()
				seconds := (fleet.members[0].Now() - startedAt).Seconds() * float64(size)
				return float64(after-before) / seconds, float64(sentAfter-sent) / seconds
			}
			calls, bytes := count(func() { time.Sleep(20 * time.Second) })
			busyCalls, busyBytes := count(func() { fleet.serve(fleet.members[:3], 8*time.Second, router.Failed) })
			t.Logf("%d | %.1f %.0f | %.1f %.0f", size, calls, bytes, busyCalls, busyBytes)
			is.True(calls < 5) // three pulls a second, whatever the fleet size
		})
	}
}
