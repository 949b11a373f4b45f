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

// SpilloverBudget limits and meters the traffic to other regions by the budgets of the
// teams. Call MaySpill before a request is sent to another region, and RecordSpending
// after it has ended.
type SpilloverBudget interface {
	// MaySpill charges the estimated bytes, in both directions, to the team's
	// budget. It reports false, and charges nothing, if the budget has no room for
	// them. It never waits.
	MaySpill(team, from, to string, bytes int64) bool
	// RecordSpending counts the bytes that were transferred.
	RecordSpending(spending Spending)
}

// Spending is the traffic of one request between regions.
type Spending struct {
	meter.Flow
	// Estimated is the number of bytes given to MaySpill, Bytes the number of bytes
	// transferred.
	Estimated, Bytes int64
}

var _ SpilloverBudget = (*Lender)(nil)

const (
	meterPrefix = "meter/"
	meterPeriod = time.Minute
)

// MaySpill reports whether a budget of the team has room, and charges the bytes
// to it. Without a budget nothing may leave the region.
func (lent *Lender) MaySpill(team, from, to string, bytes int64) bool {
	table := lent.Tables.Table()
	if table == nil {
		return false
	}
	now := lent.Now()
	lent.borrowMutex.Lock()
	defer lent.borrowMutex.Unlock()
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
		lent.wakeAsk()
	}
	return false
}

// RecordSpending counts the bytes for billing, and charges the budget for those
// beyond the estimate.
func (lent *Lender) RecordSpending(spending Spending) {
	day := meter.Day(lent.Now().Wall / (24 * time.Hour))
	lent.meterMutex.Lock()
	lent.meter.Add(spending.Flow, spending.Bytes, day)
	lent.meterMutex.Unlock()
	shortfall := spending.Bytes - spending.Estimated
	table := lent.Tables.Table()
	if shortfall <= 0 || table == nil {
		return
	}
	team := spending.Service.Team()
	lent.borrowMutex.Lock()
	defer lent.borrowMutex.Unlock()
	for _, budget := range table.Budgets(configurator.RegionPair{From: spending.From, To: spending.To}) {
		if budget.Path.Team() == team {
			lent.borrower.Debit(limiter.IDOf(budget.Path), float64(shortfall), lent.Now())
			return
		}
	}
}

// meterKey is the key of the row with this process's totals of a day.
func (lent *Lender) meterKey(day meter.Day) string {
	return fmt.Sprintf("%s%d/%s", meterPrefix, day, incarnation(lent.Members.Self()))
}

// writeMeter writes the totals of each day to the table service. Only this
// process writes these rows, and each write replaces the previous one, so a lost
// answer does no harm.
func (lent *Lender) writeMeter(ctx context.Context) {
	if err := lent.tryWriteMeter(ctx); err != nil && ctx.Err() == nil {
		lent.Log.WithError(err).Warn("meter-not-written")
	}
}

func (lent *Lender) tryWriteMeter(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	today := meter.Day(lent.Now().Wall / (24 * time.Hour))
	lent.meterMutex.Lock()
	totals := lent.meter.Totals()
	lent.meterMutex.Unlock()
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
	lent.meterMutex.Lock()
	defer lent.meterMutex.Unlock()
	lent.meter.DropBefore(today) // a later day's row can't replace these
	return nil
}
