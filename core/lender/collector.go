package lender

import (
	"time"

	"godwitramp.example/core/limiter"
	"godwitramp.example/core/timekeeper"
)

const (
	// noCoverageRetryAfter applies when the pool can't hold a whole token.
	noCoverageRetryAfter = 250 * time.Millisecond
	// maxAccrualTime bounds the tokens that a new account starts with.
	maxAccrualTime = 24 * time.Hour
	// roundingTolerance is smaller than a part and larger than rounding errors.
	roundingTolerance = 1e-9
)

// Collector answers the asks of borrowers from the parts that holders offer to it.
// It isn't safe for concurrent use.
type Collector struct {
	// Incarnation identifies the VM and the incarnation of its process.
	Incarnation string

	shards  map[limiter.Shard]*shard
	leaving bool
}

// shard is a collector's state of one shard.
type shard struct {
	subLeases map[string]*subLease
	// coverage is the fraction of the shard under sub-leases that last at least
	// loanHorizon longer.
	coverage float64
	// grownAt is when the coverage last increased.
	grownAt        timekeeper.Reading
	accruedSeconds float64 // seconds at the full rate, accrued since the coverage began
	updatedAt      timekeeper.Reading
	accounts       map[limiter.ID]*account
	sweptAt        time.Duration
}

// subLease is the newest offer of one holder.
type subLease struct {
	parts    int
	sequence uint64
	lease    timekeeper.Lease
	// recalledAt is when the holder last recalled its parts. Offers that count from
	// before it are ignored.
	recalledAt timekeeper.Reading
}

// NewCollector returns a collector without any offers.
func NewCollector(incarnation string) *Collector {
	return &Collector{Incarnation: incarnation, shards: make(map[limiter.Shard]*shard)}
}

// Leave begins the hand-over before a planned stop: replies to offers ask the holders
// to recall their parts. The collector lends from a part until it is recalled.
func (collector *Collector) Leave() { collector.leaving = true }

// Empty reports whether the borrower should ask another collector, because no shard
// of the asks is ready here: its holders have recalled their parts, or haven't offered
// them yet.
func (collector *Collector) Empty(asks []limiter.Ask, now timekeeper.Reading) bool {
	for _, ask := range asks {
		if shard := collector.shards[ask.ID.Shard()]; shard != nil && shard.ready(now) {
			return false
		}
	}
	return true
}

// ready reports whether the shard has at least half of the parts, or has had none
// added for the time that all holders take to switch to a new collector.
func (shard *shard) ready(now timekeeper.Reading) bool {
	const majority = 0.5
	if shard.coverage >= majority {
		return true
	}
	return shard.coverage > 0 && now.MaxElapsed(shard.grownAt) >= 2*OfferPeriod
}

// Coverage returns the fraction of a shard that the collector can lend from.
func (collector *Collector) Coverage(id limiter.Shard, now timekeeper.Reading) float64 {
	found := collector.shards[id]
	if found == nil {
		return 0
	}
	found.refresh(now)
	return found.coverage
}

// Accounts returns the number of organisations that the collector keeps state for.
func (collector *Collector) Accounts() int {
	count := 0
	for _, shard := range collector.shards {
		count += len(shard.accounts)
	}
	return count
}

func (collector *Collector) shard(id limiter.Shard) *shard {
	found := collector.shards[id]
	if found == nil {
		found = &shard{subLeases: make(map[string]*subLease), accounts: make(map[limiter.ID]*account)}
		collector.shards[id] = found
	}
	return found
}

// HandleOffers applies the offers of a holder and returns the reply. Offers addressed
// to another incarnation have no effect, but the reply still has this one's reading.
func (collector *Collector) HandleOffers(holder, addressed string, offers []Offer, now timekeeper.Reading) OfferReply {
	reply := OfferReply{Collector: collector.Incarnation, Since: now, Leaving: collector.leaving}
	if addressed != collector.Incarnation {
		return reply
	}
	for _, offer := range offers {
		shard := collector.shard(offer.Shard)
		if offer.Recall {
			shard.subLeases[holder] = &subLease{sequence: offer.Sequence, recalledAt: now}
			shard.refresh(now)
			if shard.withinCoverage(now) {
				reply.Released = append(reply.Released, offer.Shard)
			}
			continue
		}
		shard.acceptOffer(holder, offer)
		shard.refresh(now)
	}
	return reply
}

// acceptOffer stores an offer, unless it has no reading, a newer one is known or it
// was recalled.
func (shard *shard) acceptOffer(holder string, offer Offer) {
	if offer.Since == (timekeeper.Reading{}) {
		return
	}
	known := shard.subLeases[holder]
	if known != nil && (offer.Sequence <= known.sequence || offer.Since.Mono <= known.recalledAt.Mono) {
		return
	}
	shard.subLeases[holder] = &subLease{
		parts: offer.Parts, sequence: offer.Sequence, lease: timekeeper.Lease{Start: offer.Since, Duration: SubLeaseDuration},
	}
}

// refresh recomputes the coverage and resizes the accounts' pools.
func (shard *shard) refresh(now timekeeper.Reading) {
	parts := 0
	for holder, subLease := range shard.subLeases {
		if subLease.lease.Remaining(now) >= loanHorizon {
			parts += subLease.parts
		}
		recall := timekeeper.Lease{Start: subLease.recalledAt, Duration: SubLeaseDuration}
		if subLease.lease.Lapsed(now) && recall.Reclaimable(now, timekeeper.DriftMargin) {
			delete(shard.subLeases, holder)
		}
	}
	coverage := min(1, float64(parts)/Parts)
	shard.accrue(now, coverage)
	if coverage == shard.coverage {
		return
	}
	if coverage > shard.coverage {
		shard.grownAt = now
	}
	shard.coverage = coverage
	for _, account := range shard.accounts {
		account.resizePool(coverage, now.Mono)
	}
}

// accrue counts the tokens due to accounts that don't exist yet. When the coverage
// shrinks, it removes the same share as from a full bucket.
func (shard *shard) accrue(now timekeeper.Reading, coverage float64) {
	if now.MaxElapsed(shard.updatedAt) > loanHorizon {
		// The sub-leases may have ended in the meantime, and another collector may
		// have issued tokens from the same parts.
		shard.drain(now.Mono)
	}
	shard.accruedSeconds += shard.coverage * max(0, now.Mono-shard.updatedAt.Mono).Seconds()
	shard.accruedSeconds = min(shard.accruedSeconds, maxAccrualTime.Seconds())
	shard.updatedAt = now
	if coverage < shard.coverage {
		shard.accruedSeconds *= coverage / shard.coverage
	}
}

// drain sets the coverage to 0 and empties the accounts.
func (shard *shard) drain(now time.Duration) {
	shard.coverage = 0
	shard.accruedSeconds = 0
	for _, account := range shard.accounts {
		account.resizePool(0, now)
	}
}

// withinCoverage reports whether everything that borrowers can use lies within the
// coverage.
func (shard *shard) withinCoverage(now timekeeper.Reading) bool {
	for _, account := range shard.accounts {
		account.sweep(now)
		unlent := shard.coverage - account.lent
		if account.reserved > 0 || unlent < -roundingTolerance || account.outstanding > unlent*account.limit.Burst+roundingTolerance {
			return false
		}
	}
	return true
}

// Lend answers the asks of a borrower. Late or duplicate asks get no grant.
func (collector *Collector) Lend(borrower string, asks []limiter.Ask, now timekeeper.Reading) []limiter.Grant {
	grants := make([]limiter.Grant, 0, len(asks))
	refreshed := make(map[limiter.Shard]bool)
	for _, ask := range asks {
		id := ask.ID.Shard()
		shard := collector.shard(id)
		if !refreshed[id] {
			refreshed[id] = true
			shard.refresh(now)
			shard.sweep(now)
		}
		if grant, ok := shard.account(ask, now.Mono).lend(borrower, ask, now); ok {
			grants = append(grants, grant)
		}
	}
	return grants
}

// account returns the account of an organisation. A new one starts with the tokens
// that it would have accrued since the coverage began.
func (shard *shard) account(ask limiter.Ask, now time.Duration) *account {
	found := shard.accounts[ask.ID]
	if found != nil {
		return found
	}
	found = &account{limit: ask.Limit, loans: make(map[string]*loan)}
	found.pool.Refill(now)
	found.resizePool(shard.coverage, now)
	found.pool.Add(shard.accruedSeconds * ask.Limit.Rate)
	shard.accounts[ask.ID] = found
	return found
}

// sweep removes accounts whose state equals that of a new one: no loans and a full
// pool.
func (shard *shard) sweep(now timekeeper.Reading) {
	const period = 10 * time.Second
	if now.Mono-shard.sweptAt < period {
		return
	}
	shard.sweptAt = now.Mono
	for id, account := range shard.accounts {
		account.sweep(now)
		account.resizePool(shard.coverage, now.Mono)
		if len(account.loans) == 0 && account.poolFull() && shard.accruedSeconds*account.limit.Rate >= account.limit.Burst {
			delete(shard.accounts, id)
		}
	}
}
