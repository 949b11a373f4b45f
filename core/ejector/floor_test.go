package ejector_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/ejector"
	"godwitramp.example/core/timekeeper"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "1200", "rapid.steps": "250", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestAllowedEjectionsKeepFloor(t *testing.T) {
	for _, test := range []struct {
		floor   float64
		slots   []int
		leaving int
		want    int
	}{
		{0.5, nil, 0, 0},
		{0.5, []int{4}, 0, 0}, // the only target is never ejected
		{0, []int{4}, 0, 0},
		{0.5, []int{4, 4}, 0, 1},
		{0.51, []int{4, 4}, 0, 0},
		{0, []int{4, 4}, 0, 1},
		{0.5, []int{4, 4, 4, 4}, 0, 2},
		{0.5, []int{4, 4, 4, 4}, 1, 1},
		{0.5, []int{4, 4, 4, 4}, 3, 0},
		{0.75, []int{4, 4, 4, 4}, 0, 1},
		{0.07, slices.Repeat([]int{1}, 100), 0, 93}, // exact despite floating-point rounding
		{0.5, []int{12, 2, 2, 2}, 0, 0},             // one target has most of the slots
		{1, []int{4, 4, 4}, 0, 0},
	} {
		is := is.New(t)
		is.Equal(ejector.AllowedEjections(test.floor, test.slots, test.leaving), test.want) // the case is the one with this floor and these slots
	}
}

const group = "/a/services/s"

// declare returns a service with targets t00, t01, ... of four slots each.
func declare(floor float64, count int) *configurator.ServiceTargets {
	service := &configurator.ServiceTargets{Service: configurator.Service{Path: group, Floor: floor}}
	for i := range count {
		service.Targets = append(service.Targets, configurator.Target{Path: targetPath(i), Region: "r1", DataCentre: "r1-1", Slots: 4})
	}
	return service
}

func targetPath(i int) configurator.Path {
	return configurator.Path(fmt.Sprintf("%s/targets/t%02d", group, i))
}

// row is the permit's row in the table service.
type row struct {
	version uint64
	claim   ejector.Claim
}

// vm is a VM of the simulation. It has a view, and claims every permit.
type vm struct {
	clocks         timekeeper.Reading
	paused         bool
	monotonicStops bool
	service        *configurator.ServiceTargets
	view           ejector.View
	claimers       []*ejector.Claimer
}

func newVM(name int, service *configurator.ServiceTargets) *vm {
	vm := &vm{service: service, clocks: timekeeper.Reading{Mono: time.Duration(name) * time.Hour}}
	for i := range 3 {
		permit := &ejector.Permit{Holder: fmt.Sprint("vm", name), ID: ejector.PermitID{Group: ejector.Group{Service: group, Region: "r1"}, Index: i}}
		vm.claimers = append(vm.claimers, &ejector.Claimer{Permit: permit})
	}
	return vm
}

// ejectedTargets returns the targets that are ejected for the VM.
func (vm *vm) ejectedTargets() []configurator.Path {
	var paths []configurator.Path
	for _, active := range vm.view.ActiveEjections(vm.service, "r1", 0, vm.clocks) {
		paths = append(paths, active.Target)
	}
	return paths
}

// pullAnswer is a pull answer in transit: the statements as of when they were given,
// and when they were requested.
type pullAnswer struct {
	statements []ejector.Statement
	sent       timekeeper.Reading
	to         *vm
}

// VMs must never eject more targets together than the floor allows. The test runs
// random histories of claims, lost and late answers, pauses, clock jumps, kills and
// configuration changes, and counts the targets that any VM has ejected after each
// step.
func TestFloorHoldsInRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := declare(rapid.SampledFrom([]float64{0.5, 0.7, 0.7}).Draw(t, "floor"), 6)
		fleet := []*vm{newVM(0, service), newVM(1, service), newVM(2, service)}
		rows := make([]row, 3)
		var delayed []pullAnswer
		nonce := 0
		anyVM := func(t *rapid.T) *vm { return fleet[rapid.IntRange(0, len(fleet)-1).Draw(t, "vm")] }
		rarely := func(t *rapid.T) bool { return rapid.IntRange(0, 9).Draw(t, "rarely") == 0 }
		permit := func(t *rapid.T) int { return rapid.IntRange(0, 2).Draw(t, "permit") }
		running := func(t *rapid.T) *vm {
			chosen := anyVM(t)
			if chosen.paused {
				chosen = fleet[0]
			}
			return chosen
		}
		eject := func(t *rapid.T) {
			vm := running(t)
			target := targetPath(rapid.IntRange(0, 5).Draw(t, "target"))
			for _, claimer := range vm.claimers {
				if claimer.Permit.Eject(target, time.Minute, 1, vm.clocks) {
					return
				}
			}
		}
		pull := func(t *rapid.T) {
			requester, responder := running(t), running(t)
			for _, claimer := range responder.claimers {
				if claimer.Permit.Held(responder.clocks) {
					responder.view.Apply(claimer.Permit.Statement(responder.clocks), responder.clocks)
				}
			}
			statements := responder.view.StatementsSince(0, responder.clocks)
			if rapid.IntRange(0, 3).Draw(t, "late") == 0 {
				delayed = append(delayed, pullAnswer{statements: statements, sent: requester.clocks, to: requester})
				return
			}
			for _, statement := range statements {
				requester.view.Apply(statement, requester.clocks)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				vm, i := running(t), permit(t)
				claimer := vm.claimers[i]
				claimer.ObserveRow(rows[i].version, rows[i].claim, vm.clocks)
				if !claimer.MayWrite(vm.clocks) {
					return
				}
				nonce++
				claim := claimer.BeginWrite(fmt.Sprint(nonce), vm.clocks)
				result := rapid.SampledFrom([]string{"done", "done", "answer lost", "write lost"}).Draw(t, "fate")
				if result != "write lost" {
					rows[i] = row{version: rows[i].version + 1, claim: claim}
				}
				if result == "done" {
					claimer.ObserveRow(rows[i].version, rows[i].claim, vm.clocks)
				}
			},
			"release": func(t *rapid.T) {
				vm, i := running(t), permit(t)
				held := vm.claimers[i].Permit
				if held.Held(vm.clocks) && held.Term() == rows[i].version {
					held.Relinquish()
					rows[i] = row{version: rows[i].version + 1, claim: ejector.Claim{Released: true}}
				}
			},
			"eject": eject, "eject again": eject, "ask": pull, "ask again": pull,
			"renew": func(t *rapid.T) {
				vm := running(t)
				for _, claimer := range vm.claimers {
					claimer.Permit.RenewEjection(vm.clocks)
				}
			},
			"end": func(t *rapid.T) { running(t).claimers[permit(t)].Permit.EndEjection() },
			"answer": func(t *rapid.T) {
				if len(delayed) == 0 {
					return
				}
				i := rapid.IntRange(0, len(delayed)-1).Draw(t, "answer")
				if delayed[i].to.paused {
					return
				}
				for _, statement := range delayed[i].statements {
					delayed[i].to.view.Apply(statement, delayed[i].sent)
				}
				delayed = slices.Delete(delayed, i, i+1)
			},
			"pause": func(t *rapid.T) {
				vm := fleet[1+rapid.IntRange(0, 1).Draw(t, "vm")]
				vm.paused, vm.monotonicStops = !vm.paused && rarely(t), rapid.Bool().Draw(t, "monotonic clock stands still")
			},
			"jump": func(t *rapid.T) {
				if vm := anyVM(t); rarely(t) && !vm.paused {
					vm.clocks.Wall += time.Duration(rapid.IntRange(-3, 3).Draw(t, "hours")) * time.Hour
				}
			},
			"kill": func(t *rapid.T) {
				if i := rapid.IntRange(0, 2).Draw(t, "vm"); rarely(t) {
					clocks := fleet[i].clocks
					fleet[i] = newVM(i, service)
					fleet[i].clocks = clocks
				}
			},
			"configure": func(t *rapid.T) {
				if rarely(t) {
					service = declare(rapid.SampledFrom([]float64{0.5, 0.7, 0.9}).Draw(t, "floor"), rapid.IntRange(4, 6).Draw(t, "targets"))
				}
				anyVM(t).service = service
			},
			"time": func(t *rapid.T) {
				passed := rapid.SampledFrom([]time.Duration{time.Second, 3 * time.Second, 18 * time.Second}).Draw(t, "passed")
				if rarely(t) {
					passed = rapid.SampledFrom([]time.Duration{time.Hour, 3 * time.Hour, 5 * time.Hour}).Draw(t, "long")
				}
				for _, vm := range fleet {
					vm.clocks.Wall += passed
					if !vm.paused || !vm.monotonicStops {
						vm.clocks.Mono += passed
					}
				}
			},
			"": func(t *rapid.T) {
				out := make(map[configurator.Path]bool)
				allowed := 0
				for _, vm := range fleet {
					if vm.paused {
						continue
					}
					for _, target := range vm.ejectedTargets() {
						out[target] = true
					}
					allowed = max(allowed, ejector.AllowedEjectionsIn(vm.service, "r1"))
				}
				if len(out) > allowed {
					t.Fatalf("%d targets ejected, the floor allows %d", len(out), allowed)
				}
			},
		})
	})
}
