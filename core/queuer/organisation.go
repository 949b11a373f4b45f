package queuer

import "godwitramp.example/core/configurator"

// organisation holds the tickets of one organisation.
type organisation struct {
	path    configurator.Path
	running int
	waiting []*Ticket
	// lastStarted is the queue's count of starts at the organisation's latest start.
	lastStarted uint64
	index       int
}

// notInHeap is the index of an organisation without waiting tickets.
const notInHeap = -1

// readyHeap is a priority queue of the organisations with waiting tickets: those with
// the fewest running requests first, ties by the longest time since a start.
type readyHeap []*organisation

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (ready readyHeap) Len() int { return len(ready) }

// Less implements the order of the heap.
func (ready readyHeap) Less(i, j int) bool {
	if ready[i].running != ready[j].running {
		return ready[i].running < ready[j].running
	}
	return ready[i].lastStarted < ready[j].lastStarted
}

// Swap also updates the indices.
func (ready readyHeap) Swap(i, j int) {
	ready[i], ready[j] = ready[j], ready[i]
	ready[i].index = i
	ready[j].index = j
}

// Push appends an organisation.
func (ready *readyHeap) Push(item any) {
	owner := item.(*organisation)
	owner.index = len(*ready)
	*ready = append(*ready, owner)
}

// Pop removes the last organisation.
func (ready *readyHeap) Pop() any {
	last := len(*ready) - 1
	owner := (*ready)[last]
	(*ready)[last] = nil
	*ready = (*ready)[:last]
	owner.index = notInHeap
	return owner
}
