package lender

import (
	"maps"
	"slices"

	"godwitramp.example/core/limiter"
	"godwitramp.example/core/timekeeper"
)

// Holder holds parts of shards and sub-leases them to collectors. It isn't safe for
// concurrent use.
type Holder struct {
	shards     map[limiter.Shard]map[int]*heldPart
	collectors map[string]clockSample
	sequence   uint64
}

// clockSample is a collector's reading of its clocks, as received by the holder.
type clockSample struct {
	// reading is the collector's reading, receivedAt the holder's when it came.
	reading, receivedAt timekeeper.Reading
}

// maxSampleAge is how old a collector's reading may be for an offer: the sub-lease
// counts from it.
const maxSampleAge = 2 * OfferPeriod

// fresh reports whether the reading is recent enough for an offer.
func (sample clockSample) fresh(now timekeeper.Reading) bool {
	return sample.receivedAt != (timekeeper.Reading{}) && now.MaxElapsed(sample.receivedAt) <= maxSampleAge
}

// heldPart is a part that the VM holds, with its latest sub-lease.
type heldPart struct {
	lease     timekeeper.Lease
	lent      bool
	collector string
	subLease  timekeeper.Lease
	sequence  uint64
}

// NewHolder returns a holder without parts.
func NewHolder() *Holder {
	return &Holder{
		shards:     make(map[limiter.Shard]map[int]*heldPart),
		collectors: make(map[string]clockSample),
	}
}

// Hold adds a part under the given lease. Unless the part is free, it
// counts as lent for SubLeaseDuration from now, because its last holder may have
// lent it.
func (holder *Holder) Hold(part Part, lease timekeeper.Lease, free bool, now timekeeper.Reading) {
	parts := holder.shards[part.Shard]
	if parts == nil {
		parts = make(map[int]*heldPart)
		holder.shards[part.Shard] = parts
	}
	parts[part.Index] = &heldPart{
		lease: lease, lent: !free, subLease: timekeeper.Lease{Start: now, Duration: SubLeaseDuration},
	}
}

// Renew replaces the lease on a part. It does nothing if the part isn't held.
func (holder *Holder) Renew(part Part, lease timekeeper.Lease) {
	if held := holder.shards[part.Shard][part.Index]; held != nil {
		held.lease = lease
	}
}

// Drop removes a part. It reports whether the part was held and not lent.
func (holder *Holder) Drop(part Part, now timekeeper.Reading) (free bool) {
	held := holder.shards[part.Shard][part.Index]
	if held == nil {
		return false
	}
	delete(holder.shards[part.Shard], part.Index)
	return held.free(now)
}

// Lease returns the lease on a part, and whether the part is held.
func (holder *Holder) Lease(part Part) (timekeeper.Lease, bool) {
	held := holder.shards[part.Shard][part.Index]
	if held == nil {
		return timekeeper.Lease{}, false
	}
	return held.lease, true
}

// Parts returns the held parts, sorted by shard and index.
func (holder *Holder) Parts() []Part {
	var parts []Part
	for _, shard := range holder.Shards() {
		for _, index := range slices.Sorted(maps.Keys(holder.shards[shard])) {
			parts = append(parts, Part{Shard: shard, Index: index})
		}
	}
	return parts
}

// Shards returns the shards with held parts, sorted.
func (holder *Holder) Shards() []limiter.Shard {
	return slices.Sorted(maps.Keys(holder.shards))
}

// Expire removes the parts whose lease has lapsed, and collectors' readings that are
// too old to use.
func (holder *Holder) Expire(now timekeeper.Reading) {
	maps.DeleteFunc(holder.collectors, func(_ string, sample clockSample) bool { return !sample.fresh(now) })
	for _, part := range holder.Parts() {
		if holder.shards[part.Shard][part.Index].lease.Lapsed(now) {
			delete(holder.shards[part.Shard], part.Index)
		}
		if len(holder.shards[part.Shard]) == 0 {
			delete(holder.shards, part.Shard)
		}
	}
}

// free reports whether no collector can be using the part.
func (held *heldPart) free(now timekeeper.Reading) bool {
	return !held.lent || held.subLease.Reclaimable(now, timekeeper.DriftMargin)
}

// Offers grants a collector sub-leases on the parts of the given shards, except those
// that another collector may be using and those whose lease would end before the
// sub-lease and its margin. Without a recent reading of the collector's clocks, the
// offers only ask for one.
func (holder *Holder) Offers(shards []limiter.Shard, collector string, now timekeeper.Reading) []Offer {
	sample := holder.collectors[collector]
	fresh := sample.fresh(now)
	if !fresh {
		sample.reading = timekeeper.Reading{}
	}
	offers := make([]Offer, 0, len(shards))
	for _, shard := range shards {
		holder.sequence++
		offer := Offer{Shard: shard, Sequence: holder.sequence, Since: sample.reading}
		for _, held := range holder.shards[shard] {
			if fresh && held.lend(collector, holder.sequence, now) {
				offer.Parts++
			}
		}
		offers = append(offers, offer)
	}
	return offers
}

// lend sub-leases the part to the collector and reports whether it could.
func (held *heldPart) lend(collector string, sequence uint64, now timekeeper.Reading) bool {
	if held.lease.Remaining(now) < SubLeaseDuration+timekeeper.DriftMargin {
		return false
	}
	if held.collector != collector && !held.free(now) {
		return false
	}
	held.lent = true
	held.collector = collector
	held.subLease = timekeeper.Lease{Start: now, Duration: SubLeaseDuration}
	held.sequence = sequence
	return true
}

// Recalls returns recalls of the parts of the given shards that collectors other than
// the current one may be using, grouped by collector.
func (holder *Holder) Recalls(shards []limiter.Shard, current string, now timekeeper.Reading) map[string][]Offer {
	recalls := make(map[string][]Offer)
	for _, shard := range shards {
		recalled := make(map[string]bool)
		for _, held := range holder.shards[shard] {
			if held.free(now) || held.collector == current || held.collector == "" || recalled[held.collector] {
				continue
			}
			recalled[held.collector] = true
			holder.sequence++
			recall := Offer{Shard: shard, Sequence: holder.sequence, Recall: true}
			recalls[held.collector] = append(recalls[held.collector], recall)
		}
	}
	return recalls
}

// HandleReply applies a collector's reply to a batch of offers. It reports whether
// more can be offered now.
func (holder *Holder) HandleReply(offers []Offer, reply OfferReply, now timekeeper.Reading) (more bool) {
	last := holder.collectors[reply.Collector]
	stale := !last.fresh(now)
	if reply.Since.Mono > last.reading.Mono {
		holder.collectors[reply.Collector] = clockSample{reading: reply.Since, receivedAt: now}
	}
	for _, offer := range offers {
		if slices.Contains(reply.Released, offer.Shard) {
			holder.markReturned(offer, reply.Collector)
		}
	}
	return stale || len(reply.Released) > 0
}

// markReturned marks the parts of a released shard as not lent, except those that
// have been offered again since the given offer.
func (holder *Holder) markReturned(offer Offer, collector string) {
	for _, held := range holder.shards[offer.Shard] {
		if held.collector == collector && held.sequence <= offer.Sequence {
			held.lent = false
		}
	}
}
