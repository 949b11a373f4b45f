package lender

import (
	"context"
	"slices"
	"time"

	"godwitramp.example/core/lender"
	"godwitramp.example/core/limiter"
)

const (
	// shardCheckPeriod is how often a VM looks for shards that got their first
	// organisation or budget.
	shardCheckPeriod = 500 * time.Millisecond
	// settleTime is how long the list of VMs must be unchanged before new shards
	// are claimed, so that the first VMs of a starting fleet don't claim all
	// parts.
	settleTime = 3 * time.Second
)

// shardTracker detects shards that got their first organisation or budget.
type shardTracker struct {
	revision     uint64
	shards       map[limiter.Shard]bool
	hasNew       bool
	names        []string
	membersSince time.Time
}

// claimLoop claims and renews each lender.ClaimPeriod, and soon after a shard
// got its first organisation or budget.
func (lent *Lender) claimLoop(ctx context.Context) {
	var tracker shardTracker
	ticker := time.NewTicker(shardCheckPeriod)
	defer ticker.Stop()
	claimedAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !lent.shardsToClaim(&tracker) && time.Since(claimedAt) < lender.ClaimPeriod {
			continue
		}
		claimedAt = time.Now()
		lent.claim(ctx)
	}
}

// shardsToClaim reports whether there are new shards to claim now.
func (lent *Lender) shardsToClaim(tracker *shardTracker) bool {
	if table := lent.Tables.Table(); table != nil && lent.Tables.Revision() != tracker.revision {
		tracker.revision = lent.Tables.Revision()
		shards := shardsOf(table)
		for shard := range shards {
			tracker.hasNew = tracker.hasNew || !tracker.shards[shard]
		}
		tracker.shards = shards
	}
	names := lent.collectors().names
	if !slices.Equal(names, tracker.names) {
		tracker.names, tracker.membersSince = slices.Clone(names), time.Now()
	}
	if !tracker.hasNew || time.Since(tracker.membersSince) < settleTime {
		return false
	}
	tracker.hasNew = false
	return true
}
