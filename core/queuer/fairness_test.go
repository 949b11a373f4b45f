package queuer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/limiter"
	"godwitramp.example/core/queuer"
)

// The sizes of one service of Chunawala Softworks.
const (
	vms           = 40
	targets       = 12
	slots         = 4
	organisations = 8
	serviceTime   = 25 * time.Millisecond
	roundTrip     = time.Millisecond
	maxWait       = time.Second
	duration      = 30 * time.Second
	maxAttempts   = 4
	retryBackoff  = 10 * time.Millisecond
	capacity      = float64(targets*slots) / 0.025
)

// policy is how VMs bound and queue requests.
type policy int

const (
	unbounded policy = iota // no concurrency limit
	fifo                    // limited, in the order of arrival
	fair                    // limited, fair between organisations
)

// simulation is a discrete-event simulation of a service, its VMs and their callers.
type simulation struct {
	policy policy
	random *rand.Rand
	now    time.Duration
	events events
	queues []*queuer.Queue
	busy   [targets]int
	local  [vms][targets]int
	sent   [organisations]int
	served [organisations]int
	// bucket limits the rate of the first organisation over all VMs, unless it is nil.
	bucket  *limiter.Bucket
	latency [organisations][]time.Duration
	// attempts counts the attempts of all requests, shed those that found no free slot.
	attempts, shed int
}

type job struct {
	queuer.Ticket
	vm, organisation int
	arrived          time.Duration
	tried            []int
}

type event struct {
	at  time.Duration
	run func()
}

type events []event

func (events events) Len() int           { return len(events) }
func (events events) Less(i, j int) bool { return events[i].at < events[j].at }
func (events events) Swap(i, j int)      { events[i], events[j] = events[j], events[i] }
func (events *events) Push(item any)     { *events = append(*events, item.(event)) }
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

func (simulation *simulation) after(wait time.Duration, run func()) {
	heap.Push(&simulation.events, event{simulation.now + wait, run})
}

func (simulation *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(simulation.random.ExpFloat64() * float64(mean))
}

// arrive sends an organisation's requests as a Poisson process.
func (simulation *simulation) arrive(organisation int, rate float64) {
	simulation.after(simulation.exponential(time.Duration(float64(time.Second)/rate)), func() {
		simulation.arrive(organisation, rate)
		if organisation == 0 && simulation.bucket != nil && !simulation.bucket.Take(simulation.now, 1) {
			return
		}
		if simulation.now > duration-2*time.Second {
			return // too late to be served before the end
		}
		job := &job{vm: simulation.random.IntN(vms), organisation: organisation, arrived: simulation.now}
		if simulation.policy == fair {
			job.Organisation = configurator.Path(fmt.Sprint(organisation))
		}
		job.Start = func() { simulation.attempt(job) }
		simulation.sent[organisation]++
		if simulation.policy == unbounded || simulation.queues[job.vm].Enter(&job.Ticket) == queuer.Run {
			simulation.attempt(job)
			return
		}
		simulation.after(maxWait, func() { simulation.queues[job.vm].Abandon(&job.Ticket) })
	})
}

// pick returns the one of two random targets with fewer requests in flight from the VM.
func (simulation *simulation) pick(job *job) int {
	choose := func() int {
		for {
			if target := simulation.random.IntN(targets); !slices.Contains(job.tried, target) {
				return target
			}
		}
	}
	first, second := choose(), choose()
	if simulation.local[job.vm][second] < simulation.local[job.vm][first] {
		return second
	}
	return first
}

func (simulation *simulation) attempt(job *job) {
	target := simulation.pick(job)
	job.tried = append(job.tried, target)
	simulation.attempts++
	if simulation.busy[target] == slots {
		simulation.shed++
		simulation.after(roundTrip, func() {
			if len(job.tried) < maxAttempts {
				simulation.attempt(job)
				return
			}
			simulation.backOff(job)
		})
		return
	}
	simulation.busy[target]++
	simulation.local[job.vm][target]++
	simulation.after(roundTrip+simulation.exponential(serviceTime), func() {
		simulation.busy[target]--
		simulation.local[job.vm][target]--
		simulation.served[job.organisation]++
		simulation.latency[job.organisation] = append(simulation.latency[job.organisation], simulation.now-job.arrived)
		simulation.leave(job, queuer.Good)
	})
}

// backOff delays the next attempt of a job that all tried targets have shed. The job
// keeps its place in the concurrency limit.
func (simulation *simulation) backOff(job *job) {
	if simulation.policy == unbounded || simulation.now-job.arrived > maxWait {
		simulation.leave(job, queuer.Shed)
		return
	}
	simulation.queues[job.vm].AdjustLimit(queuer.Shed)
	job.tried = nil
	simulation.after(simulation.exponential(retryBackoff), func() { simulation.attempt(job) })
}

func (simulation *simulation) leave(job *job, feedback queuer.Feedback) {
	if simulation.policy == unbounded {
		return
	}
	for _, ticket := range simulation.queues[job.vm].Leave(&job.Ticket, feedback) {
		ticket.Start()
	}
}

// outcome describes the worst-served organisation of those within their rate.
type outcome struct {
	servedShare float64
	p99         time.Duration
	shedShare   float64
}

// run simulates eight organisations that together use the given share of the
// capacity, the first of them at a multiple of its rate.
func run(policy policy, limited bool, share, multiple float64) outcome {
	simulation := &simulation{policy: policy, random: rand.New(rand.NewPCG(1, 2))}
	for range vms {
		simulation.queues = append(simulation.queues, queuer.New(targets*slots))
	}
	rate := capacity * share / organisations
	if limited {
		simulation.bucket = &limiter.Bucket{Rate: rate, Burst: rate}
		simulation.bucket.Refill(0)
	}
	simulation.arrive(0, rate*multiple)
	for organisation := 1; organisation < organisations; organisation++ {
		simulation.arrive(organisation, rate)
	}
	for simulation.now < duration {
		next := heap.Pop(&simulation.events).(event)
		simulation.now = next.at
		next.run()
	}
	worst := outcome{servedShare: 1, shedShare: float64(simulation.shed) / float64(simulation.attempts)}
	for organisation := 1; organisation < organisations; organisation++ {
		latencies := simulation.latency[organisation]
		slices.Sort(latencies)
		worst.servedShare = min(worst.servedShare, float64(simulation.served[organisation])/float64(simulation.sent[organisation]))
		worst.p99 = max(worst.p99, latencies[len(latencies)*99/100])
	}
	return worst
}

// An organisation at five times its rate must not hurt the others under the fair
// policy: at least 99% of their requests are served and their p99 at most doubles.
func TestOneOrganisationAtFiveTimesItsRate(t *testing.T) {
	is := is.New(t)
	tests := []struct {
		name    string
		policy  policy
		limited bool
	}{
		{"no bounds", unbounded, false},
		{"fifo, rate", fifo, true},
		{"fair, rate", fair, true},
	}
	for _, share := range []float64{0.8, 0.9} {
		t.Logf("at rate, all use %.0f%% of the capacity", 100*share)
		t.Logf("%-16s %-6s %8s %10s %6s", "policy", "load", "kept", "p99", "shed")
		for _, test := range tests {
			var results [2]outcome
			for i, multiple := range []float64{1, 5} {
				got := run(test.policy, test.limited, share, multiple)
				results[i] = got
				t.Logf("%-16s %-6.0f %7.2f%% %10v %5.1f%%", test.name, multiple, 100*got.servedShare, got.p99.Round(time.Millisecond/10), 100*got.shedShare)
			}
			if test.policy == fair && test.limited {
				is.True(results[1].servedShare >= 0.99)
				is.True(results[1].p99 <= 2*results[0].p99)
			}
		}
	}
}
