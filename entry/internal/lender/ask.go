package lender

import (
	"context"

	"godwitramp.example/core/limiter"
	"godwitramp.example/core/timekeeper"
	"godwitramp.example/core/watcher"
)

// maxAsksPerCall bounds the size of a message.
const maxAsksPerCall = 4096

// queue holds the asks for one collector while a call is under way to it.
type queue struct {
	peer watcher.Peer
	asks []limiter.Ask
	busy bool
}

// ask sends the asks that are due.
func (lent *Lender) ask(ctx context.Context) {
	vms := lent.members()
	lent.borrowing.Lock()
	defer lent.borrowing.Unlock()
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
	if err == nil {
		lent.decide(lent.borrower.Apply(reply.Collector, sent, reply.Grants, lent.Now()))
	}
	// An ask without a grant must not stay under way.
	lent.decide(lent.borrower.Fail(asks, lent.Now()))
	if err != nil && ctx.Err() == nil {
		lent.Log.WithError(err).WithField("peer", peer.Name).Warn("borrow-failed")
	}
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
