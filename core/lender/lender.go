// Package lender decides who may use which fraction of an organisation's rate
// and burst.
//
// Organisations fall into shards. A shard has Parts parts, each of which stands
// for 1/Parts of the rate and burst of every organisation of the shard.
//
//   - A Holder holds parts under leases of hours that the platform's table
//     service records. It offers them to the shard's collector.
//   - A Collector uses the parts offered to it for PieceLength at a time. It
//     lends fractions and single tokens to the borrowers of package limiter.
//   - A Claimer decides which rows of the table service the holder claims.
//
// The fractions in use never add up to more than 1: a sub-lease ends no later
// than its parent, and a fraction that was lent out counts as lent until the
// borrower has confirmed a smaller one, or until both clocks of the lender say
// that the lease ended at least a margin ago.
//
// Every lease counts from a reading of the borrower's own clocks that it took
// before the lender granted the lease. A collector sends its reading along
// with its answers, and the holder's next offer brings it back.
//
// # Usage
//
//	offers := holder.Offers(shards, collectorID, now) // to the collector
//	reply := collector.Offered(holderID, collectorID, offers, now) // on the collector
//	holder.Replied(offers, reply, now)
//	grants := collector.Lend(borrowerID, asks, now) // answers asks
package lender

import (
	"time"

	"godwitramp.example/core/limiter"
	"godwitramp.example/core/timekeeper"
)

const (
	// Parts is the number of parts of a shard.
	Parts = 40
	// PartLength is the length of the lease on a part.
	PartLength = 6 * time.Hour
	// PartRenewal is the age at which a holder renews its lease on a part.
	PartRenewal = time.Hour
	// PieceLength is how long a collector may use what a holder offered.
	PieceLength = 12 * time.Second
	// OfferPeriod is how often a holder renews its offers.
	OfferPeriod = 2 * time.Second
)

// horizon is how far ahead a piece must last to be lent from: a loan granted
// now can be reclaimed after that.
const horizon = limiter.LoanDuration + timekeeper.Drift

// Part names one part of a shard.
type Part struct {
	Shard limiter.Shard
	Index int
}

// Offer tells a collector how many parts of a shard it may use.
type Offer struct {
	Shard limiter.Shard
	Parts int
	// Sequence rises with each offer of a holder.
	Sequence uint64
	// Since is the collector's own reading that the lease counts from. An
	// offer with the zero reading asks for one and lends nothing.
	Since timekeeper.Reading
	// Recall asks the collector to give back what was offered before.
	Recall bool
}

// OfferReply answers a batch of offers.
type OfferReply struct {
	// Collector is the collector's incarnation.
	Collector string
	// Since is the collector's reading at the time of the reply.
	Since timekeeper.Reading
	// Released lists the shards whose parts the collector gives back: it uses
	// nothing that was offered up to this batch.
	Released []limiter.Shard
	// Leaving asks the holder to recall its parts and offer them to another
	// collector.
	Leaving bool
}
