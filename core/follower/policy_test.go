package follower_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// counts are the requests under one policy: in each round, every VM gets one with
// a valid key and one with a withdrawn key.
type counts struct {
	valid, refused int
	// after2 and after5 count requests served with the withdrawn key more than 2 s
	// and 5 s after its withdrawal was recorded.
	after2, after5 int
}

// fullLength simulates each fault for its full length instead of a thirtieth.
var fullLength = flag.Bool("full", false, "simulate each fault for its full length")

const shorteningFactor = 30

// fault is a scenario. The key is withdrawn half-way through.
type fault struct {
	name string
	// operatorsCutOff is true if operators can't record the withdrawal either.
	operatorsCutOff  bool
	length           time.Duration
	peerUnreachable  func(from, to int) bool
	storeUnreachable func(vm int) bool
}

const (
	policyVMs     = 40
	policyCentres = 6
	policyRegions = 3
)

func policyRegion(vm int) int { return vm % policyCentres * policyRegions / policyCentres }

func noStoreFault(int) bool     { return false }
func noPeerFault(_, _ int) bool { return false }

var faults = []fault{
	{"none, 1 h", false, time.Hour, noPeerFault, noStoreFault},
	{"store away, 3 h", true, 3 * time.Hour, noPeerFault, storeUnreachableForAll},
	{"away for VMs only, 3 h", false, 3 * time.Hour, noPeerFault, storeUnreachableForAll},
	{"region cut off, 1 h", false, time.Hour, func(from, to int) bool {
		return policyRegion(from) != policyRegion(to) && (policyRegion(from) == 2 || policyRegion(to) == 2)
	}, func(vm int) bool { return policyRegion(vm) == 2 }},
	{"one VM cut off, 1 h", false, time.Hour, func(from, to int) bool { return from == 7 || to == 7 }, func(vm int) bool { return vm == 7 }},
}

// simulate runs a scenario. Without witnesses, no VM gives evidence that the store
// is silent.
func simulate(fault fault, witnesses bool, serves func(known bool) bool) counts {
	fleet := newFleet(policyVMs, policyCentres, policyRegions)
	for _, vm := range fleet.vms {
		vm.BesideStore = vm.BesideStore && witnesses
	}
	random := rand.New(rand.NewPCG(1, 1))
	fleet.recordChange()
	fleet.rounds(random, 10)
	fleet.peerUnreachable, fleet.storeUnreachable = fault.peerUnreachable, fault.storeUnreachable
	var tally counts
	length, begin := fault.length, fleet.now
	if !*fullLength {
		length /= shorteningFactor
	}
	withdrawn := time.Duration(0)
	for fleet.now-begin < length {
		if !fault.operatorsCutOff && withdrawn == 0 && fleet.now-begin >= length/2 {
			fleet.recordChange()
			withdrawn = fleet.now
		}
		fleet.rounds(random, 1)
		for _, vm := range fleet.vms {
			served := serves(vm.KeysKnown(fleet.reading()))
			tally.valid++
			if !served {
				tally.refused++
				continue
			}
			if withdrawn == 0 || vm.Revision() >= fleet.reference.Revision {
				continue
			}
			if fleet.now-withdrawn > 2*time.Second {
				tally.after2++
			}
			if fleet.now-withdrawn > 5*time.Second {
				tally.after5++
			}
		}
	}
	return tally
}

// TestPoliciesWhenCutOff compares policies for keys on a VM that the store doesn't
// answer: always accept them, refuse after a grace period, or refuse unless peers
// give evidence that the store is silent for all.
func TestPoliciesWhenCutOff(t *testing.T) {
	is := is.New(t)
	always := func(bool) bool { return true }
	ifKnown := func(known bool) bool { return known }
	t.Logf("%-24s %-18s %10s %10s %8s %8s", "fault", "policy", "valid", "refused", ">2 s", ">5 s")
	for _, fault := range faults {
		serve, grace, withEvidence := simulate(fault, true, always), simulate(fault, false, ifKnown), simulate(fault, true, ifKnown)
		for _, row := range []struct {
			policy string
			counts
		}{{"always serve", serve}, {"refuse after grace", grace}, {"with peer evidence", withEvidence}} {
			t.Logf("%-24s %-18s %10d %9.3f%% %8d %8d", fault.name, row.policy, row.valid,
				100*float64(row.refused)/float64(row.valid), row.after2, row.after5)
		}
		is.True(withEvidence.refused <= grace.refused)
		if fault.storeUnreachable(0) {
			is.Equal(withEvidence.refused, 0) // in an outage, no VM refuses keys
		} else {
			is.Equal(withEvidence.after5, 0) // no VM accepts a withdrawn key
		}
	}
}
