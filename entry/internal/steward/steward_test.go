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
	for name, faults := range map[string]faker.Faults{"all well": {}, "store answers lost": {LoseAnswers: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fleet := start(t, usual, faults)
				fleet.platform.SetFaults(faker.Faults{Outage: true}) // not needed from here on
				fleet.serve(fleet.nodes, 5*time.Second, router.Good)
				is.Equal(fleet.uses(fleet.nodes), usual)
				fleet.serve(fleet.nodes[:3], time.Second, router.Failed)
				is.Equal(fleet.uses(fleet.nodes), 0) // the other three have no evidence of their own
				obeyed := fleet.nodes[5].steward.Obeyed()
				is.Equal(len(obeyed), 1)
				is.True(obeyed[0].Holder != "") // operators are told who decided
				time.Sleep(15 * time.Second)
				is.Equal(fleet.uses(fleet.nodes), usual) // it comes back
			})
		})
	}
}

func TestCutOffVMObeysOnlyUntilItsLeaseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := start(t, usual, faker.Faults{})
		fleet.serve(fleet.nodes[:3], time.Second, router.Failed)
		for i := range usual - 1 { // vm-5 is heard, but hears nothing
			fleet.setCut(fmt.Sprint("peer-5>peer-", i))
		}
		is.Equal(fleet.uses(fleet.nodes[5:]), 0)
		time.Sleep(15 * time.Second)
		is.Equal(fleet.uses(fleet.nodes[5:]), 1)
	})
}

func TestEjectionEndsWithItsHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := start(t, usual, faker.Faults{})
		fleet.serve(fleet.nodes[:3], time.Second, router.Failed)
		is.Equal(fleet.uses(fleet.nodes), 0)
		for _, from := range fleet.nodes { // nobody hears anybody
			for _, to := range fleet.nodes {
				fleet.setCut(from.peer.Address + ">" + to.peer.Address)
			}
		}
		time.Sleep(15 * time.Second)
		is.Equal(fleet.uses(fleet.nodes), usual)
	})
}

func TestLeavingTargetGetsNothingFromAnyVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := start(t, 40, faker.Faults{})
		is.Equal(fleet.uses(fleet.nodes), 40)
		target := configurator.Path(service + "/targets/t0")
		fleet.nodes[0].router.Done(router.Result{Target: target, Kind: router.Leaving}, fleet.nodes[0].Now())
		time.Sleep(3 * time.Second) // one VM has heard it
		is.Equal(fleet.uses(fleet.nodes), 0)
	})
}

func TestPermitsMoveToTheirVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := start(t, usual, faker.Faults{})
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
		is.Equal(len(before), 2) // two of four targets may be out
		fleet.setAlone(before, true)
		time.Sleep(30 * time.Second)
		is.Equal(holders(), before) // a VM that knows no other takes nothing that is held
		for _, node := range fleet.nodes {
			if before[node.peer.Name] {
				fleet.stop(node)
			}
		}
		time.Sleep(30 * time.Second)
		is.Equal(len(holders()), 1) // the first one that looked took both
		fleet.setAlone(before, false)
		time.Sleep(5 * time.Minute)
		is.Equal(len(holders()), 2) // the ring spreads them
	})
}

// TestFloorThroughCutsAndKills lets one target after the other fail, while ways
// between VMs are cut in one direction, VMs are stopped and the store goes
// away. Over all VMs no more than two of the four targets may be out.
func TestFloorThroughCutsAndKills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := start(t, usual, faker.Faults{LoseAnswers: true})
		group := ejector.Group{Service: service, Region: "r"}
		most, changes := 0, 0
		for round := range 60 {
			failing := fmt.Sprint("t", round%4)
			fleet.mutex.Lock()
			clear(fleet.cut)
			for range fleet.random.IntN(12) {
				fleet.cut[fmt.Sprint("peer-", fleet.random.IntN(usual), ">peer-", fleet.random.IntN(usual))] = true
			}
			fleet.mutex.Unlock()
			fleet.platform.SetFaults(faker.Faults{LoseAnswers: round%2 == 0, Outage: round%5 == 0})
			if round == 20 || round == 40 {
				fleet.stop(fleet.nodes[round/20])
			}
			for range 20 {
				fleet.serveBy(fleet.nodes, 100*time.Millisecond, func(name string) router.ResultKind {
					if name == failing {
						return router.Failed
					}
					return router.Good
				})
				out := make(map[configurator.Path]bool)
				for _, node := range fleet.nodes {
					for _, target := range node.steward.Ejected(group) {
						out[target] = true
					}
				}
				if len(out) > 0 {
					changes++
				}
				most = max(most, len(out))
			}
		}
		t.Logf("at most %d of four targets out; some out in %d of 1200 looks", most, changes)
		is.Equal(most, 2) // the floor is reached and never broken
	})
}

func TestStoppedVMGivesItsPermitsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := start(t, usual, faker.Faults{})
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
		is.Equal(strings.Count(before, `"released":false`), 2) // two of four targets may be out
		for _, node := range fleet.nodes {
			fleet.stop(node)
		}
		time.Sleep(10 * time.Second)
		is.Equal(strings.Count(holders(), `"released":true`), 2)
	})
}

// TestMeasureCalls prints what the exchange costs each VM, without and with an
// ejection, beside the size of the fleet.
func TestMeasureCalls(t *testing.T) {
	t.Log("VMs | idle: calls and bytes a VM and second | with traffic and an ejection")
	for _, size := range []int{10, 20, 40} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			fleet := start(t, size, faker.Faults{})
			count := func(run func()) (calls, bytes float64) {
				began := fleet.nodes[0].Now()
				before, sent := fleet.cost()
				run()
				after, sentAfter := fleet.cost()
				seconds := (fleet.nodes[0].Now() - began).Seconds() * float64(size)
				return float64(after-before) / seconds, float64(sentAfter-sent) / seconds
			}
			calls, bytes := count(func() { time.Sleep(20 * time.Second) })
			busyCalls, busyBytes := count(func() { fleet.serve(fleet.nodes[:3], 8*time.Second, router.Failed) })
			t.Logf("%d | %.1f %.0f | %.1f %.0f", size, calls, bytes, busyCalls, busyBytes)
			is.True(calls < 5) // three pulls in a second, whatever the size
		})
	}
}
