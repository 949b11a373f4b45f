// Package lender distributes each organisation's rate and burst over the VMs of
// the fleet by leases.
//
// Organisations are grouped into shards. A shard is divided into Parts parts, each
// of which is 1/Parts of the rate and burst of every organisation of the shard.
//
//   - A Holder holds parts under leases of hours, recorded in the platform's table
//     service. It grants the shard's collector sub-leases on them.
//   - A Collector uses the parts offered to it under sub-leases of
//     SubLeaseDuration. From their sum, the coverage, it lends fractions and single
//     tokens to the borrowers of package limiter.
//   - A Claimer decides which rows of the table service, each for one part, the
//     VM claims.
//
// The fractions in use never add up to more than 1. A sub-lease ends no later than
// its parent lease. A fraction counts as lent until the borrower has confirmed a
// smaller one, or until both clocks of the lender say that the loan ended at least
// a margin ago.
//
// Every lease counts from a reading of the lessee's own clocks, taken before the
// lease was granted. A collector sends its reading with its replies, and the
// holder's next offer returns it.
//
// # Usage
//
//	offers := holder.Offers(shards, collectorID, now) // send them to the collector
//	reply := collector.HandleOffers(holderID, collectorID, offers, now) // on the collector's VM
//	holder.HandleReply(offers, reply, now)
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
	// PartLeaseDuration is the duration of the lease on a part.
	PartLeaseDuration = 6 * time.Hour
	// PartRenewalAge is the age at which a holder renews its lease on a part.
	PartRenewalAge = time.Hour
	// SubLeaseDuration is how long a collector may use the parts of an offer.
	SubLeaseDuration = 12 * time.Second
	// OfferPeriod is how often a holder renews its offers.
	OfferPeriod = 2 * time.Second
)

// loanHorizon is how much longer a sub-lease must last to be lent from: a loan
// granted now can be reclaimed after that time.
const loanHorizon = limiter.LoanDuration + timekeeper.DriftMargin

// Part identifies one part of a shard.
type Part struct {
	Shard limiter.Shard
	Index int
}

// Offer grants a collector a sub-lease on some parts of a shard, or recalls it.
type Offer struct {
	Shard limiter.Shard
	Parts int
	// Sequence rises with each offer of a holder.
	Sequence uint64
	// Since is the collector's own reading that the sub-lease counts from. An offer
	// with the zero reading grants nothing; it only asks for a reading.
	Since timekeeper.Reading
	// Recall asks the collector to give back the parts of earlier offers.
	Recall bool
}

// OfferReply answers a batch of offers.
type OfferReply struct {
	// Collector is the collector's incarnation.
	Collector string
	// Since is the collector's reading at the time of the reply.
	Since timekeeper.Reading
	// Released lists the shards whose parts the collector gives back: it uses no
	// parts that were offered in or before this batch.
	Released []limiter.Shard
	// Leaving asks the holder to recall its parts and offer them to another
	// collector.
	Leaving bool
}
