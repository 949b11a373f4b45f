// Package queuer shares the work in progress of one VM at one service fairly
// between organisations.
//
// A free place goes to the organisation that has the fewest requests in
// progress, so that one that sends several times its rate waits for itself.
// How many places there are is learned from the upstreams: a request that all
// tried targets refuse for want of capacity takes a part of one away, and good
// answers give it back.
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

// Verdict says what happens to a request.
type Verdict int

// The verdicts.
const (
	Run Verdict = iota
	Wait
	Refuse
)

// Load is what an attempt told of the upstreams' load.
type Load int

// What attempts tell of the load.
const (
	Unknown Load = iota
	Good
	Shed
)

const (
	// lossOnShed and gainOnGood are in places.
	lossOnShed = 0.2
	gainOnGood = 0.2
	// largestShare of the places is what one organisation may hold where there
	// are enough for others to start at once.
	largestShare      = 0.75
	smallestShared    = 4
	waitingPerPlace   = 4
	fewestWaiting     = 8
	maxWaitingTickets = 1024
)

// Ticket is a request in the queue.
type Ticket struct {
	Organisation configurator.Path
	// Start is for whoever starts the tickets that Leave returns.
	Start func()

	owner *organisation
	state state
}

// state is where a ticket stands.
type state int

const (
	outside state = iota
	waiting
	running
)

// Queue is the work of one VM at one service. It isn't safe for concurrent
// use.
type Queue struct {
	slots         int
	limit         float64
	running       int
	waiting       int
	served        uint64
	organisations map[configurator.Path]*organisation
	ready         readyHeap
}

// New returns a queue for a service whose targets have so many slots.
func New(slots int) *Queue {
	slots = max(1, slots)
	return &Queue{slots: slots, limit: float64(slots), organisations: make(map[configurator.Path]*organisation)}
}

// SetSlots takes note of a changed number of slots.
func (queue *Queue) SetSlots(slots int) {
	slots = max(1, slots)
	added := float64(max(0, slots-queue.slots))
	queue.slots = slots
	queue.limit = min(queue.limit+added, float64(slots))
}

// Running returns the number of tickets that have a place.
func (queue *Queue) Running() int { return queue.running }

// Waiting returns the number of tickets that wait for a place.
func (queue *Queue) Waiting() int { return queue.waiting }

// Limit returns the number of places.
func (queue *Queue) Limit() int { return int(queue.limit) }

// Enter takes a ticket in, or refuses it if its organisation has too many
// waiting.
func (queue *Queue) Enter(ticket *Ticket) Verdict {
	owner := queue.organisations[ticket.Organisation]
	if owner == nil {
		owner = &organisation{path: ticket.Organisation, index: notReady}
		queue.organisations[ticket.Organisation] = owner
	}
	ticket.owner = owner
	if len(owner.waiting) == 0 && queue.free(owner) {
		queue.start(ticket)
		return Run
	}
	if len(owner.waiting) >= queue.maxWaiting() || queue.waiting >= maxWaitingTickets {
		queue.forget(owner)
		return Refuse
	}
	ticket.state = waiting
	queue.waiting++
	owner.waiting = append(owner.waiting, ticket)
	queue.fix(owner)
	return Wait
}

// Leave takes a running ticket out and returns those that start in its place.
func (queue *Queue) Leave(ticket *Ticket, load Load) []*Ticket {
	if ticket.state != running {
		return nil
	}
	queue.Learn(load)
	ticket.state = outside
	queue.running--
	ticket.owner.running--
	queue.fix(ticket.owner)
	queue.forget(ticket.owner)
	return queue.startReady()
}

// Abandon takes a waiting ticket out. It reports false if it no longer waits.
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
	ticket.state = outside
	queue.waiting--
	queue.fix(owner)
	queue.forget(owner)
	return true
}

// Learn moves the limit. Good answers raise it only while it binds.
func (queue *Queue) Learn(load Load) {
	switch {
	case load == Shed:
		queue.limit = max(1, queue.limit-lossOnShed)
	case load == Good && float64(queue.running) >= queue.limit-1:
		queue.limit = min(float64(queue.slots), queue.limit+gainOnGood)
	}
}

func (queue *Queue) maxWaiting() int { return max(fewestWaiting, int(queue.limit)*waitingPerPlace) }

// free reports whether the organisation may start a request.
func (queue *Queue) free(owner *organisation) bool {
	places := int(queue.limit)
	if queue.running >= places {
		return false
	}
	return places < smallestShared || float64(owner.running) < largestShare*float64(places)
}

func (queue *Queue) start(ticket *Ticket) {
	ticket.state = running
	queue.running++
	queue.served++
	ticket.owner.running++
	ticket.owner.lastServed = queue.served
}

// startReady starts tickets while there are places for them.
func (queue *Queue) startReady() []*Ticket {
	var started []*Ticket
	for len(queue.ready) > 0 && queue.free(queue.ready[0]) {
		owner := queue.ready[0]
		ticket := owner.waiting[0]
		owner.waiting[0] = nil
		owner.waiting = owner.waiting[1:]
		queue.waiting--
		queue.start(ticket)
		queue.fix(owner)
		started = append(started, ticket)
	}
	return started
}

// forget drops an organisation without tickets, so that the state is bounded
// by the tickets.
func (queue *Queue) forget(owner *organisation) {
	if owner.running == 0 && len(owner.waiting) == 0 {
		delete(queue.organisations, owner.path)
	}
}

// fix puts the organisation to its place among those that wait.
func (queue *Queue) fix(owner *organisation) {
	switch {
	case owner.index == notReady && len(owner.waiting) > 0:
		heap.Push(&queue.ready, owner)
	case owner.index != notReady && len(owner.waiting) == 0:
		heap.Remove(&queue.ready, owner.index)
	case owner.index != notReady:
		heap.Fix(&queue.ready, owner.index)
	}
}
