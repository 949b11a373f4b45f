package lender

import (
	"context"
	"sync"
	"time"

	"godwitramp.example/core/lender"
	"godwitramp.example/core/limiter"
	"godwitramp.example/core/watcher"
)

// recallRetryPeriod is the time after which a recall is repeated.
const recallRetryPeriod = 200 * time.Millisecond

// sendAllOffers renews the sub-leases of the collectors and recalls those of
// former collectors.
func (lent *Lender) sendAllOffers(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for _, batch := range lent.prepareOffers() {
		calls.Go(func() { lent.sendOffers(ctx, batch) })
	}
}

// triggerOffers starts the next round of offers at once.
func (lent *Lender) triggerOffers() {
	select {
	case lent.offerNow <- struct{}{}:
	default:
	}
}

// offerBatch contains the offers for one VM.
type offerBatch struct {
	peer   watcher.Peer
	offers []lender.Offer
}

func (lent *Lender) prepareOffers() []offerBatch {
	vms := lent.collectors()
	lent.lendMutex.Lock()
	defer lent.lendMutex.Unlock()
	now := lent.Now()
	lent.holder.Expire(now)
	shards := make(map[watcher.Peer][]limiter.Shard)
	for _, shard := range lent.holder.Shards() {
		peer := lent.collectorOf(shard, vms)
		shards[peer] = append(shards[peer], shard)
	}
	batches := make([]offerBatch, 0, len(shards))
	for peer, shards := range shards {
		collector := incarnation(peer)
		batches = append(batches, offerBatch{peer: peer, offers: lent.holder.Offers(shards, collector, now)})
		for former, offers := range lent.holder.Recalls(shards, collector, now) {
			if peer, ok := vms.byIncarnation(former); ok {
				batches = append(batches, offerBatch{peer: peer, offers: offers})
			}
		}
	}
	return batches
}

func (lent *Lender) sendOffers(ctx context.Context, batch offerBatch) {
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
	offerAgain := false
	if reply.Leaving {
		_, known := lent.leavingVMs.LoadOrStore(reply.Collector, true)
		offerAgain = !known
	}
	lent.lendMutex.Lock()
	offerAgain = lent.holder.HandleReply(batch.offers, reply, lent.Now()) || offerAgain
	lent.lendMutex.Unlock()
	if offerAgain {
		lent.triggerOffers()
	}
	if batch.offers[0].Recall && len(reply.Released) < len(batch.offers) {
		time.AfterFunc(recallRetryPeriod, lent.triggerOffers) // borrowers still use some
	}
}
