package lender

import (
	"maps"
	"slices"

	"godwitramp.example/core/limiter"
	"godwitramp.example/core/timekeeper"
)

// Holder holds parts and lends them to collectors. It isn't safe for
// concurrent use.
type Holder struct {
	shards     map[limiter.Shard]map[int]*heldPart
	collectors map[string]contact
	sequence   uint64
}

// contact is what a holder knows of a collector.
type contact struct {
	// since is the collector's reading, heard the holder's when it came.
	since, heard timekeeper.Reading
}

// maxContactAge is how old a collector's reading may be to lend by it: leases
// count from it.
const maxContactAge = 2 * OfferPeriod

// fresh reports whether the collector's reading is recent.
func (contact contact) fresh(now timekeeper.Reading) bool {
	return contact.heard != (timekeeper.Reading{}) && now.Longest(contact.heard) <= maxContactAge
}

// heldPart is a part with the loan that it is under.
type heldPart struct {
	lease     timekeeper.Lease
	lent      bool
	collector string
	loan      timekeeper.Lease
	sequence  uint64
}

// NewHolder returns a holder of nothing.
func NewHolder() *Holder {
	return &Holder{
		shards:     make(map[limiter.Shard]map[int]*heldPart),
		collectors: make(map[string]contact),
	}
}

// Hold takes over a part under the given lease. Unless the part is fresh, so
// that nobody can have lent it, it counts as lent for PieceLength from now.
func (holder *Holder) Hold(part Part, lease timekeeper.Lease, fresh bool, now timekeeper.Reading) {
	parts := holder.shards[part.Shard]
	if parts == nil {
		parts = make(map[int]*heldPart)
		holder.shards[part.Shard] = parts
	}
	parts[part.Index] = &heldPart{
		lease: lease, lent: !fresh, loan: timekeeper.Lease{Start: now, Length: PieceLength},
	}
}

// Renew replaces the lease on a part that is held.
func (holder *Holder) Renew(part Part, lease timekeeper.Lease) {
	if held := holder.shards[part.Shard][part.Index]; held != nil {
		held.lease = lease
	}
}

// Drop gives up a part. It reports whether the part is lent to nobody.
func (holder *Holder) Drop(part Part, now timekeeper.Reading) (free bool) {
	held := holder.shards[part.Shard][part.Index]
	if held == nil {
		return false
	}
	delete(holder.shards[part.Shard], part.Index)
	return held.free(now)
}

// Lease returns the lease on a part and whether the part is held.
func (holder *Holder) Lease(part Part) (timekeeper.Lease, bool) {
	held := holder.shards[part.Shard][part.Index]
	if held == nil {
		return timekeeper.Lease{}, false
	}
	return held.lease, true
}

// Parts returns the parts that are held, sorted.
func (holder *Holder) Parts() []Part {
	var parts []Part
	for _, shard := range holder.Shards() {
		for _, index := range slices.Sorted(maps.Keys(holder.shards[shard])) {
			parts = append(parts, Part{Shard: shard, Index: index})
		}
	}
	return parts
}

// Shards returns the shards of which parts are held, sorted.
func (holder *Holder) Shards() []limiter.Shard {
	return slices.Sorted(maps.Keys(holder.shards))
}

// Expire drops the parts whose lease has lapsed, and what is known of
// collectors that haven't been heard lately.
func (holder *Holder) Expire(now timekeeper.Reading) {
	maps.DeleteFunc(holder.collectors, func(_ string, contact contact) bool { return !contact.fresh(now) })
	for _, part := range holder.Parts() {
		if holder.shards[part.Shard][part.Index].lease.Lapsed(now) {
			delete(holder.shards[part.Shard], part.Index)
		}
		if len(holder.shards[part.Shard]) == 0 {
			delete(holder.shards, part.Shard)
		}
	}
}

// free reports whether the part is lent to nobody.
func (held *heldPart) free(now timekeeper.Reading) bool {
	return !held.lent || held.loan.Reclaimable(now, timekeeper.Drift)
}

// Offers lends the parts of the given shards to a collector, as far as they
// aren't lent to another one and the holder's lease outlasts the loan.
func (holder *Holder) Offers(shards []limiter.Shard, collector string, now timekeeper.Reading) []Offer {
	contact := holder.collectors[collector]
	fresh := contact.fresh(now)
	if !fresh {
		contact.since = timekeeper.Reading{}
	}
	offers := make([]Offer, 0, len(shards))
	for _, shard := range shards {
		holder.sequence++
		offer := Offer{Shard: shard, Sequence: holder.sequence, Since: contact.since}
		for _, held := range holder.shards[shard] {
			if fresh && held.lend(collector, holder.sequence, now) {
				offer.Parts++
			}
		}
		offers = append(offers, offer)
	}
	return offers
}

func (held *heldPart) lend(collector string, sequence uint64, now timekeeper.Reading) bool {
	if held.lease.Left(now) < PieceLength+timekeeper.Drift {
		return false
	}
	if held.collector != collector && !held.free(now) {
		return false
	}
	held.lent = true
	held.collector = collector
	held.loan = timekeeper.Lease{Start: now, Length: PieceLength}
	held.sequence = sequence
	return true
}

// Recalls asks for the parts of the given shards that another collector than
// the current one has, grouped by that collector.
func (holder *Holder) Recalls(shards []limiter.Shard, current string, now timekeeper.Reading) map[string][]Offer {
	recalls := make(map[string][]Offer)
	for _, shard := range shards {
		asked := make(map[string]bool)
		for _, held := range holder.shards[shard] {
			if held.free(now) || held.collector == current || held.collector == "" || asked[held.collector] {
				continue
			}
			asked[held.collector] = true
			holder.sequence++
			recall := Offer{Shard: shard, Sequence: holder.sequence, Recall: true}
			recalls[held.collector] = append(recalls[held.collector], recall)
		}
	}
	return recalls
}

// Replied takes note of a collector's reply to a batch of offers. It reports
// whether more can be offered now.
func (holder *Holder) Replied(offers []Offer, reply OfferReply, now timekeeper.Reading) (more bool) {
	last := holder.collectors[reply.Collector]
	stale := !last.fresh(now)
	if reply.Since.Mono > last.since.Mono {
		holder.collectors[reply.Collector] = contact{since: reply.Since, heard: now}
	}
	for _, offer := range offers {
		if slices.Contains(reply.Released, offer.Shard) {
			holder.released(offer, reply.Collector)
		}
	}
	return stale || len(reply.Released) > 0
}

// released takes back the parts of a loan that hasn't been renewed since.
func (holder *Holder) released(offer Offer, collector string) {
	for _, held := range holder.shards[offer.Shard] {
		if held.collector == collector && held.sequence <= offer.Sequence {
			held.lent = false
		}
	}
}
