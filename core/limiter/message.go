package limiter

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"godwitramp.example/core/configurator"
)

// Lengths of the leases between a collector and its borrowers.
const (
	// LoanDuration is how long a borrower may use a fraction.
	LoanDuration = 3 * time.Second
	// RenewPeriod is how often a borrower renews its fractions.
	RenewPeriod = time.Second
	// SingleLifetime is how long a borrower may use a single token.
	SingleLifetime = 100 * time.Millisecond
	// MaxReserveDelay bounds how far ahead tokens are reserved.
	MaxReserveDelay = 200 * time.Millisecond
	// SingleMargin is what the collector adds to SingleLength before it counts
	// an unconfirmed token as gone.
	SingleMargin = 50 * time.Millisecond
)

// ID stands for an organisation or a budget in the messages between VMs.
type ID uint64

// IDOf returns the ID of a path.
func IDOf(path configurator.Path) ID { return ID(xxhash.Sum64String(string(path))) }

// Shards is the number of groups that organisations fall into. Every VM of a
// fleet must use the same number.
const Shards = 256

// Shard is a group of organisations whose fractions are held together.
type Shard uint32

// Shard returns the group that the ID falls into.
func (id ID) Shard() Shard { return Shard(uint64(id) % Shards) }

// Limit is what the configuration allows over the whole fleet.
type Limit struct {
	// Rate is in tokens a second.
	Rate float64
	// Burst is in tokens.
	Burst float64
	// Revision is that of the configuration; a higher one wins.
	Revision uint64
}

// Ask is a borrower's request for one organisation.
type Ask struct {
	ID    ID
	Limit Limit
	// Sequence rises with each ask of a borrower. An answer counts only for
	// the borrower's latest ask.
	Sequence uint64
	// Held is the sequence of the collector's last answer that took effect,
	// or 0.
	Held uint64
	// Returned is how many tokens the borrower gives back: single tokens that
	// nothing has used, and what a smaller fraction has no room for.
	Returned float64
	// Demand is in tokens a second.
	Demand float64
	// Waiting is how many tokens the borrower needs at once.
	Waiting float64
}

// Grant answers an ask.
type Grant struct {
	ID       ID
	Sequence uint64
	// Fraction of the rate and the burst that the borrower may use for
	// LoanLength from before its ask. It replaces the one before.
	Fraction float64
	// Tokens come with a grown fraction.
	Tokens float64
	// Singles are whole tokens to be used within SingleLength from before the
	// ask.
	Singles float64
	// Reserved are whole tokens that will have been minted after Delay from the
	// arrival of the grant, to be used within SingleLength after that.
	Reserved float64
	Delay    time.Duration
	// RetryAfter is when to ask again after too few tokens.
	RetryAfter time.Duration
}
