package lender

import (
	"context"
	"sync"
	"time"

	"godwitramp.example/core/lender"
	"godwitramp.example/core/limiter"
	"godwitramp.example/core/watcher"
)

// recallPeriod is how soon a recall is repeated.
const recallPeriod = 200 * time.Millisecond

// offer renews the loans to the collectors and recalls those to former ones.
func (lent *Lender) offer(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for _, batch := range lent.offers() {
		calls.Go(func() { lent.sendOffers(ctx, batch) })
	}
}

// offerSoon makes the next round of offers come at once.
func (lent *Lender) offerSoon() {
	select {
	case lent.more <- struct{}{}:
	default:
	}
}

// batch is what goes to one VM.
type batch struct {
	peer   watcher.Peer
	offers []lender.Offer
}

func (lent *Lender) offers() []batch {
	vms := lent.collectors()
	lent.lending.Lock()
	defer lent.lending.Unlock()
	now := lent.Now()
	lent.holder.Expire(now)
	shards := make(map[watcher.Peer][]limiter.Shard)
	for _, shard := range lent.holder.Shards() {
		peer := lent.collectorOf(shard, vms)
		shards[peer] = append(shards[peer], shard)
	}
	batches := make([]batch, 0, len(shards))
	for peer, shards := range shards {
		collector := incarnation(peer)
		batches = append(batches, batch{peer: peer, offers: lent.holder.Offers(shards, collector, now)})
		for former, offers := range lent.holder.Recalls(shards, collector, now) {
			if peer, ok := vms.named(former); ok {
				batches = append(batches, batch{peer: peer, offers: offers})
			}
		}
	}
	return batches
}

func (lent *Lender) sendOffers(ctx context.Context, batch batch) {
	request := OfferRequest{
		Holder: incarnation(lent.Members.Self()), Collector: incarnation(batch.peer), Offers: batch.offers,
	}
	var reply lender.OfferReply
	if err := lent.call(ctx, batch.peer, "Offer", &request, &reply); err != nil {
		if ctx.Err() == nil {
			lent.Log.WithError(err).WithField("peer", batch.peer.Name).Warn("offer-failed")
		}
		return
	}
	more := false
	if reply.Leaving {
		_, known := lent.left.LoadOrStore(reply.Collector, true)
		more = !known
	}
	lent.lending.Lock()
	more = lent.holder.HandleReply(batch.offers, reply, lent.Now()) || more
	lent.lending.Unlock()
	if more {
		lent.offerSoon()
	}
	if batch.offers[0].Recall && len(reply.Released) < len(batch.offers) {
		time.AfterFunc(recallPeriod, lent.offerSoon) // borrowers still use some
	}
}
