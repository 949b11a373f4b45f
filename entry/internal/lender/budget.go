package lender

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/limiter"
	"godwitramp.example/core/meter"
	"godwitramp.example/shell/connector"
)

// Spill is what the request path asks before it sends a request to another
// region, and tells afterwards.
type Spill interface {
	// MaySpill takes an estimate of the bytes, both ways, from the team's
	// budget. It never waits.
	MaySpill(team, from, to string, bytes int64) bool
	// Spent counts the bytes that were sent.
	Spent(spending Spending)
}

// Spending is the traffic of one request between regions.
type Spending struct {
	meter.Flow
	// Estimated is what MaySpill was asked for, Bytes what came of it.
	Estimated, Bytes int64
}

var _ Spill = (*Lender)(nil)

const (
	meterPrefix = "meter/"
	meterPeriod = time.Minute
)

// MaySpill reports whether a budget of the team has room, and takes it.
// Without a budget nothing may leave the region.
func (lent *Lender) MaySpill(team, from, to string, bytes int64) bool {
	table := lent.Tables.Table()
	if table == nil {
		return false
	}
	now := lent.Now()
	lent.borrowing.Lock()
	defer lent.borrowing.Unlock()
	for _, budget := range table.Budgets(configurator.RegionPair{From: from, To: to}) {
		if budget.Path.Team() != team {
			continue
		}
		limit := limiter.Limit{Rate: budget.Rate, Burst: budget.Burst, Revision: lent.Tables.Revision()}
		if lent.borrower.TryTake(limiter.IDOf(budget.Path), limit, float64(bytes), now) {
			return true
		}
	}
	if lent.borrower.HasPending() {
		lent.poke()
	}
	return false
}

// Spent counts the bytes for the bill, and charges the budget with what the
// estimate fell short of.
func (lent *Lender) Spent(spending Spending) {
	day := meter.Day(lent.Now().Wall / (24 * time.Hour))
	lent.metering.Lock()
	lent.meter.Add(spending.Flow, spending.Bytes, day)
	lent.metering.Unlock()
	short := spending.Bytes - spending.Estimated
	table := lent.Tables.Table()
	if short <= 0 || table == nil {
		return
	}
	team := spending.Service.Team()
	lent.borrowing.Lock()
	defer lent.borrowing.Unlock()
	for _, budget := range table.Budgets(configurator.RegionPair{From: spending.From, To: spending.To}) {
		if budget.Path.Team() == team {
			lent.borrower.Charge(limiter.IDOf(budget.Path), float64(short), lent.Now())
			return
		}
	}
}

// meterKey is the key of the row with what this process has counted on a day.
func (lent *Lender) meterKey(day meter.Day) string {
	return fmt.Sprintf("%s%d/%s", meterPrefix, day, incarnation(lent.Members.Self()))
}

// writeMeter writes the totals of each day to the table service. The rows are
// this process's own, and each write replaces the last: a lost answer does no
// harm.
func (lent *Lender) writeMeter(ctx context.Context) {
	if err := lent.tryWriteMeter(ctx); err != nil && ctx.Err() == nil {
		lent.Log.WithError(err).Warn("meter-not-written")
	}
}

func (lent *Lender) tryWriteMeter(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	today := meter.Day(lent.Now().Wall / (24 * time.Hour))
	lent.metering.Lock()
	totals := lent.meter.Totals()
	lent.metering.Unlock()
	days := make(map[meter.Day][]meter.Total)
	for _, total := range totals {
		days[total.Day] = append(days[total.Day], total)
	}
	for day, totals := range days {
		value, err := json.Marshal(totals)
		if err != nil {
			return fmt.Errorf("encode totals of day %d: %w", day, err)
		}
		transaction := connector.Transaction{Puts: []connector.Put{{Key: lent.meterKey(day), Value: value}}}
		if _, err := lent.Platform.Transact(ctx, transaction); err != nil {
			return fmt.Errorf("write totals of day %d: %w", day, err)
		}
	}
	lent.metering.Lock()
	defer lent.metering.Unlock()
	lent.meter.DropBefore(today) // a later day's row can't replace these
	return nil
}
