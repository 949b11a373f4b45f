package lender

import (
	"context"
	"maps"
	"time"

	"godwitramp.example/core/limiter"
	"godwitramp.example/core/timekeeper"
	"godwitramp.example/core/watcher"
)

// maxAsksPerCall bounds the size of a message.
const maxAsksPerCall = 4096

// emptyPeriod is how long a collector that had nothing to lend isn't asked.
const emptyPeriod = time.Second

// maxEmpty is how many collectors may have nothing before requests are
// refused.
const maxEmpty = 2

// queue holds the asks for one collector while a call is under way to it.
type queue struct {
	peer watcher.Peer
	asks []limiter.Ask
	busy bool
}

// ask sends the asks that are due.
func (lent *Lender) ask(ctx context.Context) {
	lent.borrowing.Lock()
	defer lent.borrowing.Unlock()
	vms := lent.lenders()
	for _, ask := range lent.borrower.Asks(lent.Now()) {
		peer := lent.collectorOf(ask.ID.Shard(), vms)
		name := incarnation(peer)
		waiting := lent.queues[name]
		if waiting == nil {
			waiting = &queue{}
			lent.queues[name] = waiting
		}
		waiting.peer = peer
		waiting.asks = append(waiting.asks, ask)
	}
	for name, waiting := range lent.queues {
		if !waiting.busy && len(waiting.asks) > 0 {
			waiting.busy = true
			lent.group.Go(func() { lent.drain(ctx, name, waiting) })
		}
	}
}

// lenders are the VMs that may have something to lend. Those that had nothing
// a moment ago are left out, unless there is no other.
func (lent *Lender) lenders() members {
	now := lent.Now().Mono
	maps.DeleteFunc(lent.empty, func(_ string, since time.Duration) bool { return now-since >= emptyPeriod })
	return lent.members(func(name string) bool {
		_, empty := lent.empty[name]
		return empty
	})
}

// drain sends what is queued for a collector, until nothing is left.
func (lent *Lender) drain(ctx context.Context, name string, waiting *queue) {
	for {
		lent.borrowing.Lock()
		if len(waiting.asks) == 0 {
			delete(lent.queues, name)
			lent.borrowing.Unlock()
			return
		}
		count := min(len(waiting.asks), maxAsksPerCall)
		asks := waiting.asks[:count:count]
		waiting.asks = waiting.asks[count:]
		sent := lent.Now()
		lent.borrowing.Unlock()
		lent.exchange(ctx, waiting.peer, asks, sent)
	}
}

// exchange sends asks and applies the answer.
func (lent *Lender) exchange(ctx context.Context, peer watcher.Peer, asks []limiter.Ask, sent timekeeper.Reading) {
	request := BorrowRequest{Borrower: incarnation(lent.Members.Self()), Asks: asks}
	var reply BorrowReply
	err := lent.call(ctx, peer, "Borrow", &request, &reply)
	lent.borrowing.Lock()
	defer lent.borrowing.Unlock()
	if err == nil && reply.Empty && lent.passOn(reply.Collector, asks) {
		return
	}
	if err == nil {
		lent.decide(lent.borrower.Apply(reply.Collector, sent, reply.Grants, lent.Now()))
	}
	// An ask without a grant must not stay under way.
	lent.decide(lent.borrower.Fail(asks, lent.Now()))
	if err != nil && ctx.Err() == nil {
		lent.Log.WithError(err).WithField("peer", peer.Name).Warn("borrow-failed")
	}
}

// passOn lets asks go to the next collector after one that had nothing to
// lend, unless several had nothing or nobody else is there.
func (lent *Lender) passOn(collector string, asks []limiter.Ask) bool {
	_, again := lent.empty[collector]
	lent.empty[collector] = lent.Now().Mono
	if again || len(lent.empty) > maxEmpty || len(lent.empty) >= len(lent.lenders().all) {
		return false
	}
	lent.borrower.Requeue(asks)
	lent.poke()
	return true
}

// call calls this VM directly and others over the network.
func (lent *Lender) call(ctx context.Context, peer watcher.Peer, method string, args, reply any) error {
	if peer.Name == lent.Members.Self().Name {
		return (&Service{lender: lent}).local(args, reply)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return lent.Caller.Call(ctx, peer.Address, ServiceName+"."+method, args, reply)
}
