package lender_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/lender"
	"godwitramp.example/core/limiter"
	"godwitramp.example/core/timekeeper"
)

// Two collectors must not use one part: it is offered to another collector only once
// both clocks say that the sub-lease and a margin have ended, or after its release.
func TestPartIsLentToOneCollectorAtATime(t *testing.T) {
	const shard = limiter.Shard(7)
	lent := timekeeper.At(time.Hour)
	end := lent.Add(lender.SubLeaseDuration)
	tests := []struct {
		name  string
		now   timekeeper.Reading
		other string
		parts int
	}{
		{"immediately, to another collector", lent, "b/1", 0},
		{"renewed for the same collector", lent, "a/1", 1},
		{"at the end, without the margin", end, "b/1", 0},
		{"after the margin", end.Add(timekeeper.DriftMargin), "b/1", 1},
		{"only the wall clock advanced", timekeeper.Reading{Mono: lent.Mono, Wall: lent.Wall + time.Hour}, "b/1", 0},
		{"wall clock set back", timekeeper.Reading{Mono: lent.Mono + time.Hour, Wall: 0}, "b/1", 0},
		{"near the end of the holder's lease", lent.Add(lender.PartLeaseDuration - time.Second), "b/1", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			holder := lender.NewHolder()
			lease := timekeeper.Lease{Start: lent, Duration: lender.PartLeaseDuration}
			holder.Hold(lender.Part{Shard: shard}, lease, true, lent)
			replyEmpty := func(collector string, now timekeeper.Reading) {
				holder.HandleReply(nil, lender.OfferReply{Collector: collector, Since: now}, now)
			}
			replyEmpty("a/1", lent)
			is.Equal(holder.Offers([]limiter.Shard{shard}, "a/1", lent)[0].Parts, 1)
			replyEmpty(test.other, test.now)
			is.Equal(holder.Offers([]limiter.Shard{shard}, test.other, test.now)[0].Parts, test.parts)
		})
	}
}

// A new holder of a part doesn't know whether its last holder lent it, so it must wait
// until any such sub-lease has ended.
func TestClaimedPartIsNotOfferedAtOnce(t *testing.T) {
	is := is.New(t)
	holder := lender.NewHolder()
	now := timekeeper.At(time.Hour)
	part := lender.Part{Shard: 7}
	holder.Hold(part, timekeeper.Lease{Start: now, Duration: lender.PartLeaseDuration}, false, now)
	holder.HandleReply(nil, lender.OfferReply{Collector: "a/1", Since: now}, now)
	is.Equal(holder.Offers([]limiter.Shard{7}, "a/1", now)[0].Parts, 0)
	now = now.Add(lender.SubLeaseDuration + timekeeper.DriftMargin)
	holder.HandleReply(nil, lender.OfferReply{Collector: "a/1", Since: now}, now)
	is.Equal(holder.Offers([]limiter.Shard{7}, "a/1", now)[0].Parts, 1)
}

// Delayed or duplicate offers must not restore parts that a collector has released.
func TestLateOffersAfterRelease(t *testing.T) {
	is := is.New(t)
	holder, collector := lender.NewHolder(), lender.NewCollector("a/1")
	now := timekeeper.At(time.Hour)
	part, shards := lender.Part{Shard: 7}, []limiter.Shard{7}
	holder.Hold(part, timekeeper.Lease{Start: now, Duration: lender.PartLeaseDuration}, true, now)
	holder.HandleReply(nil, collector.HandleOffers("h/1", "a/1", nil, now), now)
	late := holder.Offers(shards, "a/1", now)
	collector.HandleOffers("h/1", "a/1", late, now)
	is.Equal(collector.Coverage(7, now), 1.0/lender.Parts)
	recall := holder.Recalls(shards, "b/1", now)["a/1"]
	reply := collector.HandleOffers("h/1", "a/1", recall, now.Add(time.Second))
	is.Equal(reply.Released, shards)
	renewed := holder.Offers(shards, "a/1", now)
	holder.HandleReply(recall, reply, now)
	is.True(!holder.Drop(part, now)) // it was offered again after the recall
	collector.HandleOffers("h/1", "a/1", late, now.Add(time.Second))
	collector.HandleOffers("h/1", "a/1", renewed, now.Add(time.Second))
	is.Equal(collector.Coverage(7, now.Add(time.Second)), 0.0)
	is.Equal(collector.HandleOffers("h/1", "a/0", late, now).Released, nil)
}

// A new account starts with the tokens that accrued since the shard's coverage began,
// not with the whole burst.
func TestNewAccountStartsWithAccruedTokens(t *testing.T) {
	is := is.New(t)
	collector := lender.NewCollector("a/1")
	now := timekeeper.At(time.Hour)
	offer := lender.Offer{Shard: 7, Parts: lender.Parts, Sequence: 1, Since: now}
	collector.HandleOffers("h/1", "a/1", []lender.Offer{offer}, now)
	now = now.Add(time.Second)
	ask := limiter.Ask{ID: 7, Limit: limiter.Limit{Rate: 10, Burst: 600}, Sequence: 1, Waiting: 100}
	grant := collector.Lend("b/1", []limiter.Ask{ask}, now)[0]
	is.Equal(grant.Singles, 10.0)
	is.Equal(grant.Reserved, 2.0) // accrue in the next 200 ms
	is.Equal(grant.Delay, 200*time.Millisecond)
	is.Equal(len(collector.Lend("b/1", []limiter.Ask{ask}, now)), 0) // duplicate
}
