package queuer

import "godwitramp.example/core/configurator"

// organisation is the tickets of one organisation.
type organisation struct {
	path    configurator.Path
	running int
	waiting []*Ticket
	// lastServed is when a request of the organisation was started last.
	lastServed uint64
	index      int
}

// notReady is the index of an organisation without waiting tickets.
const notReady = -1

// readyHeap orders the organisations that wait: the fewest requests in
// progress first, and then the one that was served longest ago.
type readyHeap []*organisation

// Len, Less, Swap, Push and Pop make a heap.Interface.
func (ready readyHeap) Len() int { return len(ready) }

// Less orders the heap.
func (ready readyHeap) Less(i, j int) bool {
	if ready[i].running != ready[j].running {
		return ready[i].running < ready[j].running
	}
	return ready[i].lastServed < ready[j].lastServed
}

// Swap keeps the indices.
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
	owner.index = notReady
	return owner
}
