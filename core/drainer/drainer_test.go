package drainer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/drainer"
	"godwitramp.example/core/retrier"
)

var policy = drainer.Policy{
	BalancerDrain: 3 * time.Second, Grace: 6 * time.Second, ExitReserve: 400 * time.Millisecond, AnswerReserve: 200 * time.Millisecond,
}

func TestAdmits(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		elapsed, usual time.Duration
		want           bool
	}{
		{0, 0, true},
		{0, 5400 * time.Millisecond, true},
		{0, 5401 * time.Millisecond, false},
		{2 * time.Second, 3400 * time.Millisecond, true},
		{2 * time.Second, 3401 * time.Millisecond, false},
		{2999 * time.Millisecond, 0, true},
		{3 * time.Second, 0, false},
		{5500 * time.Millisecond, time.Millisecond, false},
	} {
		is.Equal(policy.Admits(test.elapsed, test.usual), test.want) // elapsed, usual
	}
	short := drainer.Policy{BalancerDrain: 3 * time.Second, Grace: 2 * time.Second, ExitReserve: 400 * time.Millisecond}
	is.True(short.Admits(1500*time.Millisecond, 100*time.Millisecond))
	is.True(!short.Admits(1500*time.Millisecond, 200*time.Millisecond))
	is.True(policy.Fits(4*time.Second, time.Second)) // taken before the balancer's drain time
	is.True(!policy.Fits(4*time.Second, 2*time.Second))
	is.True(!policy.Fits(policy.GiveUpTime(), 0))
	none := drainer.Policy{Grace: time.Second, ExitReserve: 2 * time.Second}
	is.Equal(none.GiveUpTime(), time.Duration(0))
	is.True(!none.Admits(0, 0))
}

// excused is the time from SIGTERM within which the platform allows a request to be cut whose
// target is still at work when the VM exits.
const excused = 3 * time.Second

// outcome is what the callers of a VM got from its SIGTERM to its exit.
type outcome struct {
	requests, cut, cutUnexcused int
	// waited is the sum of the times until the callers had their answers.
	waited time.Duration
}

func (outcome outcome) plus(other outcome) outcome {
	outcome.requests += other.requests
	outcome.cut += other.cut
	outcome.cutUnexcused += other.cutUnexcused
	outcome.waited += other.waited
	return outcome
}

// play sends requests over kept connections to a VM that stops. Those that are refused or cut
// are sent to another VM.
func play(admits func(elapsed, usual time.Duration) bool, seed uint64) (outcome outcome) {
	const backoff = 100 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 0))
	latency := func() time.Duration {
		return time.Duration((0.6 + 0.6*random.ExpFloat64()) * float64(time.Second))
	}
	estimator := &retrier.Estimator{}
	for range 30 {
		estimator.Observe(latency())
	}
	for at := time.Duration(0); at < policy.GiveUpTime(); at += time.Duration(random.ExpFloat64() * float64(20*time.Millisecond)) {
		outcome.requests++
		first, again := latency(), latency()
		switch {
		case !admits(at, estimator.HedgeDelay(8*time.Second)):
			outcome.waited += backoff + again
		case at+first > policy.GiveUpTime():
			outcome.cut++
			if at > excused {
				outcome.cutUnexcused++
			}
			outcome.waited += policy.GiveUpTime() - at + again
		default:
			outcome.waited += first
		}
	}
	return outcome
}

// Requests that arrive late in a stop are refused, as those admitted would be cut.
func TestLateRequestsAreNotCut(t *testing.T) {
	is := is.New(t)
	everything := func(time.Duration, time.Duration) bool { return true }
	var before, after outcome
	for seed := range uint64(100) {
		before, after = before.plus(play(everything, seed)), after.plus(play(policy.Admits, seed))
	}
	t.Logf("of %d requests %d cut, answered after %v; with admission %d cut, %v", before.requests,
		before.cut, before.waited/time.Duration(before.requests), after.cut, after.waited/time.Duration(after.requests))
	is.True(before.cutUnexcused > 0)
	is.Equal(after.cutUnexcused, 0)
	is.True(after.cut < before.cut)
	is.True(after.waited <= before.waited) // callers don't pay for it
}
