package tracker

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/platform"
)

const (
	// watchWait is how long the store holds a poll. A connection that went
	// silent is found after it, within the three seconds after which a VM is
	// expected to know what the store knows.
	watchWait = 2200 * time.Millisecond
	// batchPause gathers changes that come in quick succession. It is a small
	// part of the time within which changes must be in force.
	batchPause = 250 * time.Millisecond
	// firstRetry and longestRetry bound the pause after a failed call.
	firstRetry   = 100 * time.Millisecond
	longestRetry = 900 * time.Millisecond
)

// Store is what the tracker needs of the platform's store.
type Store interface {
	Read(ctx context.Context, table, part string) (platform.Reading, error)
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Reading, error)
}

// follower reads one table and then its changes.
type follower struct {
	store Store
	table string
	log   *logrus.Entry
	// take takes an answer in. Whole answers have all rows of the table, others
	// those that changed. Returned is true for the first answer after the store
	// was away.
	take func(reading platform.Reading, whole, returned bool)

	version  uint64
	known    bool
	failures int
}

func (follower *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !follower.step(ctx) {
			return
		}
	}
}

// step makes one call. It reports false when the context has ended.
func (follower *follower) step(ctx context.Context) bool {
	whole := !follower.known
	var reading platform.Reading
	var err error
	if whole {
		reading, err = follower.store.Read(ctx, follower.table, "")
	} else {
		reading, err = follower.store.Watch(ctx, follower.table, follower.version, watchWait)
	}
	if ctx.Err() != nil {
		return false
	}
	if errors.Is(err, platform.ErrHistoryGone) {
		follower.log.WithFields(logrus.Fields{"table": follower.table, "version": follower.version}).Warn("store-history-gone")
		follower.known = false
		return true
	}
	if err != nil {
		return follower.failed(ctx, err)
	}
	returned := follower.failures > 0
	if returned {
		follower.log.WithFields(logrus.Fields{"table": follower.table, "failures": follower.failures}).Info("store-regained")
		follower.failures = 0
	}
	follower.known = true
	follower.version = max(follower.version, reading.Version)
	follower.take(reading, whole, returned)
	if len(reading.Rows) > 0 {
		return sleep(ctx, batchPause)
	}
	return true
}

func (follower *follower) failed(ctx context.Context, err error) bool {
	if follower.failures == 0 {
		follower.log.WithError(err).WithField("table", follower.table).Warn("store-lost")
	}
	pause := min(longestRetry, firstRetry<<min(follower.failures, 4))
	follower.failures++
	return sleep(ctx, pause/2+rand.N(pause/2))
}

// sleep reports false if the context ends meanwhile.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
