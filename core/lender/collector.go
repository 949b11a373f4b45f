package lender

import (
	"time"

	"godwitramp.example/core/limiter"
	"godwitramp.example/core/timekeeper"
)

const (
	noCoverDenial = 250 * time.Millisecond
	maxAccrual    = 24 * time.Hour
	// minCover is below the smallest part, above rounding errors.
	minCover = 1e-9
)

// Collector uses the parts that holders offer, to answer the asks of
// borrowers. It isn't safe for concurrent use.
type Collector struct {
	// Incarnation names the VM and the start of its process.
	Incarnation string

	shards  map[limiter.Shard]*shard
	leaving bool
}

// shard is what a collector holds of one shard.
type shard struct {
	pieces map[string]*piece
	// cover is the fraction that lasts for the horizon at least.
	cover float64
	// grown is when the cover last became larger.
	grown    timekeeper.Reading
	accrued  float64 // seconds of the whole rate, minted since cover began
	updated  timekeeper.Reading
	accounts map[limiter.ID]*account
	swept    time.Duration
}

// piece is what one holder offers.
type piece struct {
	parts    int
	sequence uint64
	lease    timekeeper.Lease
	// ignored is the newest offer that was given back.
	ignored timekeeper.Reading
}

// NewCollector returns a collector that has been offered nothing.
func NewCollector(incarnation string) *Collector {
	return &Collector{Incarnation: incarnation, shards: make(map[limiter.Shard]*shard)}
}

// Leave begins the hand-over of a planned stop: the answers to offers tell the
// holders to recall their parts. What isn't recalled yet is lent on.
func (collector *Collector) Leave() { collector.leaving = true }

// Empty reports whether borrowers should ask another collector: the holders
// have left this one, or are about to turn to it.
func (collector *Collector) Empty(asks []limiter.Ask, now timekeeper.Reading) bool {
	for _, ask := range asks {
		if shard := collector.shards[ask.ID.Shard()]; shard != nil && shard.ready(now) {
			return false
		}
	}
	return true
}

// ready reports whether the shard has most parts, or has had what it has for
// as long as it takes holders to turn to a collector.
func (shard *shard) ready(now timekeeper.Reading) bool {
	const most = 0.5
	if shard.cover >= most {
		return true
	}
	return shard.cover > 0 && now.Longest(shard.grown) >= 2*OfferPeriod
}

// Cover returns the fraction of a shard that the collector lends from.
func (collector *Collector) Cover(id limiter.Shard, now timekeeper.Reading) float64 {
	found := collector.shards[id]
	if found == nil {
		return 0
	}
	found.refresh(now)
	return found.cover
}

// Accounts returns how many organisations the collector keeps state for.
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
		found = &shard{pieces: make(map[string]*piece), accounts: make(map[limiter.ID]*account)}
		collector.shards[id] = found
	}
	return found
}

// Offered takes the offers of a holder and answers them. Offers that are
// addressed to an earlier incarnation lend nothing.
func (collector *Collector) Offered(holder, addressed string, offers []Offer, now timekeeper.Reading) OfferReply {
	reply := OfferReply{Collector: collector.Incarnation, Since: now, Leaving: collector.leaving}
	if addressed != collector.Incarnation {
		return reply
	}
	for _, offer := range offers {
		shard := collector.shard(offer.Shard)
		if offer.Recall {
			shard.pieces[holder] = &piece{sequence: offer.Sequence, ignored: now}
			shard.refresh(now)
			if shard.fits(now) {
				reply.Released = append(reply.Released, offer.Shard)
			}
			continue
		}
		shard.offered(holder, offer)
		shard.refresh(now)
	}
	return reply
}

// offered keeps an offer unless a newer one is known or it was given back.
func (shard *shard) offered(holder string, offer Offer) {
	if offer.Since == (timekeeper.Reading{}) {
		return
	}
	known := shard.pieces[holder]
	if known != nil && (offer.Sequence <= known.sequence || offer.Since.Mono <= known.ignored.Mono) {
		return
	}
	shard.pieces[holder] = &piece{
		parts: offer.Parts, sequence: offer.Sequence, lease: timekeeper.Lease{Start: offer.Since, Length: PieceLength},
	}
}

// refresh works out the cover and fits the accounts to it.
func (shard *shard) refresh(now timekeeper.Reading) {
	parts := 0
	for holder, piece := range shard.pieces {
		if piece.lease.Left(now) >= horizon {
			parts += piece.parts
		}
		ignored := timekeeper.Lease{Start: piece.ignored, Length: PieceLength}
		if piece.lease.Lapsed(now) && ignored.Reclaimable(now, timekeeper.Drift) {
			delete(shard.pieces, holder)
		}
	}
	cover := min(1, float64(parts)/Parts)
	shard.accrue(now, cover)
	if cover == shard.cover {
		return
	}
	if cover > shard.cover {
		shard.grown = now
	}
	shard.cover = cover
	for _, account := range shard.accounts {
		account.fit(cover, now.Mono)
	}
}

// accrue mints for the accounts that don't exist yet. A smaller cover takes
// away as large a share as it takes from a full bucket.
func (shard *shard) accrue(now timekeeper.Reading, cover float64) {
	if now.Longest(shard.updated) > horizon {
		// The pieces may have ended meanwhile, so that another collector has
		// minted by them.
		shard.drain(now.Mono)
	}
	shard.accrued += shard.cover * max(0, now.Mono-shard.updated.Mono).Seconds()
	shard.accrued = min(shard.accrued, maxAccrual.Seconds())
	shard.updated = now
	if cover < shard.cover {
		shard.accrued *= cover / shard.cover
	}
}

// drain empties the accounts.
func (shard *shard) drain(now time.Duration) {
	shard.cover = 0
	shard.accrued = 0
	for _, account := range shard.accounts {
		account.fit(0, now)
	}
}

// fits reports whether what borrowers can use lies within the cover.
func (shard *shard) fits(now timekeeper.Reading) bool {
	for _, account := range shard.accounts {
		account.sweep(now)
		own := shard.cover - account.lent
		if account.reserved > 0 || own < -minCover || account.outstanding > own*account.limit.Burst+minCover {
			return false
		}
	}
	return true
}

// Lend answers the asks of a borrower.
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

// account returns the account of an organisation. A new one has the tokens
// that it would have if it had existed for as long as the cover.
func (shard *shard) account(ask limiter.Ask, now time.Duration) *account {
	found := shard.accounts[ask.ID]
	if found != nil {
		return found
	}
	found = &account{limit: ask.Limit, loans: make(map[string]*loan)}
	found.pool.Refill(now)
	found.fit(shard.cover, now)
	found.pool.Add(shard.accrued * ask.Limit.Rate)
	shard.accounts[ask.ID] = found
	return found
}

// sweep drops the accounts that are as good as new.
func (shard *shard) sweep(now timekeeper.Reading) {
	const period = 10 * time.Second
	if now.Mono-shard.swept < period {
		return
	}
	shard.swept = now.Mono
	for id, account := range shard.accounts {
		account.sweep(now)
		account.fit(shard.cover, now.Mono)
		if len(account.loans) == 0 && account.full() && shard.accrued*account.limit.Rate >= account.limit.Burst {
			delete(shard.accounts, id)
		}
	}
}
