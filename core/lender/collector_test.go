package lender_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/lender"
	"godwitramp.example/core/limiter"
	"godwitramp.example/core/timekeeper"
)

// offered returns a collector with all parts of shard 7, offered at now.
func offered(now timekeeper.Reading) *lender.Collector {
	collector := lender.NewCollector("a/1")
	offer := lender.Offer{Shard: 7, Parts: lender.Parts, Sequence: 1, Since: now}
	collector.Offered("h/1", "a/1", []lender.Offer{offer}, now)
	return collector
}

// Nothing is lent from a piece that could end before the loan can be reclaimed.
func TestLoansEndBeforePieces(t *testing.T) {
	is := is.New(t)
	now := timekeeper.At(time.Hour)
	collector := offered(now)
	const last = lender.PieceLength - limiter.LoanDuration - timekeeper.Drift
	is.Equal(collector.Cover(7, now.Add(last)), 1.0)
	is.Equal(collector.Cover(7, now.Add(last+time.Millisecond)), 0.0)
	suspended := timekeeper.Reading{Mono: now.Mono, Wall: now.Wall + last + time.Millisecond}
	is.Equal(offered(now).Cover(7, suspended), 0.0)
}

// A collector that was frozen starts anew: another may have minted meanwhile.
func TestFrozenCollectorStartsEmpty(t *testing.T) {
	is := is.New(t)
	now := timekeeper.At(time.Hour)
	collector := offered(now)
	now = now.Add(6 * time.Second)
	offer := lender.Offer{Shard: 7, Parts: lender.Parts, Sequence: 2, Since: now}
	collector.Offered("h/1", "a/1", []lender.Offer{offer}, now)
	ask := limiter.Ask{ID: 7, Limit: limiter.Limit{Rate: 10, Burst: 600}, Sequence: 1, Waiting: 100}
	is.Equal(collector.Lend("b/1", []limiter.Ask{ask}, now)[0].Singles, 0.0)
}

// A lease that counts from the clock of an earlier process says nothing.
func TestOfferToEarlierIncarnationLendsNothing(t *testing.T) {
	is := is.New(t)
	now := timekeeper.At(time.Hour)
	collector := lender.NewCollector("a/2")
	offer := lender.Offer{Shard: 7, Parts: lender.Parts, Sequence: 1, Since: now}
	is.Equal(collector.Offered("h/1", "a/1", []lender.Offer{offer}, now).Collector, "a/2")
	is.Equal(collector.Cover(7, now), 0.0)
}

// Reserved tokens and those that may be unspent stay within the burst.
func TestReservedTokensNeedRoom(t *testing.T) {
	is := is.New(t)
	now := timekeeper.At(time.Hour)
	collector := offered(now)
	now = now.Add(4 * time.Second)
	limit := limiter.Limit{Rate: 10, Burst: 5}
	ask := func(sequence uint64, waiting float64) limiter.Grant {
		ask := limiter.Ask{ID: 7, Limit: limit, Sequence: sequence, Waiting: waiting}
		return collector.Lend("b/1", []limiter.Ask{ask}, now)[0]
	}
	grant := ask(1, 10)
	is.Equal(grant.Singles, 5.0)
	is.Equal(grant.Reserved, 0.0) // five that may be unspent fill the burst
	now = now.Add(limiter.SingleLifetime + limiter.SingleMargin)
	is.Equal(ask(2, 10).Reserved, 2.0) // minted in the next 200 ms
}
