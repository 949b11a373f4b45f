package follower_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// history drives a fleet with random events and checks its invariants.
type history struct {
	*fleet
	t                *rapid.T
	is               *is.I
	unreachablePeers map[[2]int]bool
	unreachableStore map[int]bool
	highestRevision  []uint64
	// sent and answered are messages in flight.
	sent, answered []call
	coveredSince   time.Duration
	coveredFor     uint64
	// checkedLagging counts how often a VM was found behind a revision in force.
	checkedLagging int
}

func (history *history) vm(name string) int {
	return rapid.IntRange(0, len(history.vms)-1).Draw(history.t, name)
}

// step runs one random event. Most are rounds of the whole fleet, so that faults
// outlast the evidence.
func (history *history) step(random *rand.Rand) {
	switch rapid.SampledFrom([]string{
		"turn", "turn", "turn", "turn", "turn", "turn", "turn", "turn", "send", "serve", "hear", "read", "register", "pause", "record", "cut", "split", "heal", "deafen", "outage", "restart",
	}).Draw(history.t, "event") {
	case "turn":
		history.now += 500 * time.Millisecond
		history.round(random)
	case "send":
		from, to := history.vm("from"), history.vm("to")
		if from != to && !history.peerUnreachable(from, to) {
			history.sent = append(history.sent, history.startExchange(from, to))
		}
	case "serve":
		// The message stays in flight, so that it may arrive twice.
		if len(history.sent) > 0 {
			chosen := rapid.SampledFrom(history.sent).Draw(history.t, "message")
			history.answered = append(history.answered, history.answerCall(chosen))
		}
	case "hear":
		if len(history.answered) > 0 {
			chosen := rapid.SampledFrom(history.answered).Draw(history.t, "answer")
			if second, needed := history.receiveAnswer(chosen); needed {
				history.sent = append(history.sent, second)
			}
		}
	case "register":
		history.register(history.vm("vm"))
	case "read":
		history.readStore(history.vm("vm"))
	case "pause":
		history.now += time.Duration(rapid.IntRange(1, 40).Draw(history.t, "hundreds")) * 100 * time.Millisecond
	case "record":
		history.recordChange()
	case "cut":
		history.unreachablePeers[[2]int{history.vm("from"), history.vm("to")}] = true
	case "split":
		history.split(rapid.IntRange(1, 1<<len(history.vms)-2).Draw(history.t, "side"))
	case "heal":
		clear(history.unreachablePeers)
		clear(history.unreachableStore)
	case "deafen":
		history.unreachableStore[history.vm("vm")] = true
	case "outage":
		for i := range history.vms {
			history.unreachableStore[i] = true
		}
	default:
		vm := history.vm("vm")
		history.restart(vm)
		history.highestRevision[vm] = 0
	}
}

// split partitions the VMs in a bit set from all others, and at random from the
// store.
func (history *history) split(side int) {
	storeToo := rapid.Bool().Draw(history.t, "deaf")
	for from := range history.vms {
		if side>>from&1 == 1 {
			history.unreachableStore[from] = storeToo
		}
		for to := range history.vms {
			if side>>from&1 != side>>to&1 {
				history.unreachablePeers[[2]int{from, to}] = true
			}
		}
	}
}

// check compares the fleet with the reference log.
func (history *history) check() {
	progress := history.progress()
	if !progress.Covered || history.coveredFor != history.reference.Revision {
		history.coveredFor, history.coveredSince = history.reference.Revision, history.now
	}
	settled := progress.Covered && history.now-history.coveredSince >= settleTime
	for i, vm := range history.vms {
		history.is.True(vm.Revision() >= history.highestRevision[i]) // the revision never decreases
		history.highestRevision[i] = vm.Revision()
		history.is.Equal(vm.Digest(), history.digests[vm.Revision()]) // the configuration in the reference log
		history.is.True(!vm.Diverged())                               // no VM has diverged
		registration, ok := history.registered[vm.VM]
		if ok && registration.Incarnation == vm.Incarnation && len(progress.Missing) == 0 {
			history.is.Equal(vm.Revision(), history.reference.Revision) // if all have confirmed, all have it
		}
		if settled && vm.Revision() < history.reference.Revision {
			history.checkedLagging++
			history.is.True(!vm.KeysKnown(history.reading())) // once it is in force, no VM accepts keys by an older revision
		}
	}
}

// Revisions must never decrease, VMs must agree with a single log, "in force" must
// be true when it is reported, and the fleet must converge once faults end.
func TestHistoriesAgainstNaiveLog(t *testing.T) {
	lagging := 0
	rapid.Check(t, func(t *rapid.T) {
		history := &history{
			fleet: newFleet(5, 3, 2), t: t, is: is.New(t), unreachablePeers: make(map[[2]int]bool), unreachableStore: make(map[int]bool), highestRevision: make([]uint64, 5),
		}
		history.peerUnreachable = func(from, to int) bool { return history.unreachablePeers[[2]int{from, to}] }
		history.storeUnreachable = func(vm int) bool { return history.unreachableStore[vm] }
		history.recordChange()
		random := rand.New(rand.NewPCG(1, 1))
		for range 2 {
			history.now += time.Second
			history.round(random)
		}
		for range rapid.IntRange(1, 150).Draw(t, "events") {
			history.step(random)
			history.check()
		}
		clear(history.unreachablePeers)
		clear(history.unreachableStore)
		for range 12 {
			history.now += 500 * time.Millisecond
			history.round(random)
			history.check()
		}
		for _, vm := range history.vms {
			history.is.Equal(vm.Revision(), history.reference.Revision) // convergence
			history.is.True(vm.KeysKnown(history.reading()))            // and every VM accepts keys
		}
		lagging += history.checkedLagging
	})
	is.New(t).True(lagging > 100) // the check of lagging VMs was reached
}
