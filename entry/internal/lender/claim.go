package lender

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/lender"
	"godwitramp.example/core/limiter"
	"godwitramp.example/core/timekeeper"
	"godwitramp.example/shell/connector"
)

// rowPrefix begins the keys of the parts' rows.
const rowPrefix = "lender/part/"

func shardPrefix(shard limiter.Shard) string { return fmt.Sprintf("%s%d/", rowPrefix, shard) }

func rowKey(part lender.Part) string { return shardPrefix(part.Shard) + strconv.Itoa(part.Index) }

// claim looks at the rows of the shards that have organisations, claims what
// falls to this VM, and renews what it holds.
func (lent *Lender) claim(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if err := lent.tryClaim(ctx); err != nil {
		lent.Log.WithError(err).Warn("claim-failed")
	}
}

func (lent *Lender) tryClaim(ctx context.Context) error {
	if err := lent.renew(ctx); err != nil {
		return fmt.Errorf("renew parts: %w", err)
	}
	table := lent.Tables.Table()
	lent.lending.Lock()
	stopping := lent.leaving
	lent.lending.Unlock()
	if table == nil || stopping {
		return nil
	}
	vms := lent.collectors()
	lent.forgetGone(vms)
	names := vms.names
	for shard := range shardsOf(table) {
		place := lender.PositionOf(shard, lent.Members.Self().Name, names)
		if place.Rank >= lender.Parts {
			continue
		}
		if err := lent.claimShard(ctx, shard, place); err != nil {
			return fmt.Errorf("claim parts of shard %d: %w", shard, err)
		}
	}
	return nil
}

// shardsOf returns the shards that have organisations or budgets.
func shardsOf(table *configurator.Table) map[limiter.Shard]bool {
	shards := make(map[limiter.Shard]bool)
	for organisation := range table.Organisations() {
		shards[limiter.IDOf(organisation.Path).Shard()] = true
	}
	for budget := range table.AllBudgets() {
		shards[limiter.IDOf(budget.Path).Shard()] = true
	}
	return shards
}

func (lent *Lender) claimShard(ctx context.Context, shard limiter.Shard, place lender.Position) error {
	rows, err := lent.rows(ctx, shard)
	if err != nil {
		return err
	}
	lent.lending.Lock()
	now := lent.Now()
	var wanted []lender.Claim
	for _, claim := range lent.claimer.Claims(shard, rows, place, now) {
		if _, held := lent.holder.Lease(claim.Part); !held {
			wanted = append(wanted, claim)
		}
	}
	lent.lending.Unlock()
	written, err := lent.write(ctx, wanted, lent.claimer.Self)
	if err != nil || !written {
		return err
	}
	lent.lending.Lock()
	defer lent.lending.Unlock()
	for _, claim := range wanted {
		lease := timekeeper.Lease{Start: now, Duration: lender.PartLeaseDuration}
		lent.holder.Hold(claim.Part, lease, claim.Free, lent.Now())
		lent.versions[claim.Part] = claim.Version + 1
	}
	lent.offerSoon()
	lent.Log.WithField("shard", shard).WithField("parts", len(wanted)).Info("parts-claimed")
	return nil
}

// rows reads the rows of a shard.
func (lent *Lender) rows(ctx context.Context, shard limiter.Shard) ([]lender.Row, error) {
	found, err := lent.Platform.Scan(ctx, shardPrefix(shard), lender.Parts)
	if err != nil {
		return nil, fmt.Errorf("read rows: %w", err)
	}
	rows := make([]lender.Row, 0, len(found))
	for _, row := range found {
		index, err := strconv.Atoi(strings.TrimPrefix(row.Key, shardPrefix(shard)))
		if err != nil || index < 0 || index >= lender.Parts {
			return nil, fmt.Errorf("row %q: the last part of the key must be a number below %d", row.Key, lender.Parts)
		}
		decoded := lender.Row{Part: lender.Part{Shard: shard, Index: index}, Version: row.Version}
		if err := json.Unmarshal(row.Value, &decoded.Owner); err != nil {
			return nil, fmt.Errorf("decode row %q: %w", row.Key, err)
		}
		rows = append(rows, decoded)
	}
	return rows, nil
}

// write stores the owner in all rows or in none. An answer that was lost
// counts as not written; the next look at the rows finds out.
func (lent *Lender) write(ctx context.Context, claims []lender.Claim, owner lender.Owner) (bool, error) {
	if len(claims) == 0 {
		return false, nil
	}
	value, err := json.Marshal(owner)
	if err != nil {
		return false, fmt.Errorf("encode owner: %w", err)
	}
	transaction := connector.Transaction{ID: rand.Text()}
	for _, claim := range claims {
		key := rowKey(claim.Part)
		transaction.Conditions = append(transaction.Conditions, connector.Condition{Key: key, Version: claim.Version})
		transaction.Puts = append(transaction.Puts, connector.Put{Key: key, Value: value})
	}
	outcome, err := lent.Platform.Transact(ctx, transaction)
	if err != nil {
		return false, fmt.Errorf("write rows: %w", err)
	}
	return outcome.Committed, nil
}

// renew writes the rows whose lease is old. A part whose row has changed is
// another VM's: it is given up.
func (lent *Lender) renew(ctx context.Context) error {
	lent.lending.Lock()
	now := lent.Now()
	stale := lent.claims(lent.holder.DueForRenewal(now))
	lent.lending.Unlock()
	written, err := lent.write(ctx, stale, lent.claimer.Self)
	if err != nil || len(stale) == 0 {
		return err
	}
	lent.lending.Lock()
	defer lent.lending.Unlock()
	for _, claim := range stale {
		if !written {
			// Read and claimed anew, with the wait of a new holder.
			lent.holder.Drop(claim.Part, now)
			delete(lent.versions, claim.Part)
			continue
		}
		lent.holder.Renew(claim.Part, timekeeper.Lease{Start: now, Duration: lender.PartLeaseDuration})
		lent.versions[claim.Part] = claim.Version + 1
	}
	return nil
}

// claims adds the versions that the rows of the parts were written with.
func (lent *Lender) claims(parts []lender.Part) []lender.Claim {
	claims := make([]lender.Claim, 0, len(parts))
	for _, part := range parts {
		claims = append(claims, lender.Claim{Part: part, Version: lent.versions[part]})
	}
	return claims
}

// giveBack writes to the table service that the parts of this VM have no
// owner, so that another VM claims them at its next look.
func (lent *Lender) giveBack(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	lent.lending.Lock()
	claims := lent.claims(lent.holder.Parts())
	for _, claim := range claims {
		lent.holder.Drop(claim.Part, lent.Now())
	}
	lent.lending.Unlock()
	written, err := lent.write(ctx, claims, lender.Owner{})
	if err != nil || len(claims) > 0 && !written {
		lent.Log.WithField("parts", len(claims)).WithError(err).Warn("parts-not-given-back")
		return
	}
	lent.Log.WithField("parts", len(claims)).Info("parts-given-back")
}
