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

// rowPrefix is the prefix of the keys of the parts' rows.
const rowPrefix = "lender/part/"

func shardPrefix(shard limiter.Shard) string { return fmt.Sprintf("%s%d/", rowPrefix, shard) }

func rowKey(part lender.Part) string { return shardPrefix(part.Shard) + strconv.Itoa(part.Index) }

// claim renews the parts that this VM holds, reads the rows of the shards that
// have organisations or budgets, and claims the parts that are due to this VM.
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
	lent.lendMutex.Lock()
	stopping := lent.leaving
	lent.lendMutex.Unlock()
	if table == nil || stopping {
		return nil
	}
	vms := lent.collectors()
	lent.pruneLeaving(vms)
	names := vms.names
	for shard := range shardsOf(table) {
		position := lender.PositionOf(shard, lent.Members.Self().Name, names)
		if position.Rank >= lender.Parts {
			continue
		}
		if err := lent.claimShard(ctx, shard, position); err != nil {
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

func (lent *Lender) claimShard(ctx context.Context, shard limiter.Shard, position lender.Position) error {
	rows, err := lent.readRows(ctx, shard)
	if err != nil {
		return err
	}
	lent.lendMutex.Lock()
	now := lent.Now()
	var wanted []lender.Claim
	for _, claim := range lent.claimer.Claims(shard, rows, position, now) {
		if _, held := lent.holder.Lease(claim.Part); !held {
			wanted = append(wanted, claim)
		}
	}
	lent.lendMutex.Unlock()
	written, err := lent.writeOwner(ctx, wanted, lent.claimer.Self)
	if err != nil || !written {
		return err
	}
	lent.lendMutex.Lock()
	defer lent.lendMutex.Unlock()
	for _, claim := range wanted {
		lease := timekeeper.Lease{Start: now, Duration: lender.PartLeaseDuration}
		lent.holder.Hold(claim.Part, lease, claim.Free, lent.Now())
		lent.versions[claim.Part] = claim.Version + 1
	}
	lent.triggerOffers()
	lent.Log.WithField("shard", shard).WithField("parts", len(wanted)).Info("parts-claimed")
	return nil
}

// readRows reads the rows of a shard.
func (lent *Lender) readRows(ctx context.Context, shard limiter.Shard) ([]lender.Row, error) {
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

// writeOwner writes the owner to all rows or to none, and reports whether it
// did. A lost answer is an error; the next read of the rows shows the outcome.
func (lent *Lender) writeOwner(ctx context.Context, claims []lender.Claim, owner lender.Owner) (bool, error) {
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

// renew rewrites the rows whose leases are due for renewal. If a row has changed,
// another VM may own the part, and the parts of the write are dropped.
func (lent *Lender) renew(ctx context.Context) error {
	lent.lendMutex.Lock()
	now := lent.Now()
	due := lent.claimsOf(lent.holder.DueForRenewal(now))
	lent.lendMutex.Unlock()
	written, err := lent.writeOwner(ctx, due, lent.claimer.Self)
	if err != nil || len(due) == 0 {
		return err
	}
	lent.lendMutex.Lock()
	defer lent.lendMutex.Unlock()
	for _, claim := range due {
		if !written {
			// The part is read and claimed again, with the waiting time of a
			// new holder.
			lent.holder.Drop(claim.Part, now)
			delete(lent.versions, claim.Part)
			continue
		}
		lent.holder.Renew(claim.Part, timekeeper.Lease{Start: now, Duration: lender.PartLeaseDuration})
		lent.versions[claim.Part] = claim.Version + 1
	}
	return nil
}

// claimsOf returns claims on the parts with the versions of their rows.
func (lent *Lender) claimsOf(parts []lender.Part) []lender.Claim {
	claims := make([]lender.Claim, 0, len(parts))
	for _, part := range parts {
		claims = append(claims, lender.Claim{Part: part, Version: lent.versions[part]})
	}
	return claims
}

// releaseParts marks the parts of this VM as free in the table service, so that
// another VM claims them when it next reads the rows.
func (lent *Lender) releaseParts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	lent.lendMutex.Lock()
	claims := lent.claimsOf(lent.holder.Parts())
	for _, claim := range claims {
		lent.holder.Drop(claim.Part, lent.Now())
	}
	lent.lendMutex.Unlock()
	written, err := lent.writeOwner(ctx, claims, lender.Owner{})
	if err != nil || len(claims) > 0 && !written {
		lent.Log.WithField("parts", len(claims)).WithError(err).Warn("parts-not-released")
		return
	}
	lent.Log.WithField("parts", len(claims)).Info("parts-released")
}
