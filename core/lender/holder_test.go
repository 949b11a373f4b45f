package lender_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/lender"
	"godwitramp.example/core/limiter"
	"godwitramp.example/core/timekeeper"
)

// A part that is lent to one collector goes to another only when both clocks
// say that the loan has ended, with a margin, or when it was given back.
func TestPartIsLentToOneCollector(t *testing.T) {
	const shard = limiter.Shard(7)
	lent := timekeeper.At(time.Hour)
	end := lent.Add(lender.PieceLength)
	tests := []struct {
		name  string
		now   timekeeper.Reading
		other string
		parts int
	}{
		{"at once", lent, "b/1", 0},
		{"renewed by the same", lent, "a/1", 1},
		{"without the margin", end, "b/1", 0},
		{"with the margin", end.Add(timekeeper.Drift), "b/1", 1},
		{"only the wall clock went on", timekeeper.Reading{Mono: lent.Mono, Wall: lent.Wall + time.Hour}, "b/1", 0},
		{"wall clock set back", timekeeper.Reading{Mono: lent.Mono + time.Hour, Wall: 0}, "b/1", 0},
		{"end of the holder's lease", lent.Add(lender.PartLength - time.Second), "b/1", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			holder := lender.NewHolder()
			lease := timekeeper.Lease{Start: lent, Length: lender.PartLength}
			holder.Hold(lender.Part{Shard: shard}, lease, true, lent)
			hello := func(collector string, now timekeeper.Reading) {
				holder.Replied(nil, lender.OfferReply{Collector: collector, Since: now}, now)
			}
			hello("a/1", lent)
			is.Equal(holder.Offers([]limiter.Shard{shard}, "a/1", lent)[0].Parts, 1)
			hello(test.other, test.now)
			is.Equal(holder.Offers([]limiter.Shard{shard}, test.other, test.now)[0].Parts, test.parts)
		})
	}
}

// A holder that takes a part over doesn't know to whom the last one lent it.
func TestTakenPartWaits(t *testing.T) {
	is := is.New(t)
	holder := lender.NewHolder()
	now := timekeeper.At(time.Hour)
	part := lender.Part{Shard: 7}
	holder.Hold(part, timekeeper.Lease{Start: now, Length: lender.PartLength}, false, now)
	holder.Replied(nil, lender.OfferReply{Collector: "a/1", Since: now}, now)
	is.Equal(holder.Offers([]limiter.Shard{7}, "a/1", now)[0].Parts, 0)
	now = now.Add(lender.PieceLength + timekeeper.Drift)
	holder.Replied(nil, lender.OfferReply{Collector: "a/1", Since: now}, now)
	is.Equal(holder.Offers([]limiter.Shard{7}, "a/1", now)[0].Parts, 1)
}

// What was given back stays so, whatever comes late.
func TestReleaseAndLateMessages(t *testing.T) {
	is := is.New(t)
	holder, collector := lender.NewHolder(), lender.NewCollector("a/1")
	now := timekeeper.At(time.Hour)
	part, shards := lender.Part{Shard: 7}, []limiter.Shard{7}
	holder.Hold(part, timekeeper.Lease{Start: now, Length: lender.PartLength}, true, now)
	holder.Replied(nil, collector.Offered("h/1", "a/1", nil, now), now)
	late := holder.Offers(shards, "a/1", now)
	collector.Offered("h/1", "a/1", late, now)
	is.Equal(collector.Cover(7, now), 1.0/lender.Parts)
	recall := holder.Recalls(shards, "b/1", now)["a/1"]
	reply := collector.Offered("h/1", "a/1", recall, now.Add(time.Second))
	is.Equal(reply.Released, shards)
	renewed := holder.Offers(shards, "a/1", now)
	holder.Replied(recall, reply, now)
	is.True(!holder.Drop(part, now)) // it was lent again after the recall
	collector.Offered("h/1", "a/1", late, now.Add(time.Second))
	collector.Offered("h/1", "a/1", renewed, now.Add(time.Second))
	is.Equal(collector.Cover(7, now.Add(time.Second)), 0.0)
	is.Equal(collector.Offered("h/1", "a/0", late, now).Released, nil)
}

// An organisation that was idle has what its shard's cover has minted since it
// began, not the whole burst.
func TestNewAccountStartsWithWhatCoverMinted(t *testing.T) {
	is := is.New(t)
	collector := lender.NewCollector("a/1")
	now := timekeeper.At(time.Hour)
	offer := lender.Offer{Shard: 7, Parts: lender.Parts, Sequence: 1, Since: now}
	collector.Offered("h/1", "a/1", []lender.Offer{offer}, now)
	now = now.Add(time.Second)
	ask := limiter.Ask{ID: 7, Limit: limiter.Limit{Rate: 10, Burst: 600}, Sequence: 1, Waiting: 100}
	grant := collector.Lend("b/1", []limiter.Ask{ask}, now)[0]
	is.Equal(grant.Singles, 10.0)
	is.Equal(grant.Reserved, 2.0) // minted in the next 200 ms
	is.Equal(grant.Delay, 200*time.Millisecond)
	is.Equal(len(collector.Lend("b/1", []limiter.Ask{ask}, now)), 0) // doubled
}
