package limiter

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"godwitramp.example/core/configurator"
)

// Durations of the leases that a collector grants to its borrowers.
const (
	// LoanDuration is how long a borrower may use a fraction after its ask.
	LoanDuration = 3 * time.Second
	// RenewPeriod is how often a borrower renews its fractions.
	RenewPeriod = time.Second
	// SingleLifetime is how long a borrower may use a single token after its ask.
	SingleLifetime = 100 * time.Millisecond
	// MaxReserveDelay is the longest time that a reserved token may take to
	// accrue.
	MaxReserveDelay = 200 * time.Millisecond
	// SingleMargin is what the collector adds to SingleLifetime before it takes
	// an unconfirmed token to have expired.
	SingleMargin = 50 * time.Millisecond
)

// ID identifies an organisation or a budget in messages between VMs.
type ID uint64

// IDOf returns the ID of a configuration path, its 64-bit hash.
func IDOf(path configurator.Path) ID { return ID(xxhash.Sum64String(string(path))) }

// Shards is the number of shards. Every VM of a fleet must use the same number.
const Shards = 256

// Shard is a group of organisations that are leased together and have the same
// collector.
type Shard uint32

// Shard returns the shard of the ID.
func (id ID) Shard() Shard { return Shard(uint64(id) % Shards) }

// Limit is the configured rate and burst of an organisation or a budget, for the
// whole fleet.
type Limit struct {
	// Rate is in tokens a second.
	Rate float64
	// Burst is in tokens.
	Burst float64
	// Revision is the revision of the configuration; the highest one applies.
	Revision uint64
}

// Ask is a borrower's request to the collector for one organisation.
type Ask struct {
	ID    ID
	Limit Limit
	// Sequence rises with each ask of a borrower. A grant takes effect only if
	// it answers the latest ask for the organisation.
	Sequence uint64
	// Held is the sequence of the collector's last grant that took effect, or
	// 0.
	Held uint64
	// Returned is how many tokens the borrower gives back: unused single tokens,
	// and tokens above the burst of a reduced fraction.
	Returned float64
	// Demand is the smoothed arrival rate, in tokens a second.
	Demand float64
	// Waiting is how many tokens the waiting requests need.
	Waiting float64
}

// Grant is the collector's answer to an ask.
type Grant struct {
	ID       ID
	Sequence uint64
	// Fraction of the rate and the burst that the borrower may use for
	// LoanDuration, counted from before it sent the ask. It replaces the previous
	// fraction.
	Fraction float64
	// Tokens are added to the bucket when the fraction has grown.
	Tokens float64
	// Singles is the number of whole tokens to use within SingleLifetime, counted
	// from before the ask was sent.
	Singles float64
	// Reserved is the number of whole tokens that will have accrued Delay after the
	// arrival of the grant. They must be used within SingleLifetime after that.
	Reserved float64
	Delay    time.Duration
	// RetryAfter is how long to wait before asking again if the grant has too few
	// tokens.
	RetryAfter time.Duration
}
