package lender_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/lender"
	"godwitramp.example/core/limiter"
	"godwitramp.example/core/timekeeper"
)

// offeredCollector returns a collector with all parts of shard 7, offered at now.
func offeredCollector(now timekeeper.Reading) *lender.Collector {
	collector := lender.NewCollector("a/1")
	offer := lender.Offer{Shard: 7, Parts: lender.Parts, Sequence: 1, Since: now}
	collector.HandleOffers("h/1", "a/1", []lender.Offer{offer}, now)
	return collector
}

// A loan must not outlast the sub-lease that it is lent from, also while the VM is
// suspended.
func TestLoansEndBeforeSubLease(t *testing.T) {
	is := is.New(t)
	now := timekeeper.At(time.Hour)
	collector := offeredCollector(now)
	const last = lender.SubLeaseDuration - limiter.LoanDuration - timekeeper.DriftMargin
	is.Equal(collector.Coverage(7, now.Add(last)), 1.0)
	is.Equal(collector.Coverage(7, now.Add(last+time.Millisecond)), 0.0)
	suspended := timekeeper.Reading{Mono: now.Mono, Wall: now.Wall + last + time.Millisecond}
	is.Equal(offeredCollector(now).Coverage(7, suspended), 0.0)
}

// A collector that was frozen starts empty, because another collector may have
// issued tokens from the same parts in the meantime.
func TestFrozenCollectorStartsEmpty(t *testing.T) {
	is := is.New(t)
	now := timekeeper.At(time.Hour)
	collector := offeredCollector(now)
	now = now.Add(6 * time.Second)
	offer := lender.Offer{Shard: 7, Parts: lender.Parts, Sequence: 2, Since: now}
	collector.HandleOffers("h/1", "a/1", []lender.Offer{offer}, now)
	ask := limiter.Ask{ID: 7, Limit: limiter.Limit{Rate: 10, Burst: 600}, Sequence: 1, Waiting: 100}
	is.Equal(collector.Lend("b/1", []limiter.Ask{ask}, now)[0].Singles, 0.0)
}

// A sub-lease that counts from the clocks of an earlier process must not be used.
func TestOfferToEarlierIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	now := timekeeper.At(time.Hour)
	collector := lender.NewCollector("a/2")
	offer := lender.Offer{Shard: 7, Parts: lender.Parts, Sequence: 1, Since: now}
	is.Equal(collector.HandleOffers("h/1", "a/1", []lender.Offer{offer}, now).Collector, "a/2")
	is.Equal(collector.Coverage(7, now), 0.0)
}

// Reserved tokens plus tokens that may be unused must not exceed the burst.
func TestReservedTokensStayWithinBurst(t *testing.T) {
	is := is.New(t)
	now := timekeeper.At(time.Hour)
	collector := offeredCollector(now)
	now = now.Add(4 * time.Second)
	limit := limiter.Limit{Rate: 10, Burst: 5}
	ask := func(sequence uint64, waiting float64) limiter.Grant {
		ask := limiter.Ask{ID: 7, Limit: limit, Sequence: sequence, Waiting: waiting}
		return collector.Lend("b/1", []limiter.Ask{ask}, now)[0]
	}
	grant := ask(1, 10)
	is.Equal(grant.Singles, 5.0)
	is.Equal(grant.Reserved, 0.0) // the five that may be unused fill the burst
	now = now.Add(limiter.SingleLifetime + limiter.SingleMargin)
	is.Equal(ask(2, 10).Reserved, 2.0) // accrue in the next 200 ms
}
