package follower_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// history drives a fleet by random events and holds what has to be true.
type history struct {
	*fleet
	t      *rapid.T
	is     *is.I
	cuts   map[[2]int]bool
	deafs  map[int]bool
	newest []uint64
	// sent and answered are messages under way.
	sent, answered []flight
	coveredSince   time.Duration
	coveredFor     uint64
	// lagging counts the VMs that were found behind a revision in force.
	lagging int
}

func (history *history) vm(name string) int {
	return rapid.IntRange(0, len(history.vms)-1).Draw(history.t, name)
}

// step makes one random event. Most are turns of the whole fleet, so that
// faults last longer than evidence does.
func (history *history) step(random *rand.Rand) {
	switch rapid.SampledFrom([]string{
		"turn", "turn", "turn", "turn", "turn", "turn", "turn", "turn", "send", "serve", "hear", "read", "register", "pause", "record", "cut", "split", "heal", "deafen", "outage", "restart",
	}).Draw(history.t, "event") {
	case "turn":
		history.now += 500 * time.Millisecond
		history.turn(random)
	case "send":
		from, to := history.vm("from"), history.vm("to")
		if from != to && !history.cut(from, to) {
			history.sent = append(history.sent, history.send(from, to))
		}
	case "serve":
		// A message stays under way, so that it may arrive twice.
		if len(history.sent) > 0 {
			chosen := rapid.SampledFrom(history.sent).Draw(history.t, "message")
			history.answered = append(history.answered, history.serve(chosen))
		}
	case "hear":
		if len(history.answered) > 0 {
			chosen := rapid.SampledFrom(history.answered).Draw(history.t, "answer")
			if offer, again := history.hear(chosen); again {
				history.sent = append(history.sent, offer)
			}
		}
	case "register":
		history.register(history.vm("vm"))
	case "read":
		history.read(history.vm("vm"))
	case "pause":
		history.now += time.Duration(rapid.IntRange(1, 40).Draw(history.t, "hundreds")) * 100 * time.Millisecond
	case "record":
		history.record()
	case "cut":
		history.cuts[[2]int{history.vm("from"), history.vm("to")}] = true
	case "split":
		history.split(rapid.IntRange(1, 1<<len(history.vms)-2).Draw(history.t, "side"))
	case "heal":
		clear(history.cuts)
		clear(history.deafs)
	case "deafen":
		history.deafs[history.vm("vm")] = true
	case "outage":
		for i := range history.vms {
			history.deafs[i] = true
		}
	default:
		vm := history.vm("vm")
		history.restart(vm)
		history.newest[vm] = 0
	}
}

// split cuts the VMs of a bit set off from all others, and by chance from the
// store.
func (history *history) split(side int) {
	deaf := rapid.Bool().Draw(history.t, "deaf")
	for from := range history.vms {
		if side>>from&1 == 1 {
			history.deafs[from] = deaf
		}
		for to := range history.vms {
			if side>>from&1 != side>>to&1 {
				history.cuts[[2]int{from, to}] = true
			}
		}
	}
}

// check compares the fleet with the naive log.
func (history *history) check() {
	verdict := history.verdict()
	if !verdict.Covered || history.coveredFor != history.naive.Revision {
		history.coveredFor, history.coveredSince = history.naive.Revision, history.now
	}
	settled := verdict.Covered && history.now-history.coveredSince >= settleTime
	for i, vm := range history.vms {
		history.is.True(vm.Revision() >= history.newest[i]) // the revision never falls
		history.newest[i] = vm.Revision()
		history.is.Equal(vm.Digest(), history.digests[vm.Revision()]) // the naive log's configuration
		history.is.True(!vm.Diverged())                               // nothing has diverged
		registration, ok := history.registered[vm.VM]
		if ok && registration.Incarnation == vm.Incarnation && len(verdict.Missing) == 0 {
			history.is.Equal(vm.Revision(), history.naive.Revision) // confirmed by all means on all
		}
		if settled && vm.Revision() < history.naive.Revision {
			history.lagging++
			history.is.True(!vm.KeysKnown(history.reading())) // in force: nobody serves by an older revision
		}
	}
}

// TestHistoriesAgainstNaiveLog proves that revisions never fall, that VMs
// agree with a single log, that "in force" is true, and that the fleet
// converges once it is whole.
func TestHistoriesAgainstNaiveLog(t *testing.T) {
	lagging := 0
	rapid.Check(t, func(t *rapid.T) {
		history := &history{
			fleet: newFleet(5, 3, 2), t: t, is: is.New(t), cuts: make(map[[2]int]bool), deafs: make(map[int]bool), newest: make([]uint64, 5),
		}
		history.cut = func(from, to int) bool { return history.cuts[[2]int{from, to}] }
		history.deaf = func(vm int) bool { return history.deafs[vm] }
		history.record()
		random := rand.New(rand.NewPCG(1, 1))
		for range 2 {
			history.now += time.Second
			history.turn(random)
		}
		for range rapid.IntRange(1, 150).Draw(t, "events") {
			history.step(random)
			history.check()
		}
		clear(history.cuts)
		clear(history.deafs)
		for range 12 {
			history.now += 500 * time.Millisecond
			history.turn(random)
			history.check()
		}
		for _, vm := range history.vms {
			history.is.Equal(vm.Revision(), history.naive.Revision) // convergence
			history.is.True(vm.KeysKnown(history.reading()))        // and trust
		}
		lagging += history.lagging
	})
	is.New(t).True(lagging > 100) // the check of VMs that are cut off was reached
}
