package poller_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/poller"
)

// bound is how soon VMs have to know of a change.
const bound = 2 * time.Second

// start returns a poller that has read its table at version 10.
func start() *poller.Poller {
	poller := &poller.Poller{MaxStaleness: bound}
	poller.RecordAnswer(10, 0, 0, true)
	return poller
}

func TestFirstVMAlwaysWatches(t *testing.T) {
	is := is.New(t)
	first := start()
	is.Equal(first.Next(0, time.Second).Action, poller.Watch)
	is.Equal(first.Next(0, time.Minute).Action, poller.Watch)
}

func TestOthersRestWhileClaimsCome(t *testing.T) {
	is := is.New(t)
	other := start()
	for now := time.Duration(0); now < time.Minute; now += 1300 * time.Millisecond {
		is.True(!other.RecordClaim(10, now)) // nothing new
		is.Equal(other.Next(3, now+1200*time.Millisecond).Action, poller.Idle)
		is.Equal(other.AsOf(), now)
	}
}

func TestOthersTakeOverInOrder(t *testing.T) {
	is := is.New(t)
	second, third := start(), start()
	asks := func(vm *poller.Poller, rank int) time.Duration {
		for now := time.Duration(0); ; now += 10 * time.Millisecond {
			if vm.Next(rank, now).Action == poller.Watch {
				return now
			}
		}
	}
	is.True(asks(second, 1) < asks(third, 2))
	// If the claims stop, the last one still knows of a change within the bound.
	is.True(asks(start(), 1000) <= bound-300*time.Millisecond)
}

// A claim that is lost must not make all VMs of a group ask.
func TestOneLostClaimIsBorne(t *testing.T) {
	is := is.New(t)
	first, second := start(), start()
	second.RecordClaim(10, 0)
	wait := first.Next(0, 0).Wait
	is.Equal(second.Next(1, wait+400*time.Millisecond).Action, poller.Idle)
}

func TestVMThatIsBehindAsksAtOnceAndStaysOld(t *testing.T) {
	is := is.New(t)
	other := start()
	is.True(other.RecordClaim(12, time.Second))
	is.Equal(other.Next(5, time.Second).Action, poller.Watch)
	is.Equal(other.AsOf(), time.Duration(0)) // the claim is about what it doesn't know
	is.True(!other.RecordClaim(12, time.Second))    // heard already
	other.RecordAnswer(12, 12, 1100*time.Millisecond, false)
	is.Equal(other.Next(5, 1200*time.Millisecond).Action, poller.Idle)
}

// A deletion isn't seen in a whole answer, so a VM that has read the whole table
// must not claim that nothing changed since the newest row.
func TestWholeAnswerClaimsItsOwnVersion(t *testing.T) {
	is := is.New(t)
	reader := &poller.Poller{}
	reader.RecordAnswer(20, 7, 0, true)
	change, known := reader.LastChange()
	is.True(known)
	is.Equal(change, uint64(20))
}

// Changes that another VM passes on spare the call, also while the store turns
// this VM away.
func TestPassedChangesSpareTheCall(t *testing.T) {
	is := is.New(t)
	vm := start()
	vm.RecordFailure(3, 0, 1)
	is.True(vm.Contiguous(10))
	is.True(!vm.Contiguous(11)) // something between is missing
	vm.RecordRelayed(14, time.Second)
	vm.RecordClaim(14, time.Second)
	is.True(!vm.Behind())
	is.Equal(vm.AsOf(), time.Second)
	is.Equal(vm.Failures(), 1) // the store still doesn't answer
	vm.Invalidate()
	is.True(!vm.Contiguous(14))
}

func TestFailedCallsPause(t *testing.T) {
	is := is.New(t)
	vm := start()
	now := 10 * time.Second
	var last time.Duration
	for range 8 {
		vm.RecordFailure(1, now, 1)
		next := vm.Next(1, now)
		is.Equal(next.Action, poller.Idle)
		is.True(next.Wait >= last && next.Wait <= 2*time.Second)
		last = next.Wait
	}
	vm.RecordClaim(10, now) // the store is back, as another VM says
	vm.RecordAnswer(10, 0, now, false)
	is.Equal(vm.Next(0, now).Action, poller.Watch)
}

// What lapsed while the store was away may come back; what went while only this
// VM was cut off is gone.
func TestCutOfOneVMIsNoOutage(t *testing.T) {
	is := is.New(t)
	cutOff, outage := start(), start()
	for _, vm := range []*poller.Poller{cutOff, outage} {
		vm.RecordClaim(10, 4900*time.Millisecond)
		vm.RecordFailure(1, 5*time.Second, 1)
		is.True(vm.MayBeOutage())
	}
	cutOff.RecordClaim(10, 5500*time.Millisecond)
	outage.RecordClaim(10, 9*time.Second) // another VM found the store first
	is.True(!cutOff.MayBeOutage())
	is.True(outage.MayBeOutage())
}

// A call to a store that doesn't answer must not take long, so that a VM knows
// what has gone within the time to get in touch.
func TestLostStoreIsFoundSoon(t *testing.T) {
	is := is.New(t)
	vm := start()
	for range 5 {
		vm.RecordFailure(4, 10*time.Second, 1)
	}
	rest := vm.Next(4, 10*time.Second)
	call := vm.Next(4, 10*time.Second+rest.Wait)
	is.Equal(call.Action, poller.Watch)
	is.True(rest.Wait+call.Wait <= time.Second)
}

func TestForgetReadsAnew(t *testing.T) {
	is := is.New(t)
	vm := start()
	vm.Invalidate()
	is.Equal(vm.Next(4, 0).Action, poller.Read)
	is.True(!vm.RecordClaim(30, time.Second)) // what it knows is no base for claims
	_, known := vm.LastChange()
	is.True(!known)
}

// The others must not wait for the end of the first VM's transfer.
func TestLongAnswerIsAskedForAtOnce(t *testing.T) {
	is := is.New(t)
	other := start()
	is.True(other.RecordTransfer(10))
	is.Equal(other.Next(5, 0).Action, poller.Watch)
	is.True(other.Behind())
	is.True(!other.RecordTransfer(10)) // each heartbeat says so meanwhile
	other.RecordAnswer(12, 12, time.Second, false)
	is.True(!other.Behind())
	is.True(!other.RecordTransfer(10)) // a slower VM still gets what this one has
	is.True(other.RecordTransfer(12))
}

func TestLongAnswerIsNoNewsBeforeTheFirstReading(t *testing.T) {
	is := is.New(t)
	vm := &poller.Poller{MaxStaleness: bound}
	is.True(!vm.RecordTransfer(10))
	is.Equal(vm.Next(0, 0).Action, poller.Read)
}

// The last VM that asks by itself still has the whole transfer before the bound.
func TestLongRowsAreAskedForEarlier(t *testing.T) {
	const bound = 3 * time.Second
	for _, test := range []struct {
		length   int64
		transfer time.Duration
	}{
		{0, 700 * time.Millisecond}, // may grow by 1,400 routes at once
		{500_000, 700 * time.Millisecond},
		{1_000_000, 950 * time.Millisecond},
		{1_450_000, 1450 * time.Millisecond},
		{50_000_000, 1450 * time.Millisecond},
	} {
		vm := &poller.Poller{MaxStaleness: bound, LargeRows: true}
		vm.RecordAnswer(10, 0, 0, true)
		vm.RecordAnswerSize(test.length, false)
		vm.RecordAnswerSize(1, false) // another row has changed
		asks := time.Duration(0)
		for vm.Next(100, asks).Action != poller.Watch {
			asks += 10 * time.Millisecond
		}
		if asks+test.transfer > bound {
			t.Errorf("rows of %d bytes are asked for after %v, which leaves %v", test.length, asks, bound-asks)
		}
		if rest := vm.Next(0, 0).Wait; rest < 200*time.Millisecond {
			t.Errorf("rows of %d bytes are polled for every %v", test.length, rest)
		}
	}
}

// A claim may be of a change to another table; the VM must not wait for one of its own
// and count as behind for so long.
func TestNewsOfAnotherTableEndSoon(t *testing.T) {
	is := is.New(t)
	vm := &poller.Poller{MaxStaleness: 3 * time.Second, LargeRows: true}
	vm.RecordAnswer(10, 0, 0, true)
	vm.RecordClaim(12, time.Second)
	for rank := range 3 {
		is.True(vm.Next(rank, time.Second).Wait <= 200*time.Millisecond)
	}
}

// While the table has to be read anew, the VM still hears that it has changed.
func TestChangeIsHeardOfWhileReadingAnew(t *testing.T) {
	is := is.New(t)
	vm := start()
	vm.Invalidate()
	vm.RecordClaim(10, time.Second)
	is.True(!vm.Behind())
	is.Equal(vm.AsOf(), time.Duration(0)) // what it knows is no base for claims
	vm.RecordClaim(12, time.Second)
	is.True(vm.Behind())
	vm.RecordAnswer(12, 0, time.Second, true)
	is.True(!vm.Behind())
}

// A VM that has missed several changes must not get each of them.
func TestMissedConfigurationsAreSkipped(t *testing.T) {
	is := is.New(t)
	vm := &poller.Poller{MaxStaleness: 3 * time.Second, LargeRows: true}
	vm.RecordAnswer(10, 4, 0, true)
	change, _ := vm.LastChange()
	is.Equal(change, uint64(4)) // a reading is no news to others
	is.Equal(vm.Next(0, 0).Action, poller.Watch)
	vm.RecordClaim(12, time.Second)
	is.Equal(vm.Next(0, time.Second).Action, poller.Read)
	vm.RecordAnswer(12, 12, time.Second, true)
	vm.RecordFailure(0, 2*time.Second, 1)
	is.Equal(vm.Next(0, 3*time.Second).Action, poller.Read)
}

// While a long reading comes, it may hold a change; if it fails, nothing is known of one.
func TestLongReadingMayHoldAChange(t *testing.T) {
	is := is.New(t)
	vm := &poller.Poller{MaxStaleness: 3 * time.Second, LargeRows: true}
	vm.RecordAnswer(10, 4, 0, true)
	vm.Invalidate()
	vm.RecordLongRead()
	is.True(vm.Behind())
	vm.RecordFailure(0, time.Second, 1)
	is.True(!vm.Behind()) // the store may be away for hours
	vm.RecordLongRead()
	vm.RecordAnswer(12, 4, time.Second, true)
	is.True(!vm.Behind())
}

// An answer that another VM has overtaken must not look like an outage: targets whose
// entries go right after one may come back.
func TestOlderAnswerIsNoOutage(t *testing.T) {
	is := is.New(t)
	vm := start()
	vm.RecordRelayed(14, time.Second)
	is.True(vm.Stale(12))
	is.True(!vm.Stale(14))
	vm.RecordStaleAnswer(time.Second)
	is.True(!vm.MayBeOutage())
	is.Equal(vm.Failures(), 0)
	rest := vm.Next(0, time.Second)
	is.Equal(rest.Action, poller.Idle)
	vm.RecordStaleAnswer(time.Second)
	is.True(vm.Next(0, time.Second).Wait > rest.Wait)
}

// After a transfer that took longer than a change may, the VM must not count as current
// before it has asked again, and must not read everything again for that.
func TestOldAnswerIsCheckedAtOnce(t *testing.T) {
	is := is.New(t)
	vm := &poller.Poller{MaxStaleness: 3 * time.Second, LargeRows: true}
	vm.RecordAnswer(10, 10, time.Second, false)
	vm.ScheduleRecheck(1100 * time.Millisecond)
	is.True(!vm.Behind())
	vm.RecordAnswer(12, 12, 2*time.Second, false)
	vm.ScheduleRecheck(6 * time.Second)
	is.True(vm.Behind())
	next := vm.Next(4, 6*time.Second)
	is.Equal(next.Action, poller.Watch)
	is.True(next.Wait <= 200*time.Millisecond)
	vm.RecordAnswer(12, 0, 6200*time.Millisecond, false)
	vm.ScheduleRecheck(6200 * time.Millisecond)
	is.True(!vm.Behind())
}
