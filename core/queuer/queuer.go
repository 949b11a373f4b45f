// Package queuer bounds the requests that one VM runs at one service at a time, and
// queues the rest fairly between organisations.
//
// When a request ends, the next to start is one of the organisation with the fewest
// running requests, so that an organisation far above its rate delays only itself.
// The concurrency limit adapts to the upstreams: it falls by a fraction of one request
// when all tried targets of a request refuse it for lack of capacity (load shedding),
// and rises by as much on a good answer.
//
// # Usage
//
//	queue := queuer.New(slots)
//	ticket := &queuer.Ticket{Organisation: organisation}
//	switch queue.Enter(ticket) {
//	case queuer.Run:
//	case queuer.Wait: // until Leave or Abandon returns the ticket
//	case queuer.Refuse:
//	}
//	for _, next := range queue.Leave(ticket, queuer.Good) {
//		next.Start()
//	}
package queuer

import (
	"container/heap"

	"godwitramp.example/core/configurator"
)

// Verdict is the decision on a request that enters the queue.
type Verdict int

// The verdicts.
const (
	Run Verdict = iota
	Wait
	Refuse
)

// Feedback is what a request showed about the load of the upstreams.
type Feedback int

// The kinds of feedback: no statement on the load, a good answer, and a refusal for
// lack of capacity.
const (
	Unknown Feedback = iota
	Good
	Shed
)

const (
	// decreaseOnShed and increaseOnGood are additive changes of the concurrency limit.
	decreaseOnShed = 0.2
	increaseOnGood = 0.2
	// maxShare is the fraction of the limit that one organisation may use. It applies
	// at limits of minSharedLimit and above, so that others can start at once.
	maxShare       = 0.75
	minSharedLimit = 4
	// An organisation may have waitingPerRunning waiting tickets per unit of the
	// concurrency limit, but at least minWaitingBound. maxWaitingTickets bounds the
	// waiting tickets of all organisations.
	waitingPerRunning = 4
	minWaitingBound   = 8
	maxWaitingTickets = 1024
)

// Ticket is a request in the queue.
type Ticket struct {
	Organisation configurator.Path
	// Start is for the caller, which starts the tickets that Leave returns. The queue
	// doesn't call it.
	Start func()

	owner *organisation
	state state
}

// state is the state of a ticket.
type state int

const (
	inactive state = iota
	waiting
	running
)

// Queue holds the running and waiting requests of one VM at one service. It isn't
// safe for concurrent use.
type Queue struct {
	slots         int
	limit         float64
	running       int
	waiting       int
	starts        uint64
	organisations map[configurator.Path]*organisation
	ready         readyHeap
}

// New returns a queue for a service whose targets have the given number of slots in
// total. The concurrency limit starts at that number and never exceeds it.
func New(slots int) *Queue {
	slots = max(1, slots)
	return &Queue{slots: slots, limit: float64(slots), organisations: make(map[configurator.Path]*organisation)}
}

// SetSlots changes the number of slots. Added slots raise the limit at once.
func (queue *Queue) SetSlots(slots int) {
	slots = max(1, slots)
	added := float64(max(0, slots-queue.slots))
	queue.slots = slots
	queue.limit = min(queue.limit+added, float64(slots))
}

// Running returns the number of running tickets.
func (queue *Queue) Running() int { return queue.running }

// Waiting returns the number of waiting tickets.
func (queue *Queue) Waiting() int { return queue.waiting }

// Limit returns the concurrency limit.
func (queue *Queue) Limit() int { return int(queue.limit) }

// Enter starts or queues a ticket. It refuses it if its organisation, or the queue as
// a whole, has too many waiting.
func (queue *Queue) Enter(ticket *Ticket) Verdict {
	owner := queue.organisations[ticket.Organisation]
	if owner == nil {
		owner = &organisation{path: ticket.Organisation, index: notInHeap}
		queue.organisations[ticket.Organisation] = owner
	}
	ticket.owner = owner
	if len(owner.waiting) == 0 && queue.mayStart(owner) {
		queue.start(ticket)
		return Run
	}
	if len(owner.waiting) >= queue.maxWaiting() || queue.waiting >= maxWaitingTickets {
		queue.dropIfIdle(owner)
		return Refuse
	}
	ticket.state = waiting
	queue.waiting++
	owner.waiting = append(owner.waiting, ticket)
	queue.updateHeap(owner)
	return Wait
}

// Leave removes a running ticket, adjusts the limit, and returns the tickets that
// start now. It does nothing for a ticket that isn't running.
func (queue *Queue) Leave(ticket *Ticket, feedback Feedback) []*Ticket {
	if ticket.state != running {
		return nil
	}
	queue.AdjustLimit(feedback)
	ticket.state = inactive
	queue.running--
	ticket.owner.running--
	queue.updateHeap(ticket.owner)
	queue.dropIfIdle(ticket.owner)
	return queue.startReady()
}

// Abandon removes a waiting ticket. It reports false if the ticket isn't waiting.
func (queue *Queue) Abandon(ticket *Ticket) bool {
	if ticket.state != waiting {
		return false
	}
	owner := ticket.owner
	for i, other := range owner.waiting {
		if other == ticket {
			owner.waiting = append(owner.waiting[:i], owner.waiting[i+1:]...)
			break
		}
	}
	ticket.state = inactive
	queue.waiting--
	queue.updateHeap(owner)
	queue.dropIfIdle(owner)
	return true
}

// AdjustLimit adapts the concurrency limit to the feedback. Good answers raise it only
// while it is nearly used up.
func (queue *Queue) AdjustLimit(feedback Feedback) {
	switch {
	case feedback == Shed:
		queue.limit = max(1, queue.limit-decreaseOnShed)
	case feedback == Good && float64(queue.running) >= queue.limit-1:
		queue.limit = min(float64(queue.slots), queue.limit+increaseOnGood)
	}
}

func (queue *Queue) maxWaiting() int { return max(minWaitingBound, int(queue.limit)*waitingPerRunning) }

// mayStart reports whether the limits of the queue and of the organisation's share
// allow one more running request.
func (queue *Queue) mayStart(owner *organisation) bool {
	limit := int(queue.limit)
	if queue.running >= limit {
		return false
	}
	return limit < minSharedLimit || float64(owner.running) < maxShare*float64(limit)
}

func (queue *Queue) start(ticket *Ticket) {
	ticket.state = running
	queue.running++
	queue.starts++
	ticket.owner.running++
	ticket.owner.lastStarted = queue.starts
}

// startReady starts waiting tickets while the limit allows it.
func (queue *Queue) startReady() []*Ticket {
	var started []*Ticket
	for len(queue.ready) > 0 && queue.mayStart(queue.ready[0]) {
		owner := queue.ready[0]
		ticket := owner.waiting[0]
		owner.waiting[0] = nil
		owner.waiting = owner.waiting[1:]
		queue.waiting--
		queue.start(ticket)
		queue.updateHeap(owner)
		started = append(started, ticket)
	}
	return started
}

// dropIfIdle deletes an organisation without tickets, so that the memory is bounded by
// the number of tickets.
func (queue *Queue) dropIfIdle(owner *organisation) {
	if owner.running == 0 && len(owner.waiting) == 0 {
		delete(queue.organisations, owner.path)
	}
}

// updateHeap inserts, removes or moves the organisation in the heap after a change.
func (queue *Queue) updateHeap(owner *organisation) {
	switch {
	case owner.index == notInHeap && len(owner.waiting) > 0:
		heap.Push(&queue.ready, owner)
	case owner.index != notInHeap && len(owner.waiting) == 0:
		heap.Remove(&queue.ready, owner.index)
	case owner.index != notInHeap:
		heap.Fix(&queue.ready, owner.index)
	}
}
