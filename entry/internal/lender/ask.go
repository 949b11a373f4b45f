package lender

import (
	"context"
	"maps"
	"time"

	"godwitramp.example/core/limiter"
	"godwitramp.example/core/timekeeper"
	"godwitramp.example/core/watcher"
)

// maxAsksPerCall limits the size of a message.
const maxAsksPerCall = 4096

// emptyRetryPeriod is how long a collector that had nothing to lend isn't asked.
const emptyRetryPeriod = time.Second

// maxEmptyCollectors is how many collectors may have nothing to lend before
// requests are refused.
const maxEmptyCollectors = 2

// askQueue contains the asks for one collector while a call to it is in flight.
type askQueue struct {
	peer     watcher.Peer
	asks     []limiter.Ask
	inFlight bool
}

// sendAsks queues the due asks and starts calls to the collectors.
func (lent *Lender) sendAsks(ctx context.Context) {
	lent.borrowMutex.Lock()
	defer lent.borrowMutex.Unlock()
	vms := lent.askableMembers()
	for _, ask := range lent.borrower.Asks(lent.Now()) {
		peer := lent.collectorOf(ask.ID.Shard(), vms)
		name := incarnation(peer)
		queued := lent.queues[name]
		if queued == nil {
			queued = &askQueue{}
			lent.queues[name] = queued
		}
		queued.peer = peer
		queued.asks = append(queued.asks, ask)
	}
	for name, queued := range lent.queues {
		if !queued.inFlight && len(queued.asks) > 0 {
			queued.inFlight = true
			lent.group.Go(func() { lent.drain(ctx, name, queued) })
		}
	}
}

// askableMembers returns the VMs that may have something to lend. Those that had
// nothing within emptyRetryPeriod are excluded, unless there are no others.
func (lent *Lender) askableMembers() members {
	now := lent.Now().Mono
	maps.DeleteFunc(lent.emptySince, func(_ string, since time.Duration) bool { return now-since >= emptyRetryPeriod })
	return lent.members(func(name string) bool {
		_, empty := lent.emptySince[name]
		return empty
	})
}

// drain sends the asks queued for a collector until the queue is empty.
func (lent *Lender) drain(ctx context.Context, name string, queued *askQueue) {
	for {
		lent.borrowMutex.Lock()
		if len(queued.asks) == 0 {
			delete(lent.queues, name)
			lent.borrowMutex.Unlock()
			return
		}
		count := min(len(queued.asks), maxAsksPerCall)
		asks := queued.asks[:count:count]
		queued.asks = queued.asks[count:]
		sent := lent.Now()
		lent.borrowMutex.Unlock()
		lent.exchange(ctx, queued.peer, asks, sent)
	}
}

// exchange sends asks and applies the answer.
func (lent *Lender) exchange(ctx context.Context, peer watcher.Peer, asks []limiter.Ask, sent timekeeper.Reading) {
	request := BorrowRequest{Borrower: incarnation(lent.Members.Self()), Asks: asks}
	var reply BorrowReply
	err := lent.call(ctx, peer, "Borrow", &request, &reply)
	lent.borrowMutex.Lock()
	defer lent.borrowMutex.Unlock()
	if err == nil && reply.Empty && lent.retryElsewhere(reply.Collector, asks) {
		return
	}
	if err == nil {
		lent.retryWaiters(lent.borrower.Apply(reply.Collector, sent, reply.Grants, lent.Now()))
	}
	// An ask without a grant must not stay in flight.
	lent.retryWaiters(lent.borrower.Fail(asks, lent.Now()))
	if err != nil && ctx.Err() == nil {
		lent.Log.WithError(err).WithField("peer", peer.Name).Warn("borrow-failed")
	}
}

// retryElsewhere requeues asks for the next collector after one that had nothing
// to lend. It reports false if that collector was marked empty before, more than
// maxEmptyCollectors are empty, or no other VM is left.
func (lent *Lender) retryElsewhere(collector string, asks []limiter.Ask) bool {
	_, wasEmpty := lent.emptySince[collector]
	lent.emptySince[collector] = lent.Now().Mono
	if wasEmpty || len(lent.emptySince) > maxEmptyCollectors || len(lent.emptySince) >= len(lent.askableMembers().all) {
		return false
	}
	lent.borrower.Requeue(asks)
	lent.wakeAsk()
	return true
}

// call calls this VM's service directly and others over the network.
func (lent *Lender) call(ctx context.Context, peer watcher.Peer, method string, args, reply any) error {
	if peer.Name == lent.Members.Self().Name {
		return (&Service{lender: lent}).callLocal(args, reply)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return lent.Caller.Call(ctx, peer.Address, ServiceName+"."+method, args, reply)
}
