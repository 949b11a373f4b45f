package lender

import (
	"context"
	"slices"
	"time"

	"godwitramp.example/core/lender"
	"godwitramp.example/core/limiter"
)

const (
	// followPeriod is how often a VM looks for shards that are new to it.
	followPeriod = 500 * time.Millisecond
	// settleTime is how long the VMs must stay the same before new shards are
	// claimed, so that the first VMs of a starting fleet don't take all parts.
	settleTime = 3 * time.Second
)

// follower notices shards that got their first organisation.
type follower struct {
	revision uint64
	shards   map[limiter.Shard]bool
	unseen   bool
	names    []string
	since    time.Time
}

// claimLoop claims and renews in each period, and soon after a shard got its
// first organisation.
func (lent *Lender) claimLoop(ctx context.Context) {
	var follower follower
	ticker := time.NewTicker(followPeriod)
	defer ticker.Stop()
	claimed := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !lent.follow(&follower) && time.Since(claimed) < lender.ClaimPeriod {
			continue
		}
		claimed = time.Now()
		lent.claim(ctx)
	}
}

// follow reports whether there are shards to be claimed now.
func (lent *Lender) follow(follower *follower) bool {
	if table := lent.Tables.Table(); table != nil && lent.Tables.Revision() != follower.revision {
		follower.revision = lent.Tables.Revision()
		shards := shardsOf(table)
		for shard := range shards {
			follower.unseen = follower.unseen || !follower.shards[shard]
		}
		follower.shards = shards
	}
	names := lent.collectors().names
	if !slices.Equal(names, follower.names) {
		follower.names, follower.since = slices.Clone(names), time.Now()
	}
	if !follower.unseen || time.Since(follower.since) < settleTime {
		return false
	}
	follower.unseen = false
	return true
}
