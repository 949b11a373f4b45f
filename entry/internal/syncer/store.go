package syncer

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"time"

	"godwitramp.example/core/arranger"
	"godwitramp.example/core/confirmer"
	"godwitramp.example/core/follower"
	"godwitramp.example/core/timekeeper"
	"godwitramp.example/shell/recorder"
)

const (
	readPeriod = 250 * time.Millisecond
	// fallbackPeriod is how often VMs that are no readers read the store while
	// other VMs tell them nothing; longer in a fleet of more than
	// fallbackReads VMs, so that the store gets at most that many a second.
	fallbackPeriod = time.Second
	fallbackReads  = 1500
	// A read is given up after readTimeout, and later after a multiple of it,
	// up to maxReadTimeouts, while the store is slow.
	readTimeout     = time.Second
	maxReadTimeouts = 8

	registerPeriod = time.Second
	confirmPeriod  = 500 * time.Millisecond
	// confirmAgain is how often unchanged confirmations are written again, in
	// case that an earlier write took effect late.
	confirmAgain   = 30 * time.Second
	refreshPeriod  = 10 * time.Second
	changesPerRead = 256
)

// registerLoop registers the VM and returns.
func (syncer *Syncer) registerLoop(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	try := func() {
		if err := syncer.Recorder.Register(ctx, syncer.registration()); err != nil {
			syncer.Log.WithError(err).Warn("registration-failed")
			return
		}
		syncer.update(func(follower *follower.Follower, now timekeeper.Reading) { follower.Registered(now) })
		cancel()
	}
	try()
	syncer.every(ctx, registerPeriod, syncer.random(1), try)
}

// Leave takes back the VM's registration. The VM must serve no request after
// that.
func (syncer *Syncer) Leave(ctx context.Context) error {
	syncer.left.Store(true)
	if err := syncer.Recorder.Deregister(ctx, syncer.registration()); err != nil {
		return fmt.Errorf("deregister: %w", err)
	}
	return nil
}

// reads is what the loop that reads the store remembers.
type reads struct {
	last     time.Time
	failures int
	largest  int
}

// readLoop reads the store: often on a reader, and on another VM only while
// the VM knows nothing by others.
func (syncer *Syncer) readLoop(ctx context.Context) {
	var reads reads
	syncer.every(ctx, readPeriod, syncer.random(2), func() {
		if !syncer.due(&reads) {
			return
		}
		reads.last = time.Now()
		if err := syncer.read(ctx, &reads); err != nil && ctx.Err() == nil {
			syncer.Log.WithError(err).Warn("store-read-failed")
		}
	})
}

func (syncer *Syncer) due(reads *reads) bool {
	if syncer.place.Load().Reader() {
		return true
	}
	reads.largest = max(reads.largest, 1+len(syncer.Members.Live()))
	period := max(fallbackPeriod, time.Duration(reads.largest)*time.Second/fallbackReads)
	return !syncer.KeysKnown() && time.Since(reads.last) >= period
}

func (syncer *Syncer) read(parent context.Context, reads *reads) error {
	timeout := readTimeout * time.Duration(min(1+reads.failures, maxReadTimeouts))
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	storeReads.Inc()
	sent := syncer.reading()
	syncer.update(func(follower *follower.Follower, _ timekeeper.Reading) { follower.ReadSent(sent) })
	head, err := syncer.Recorder.Head(ctx)
	if err != nil {
		reads.failures++
		return fmt.Errorf("read head: %w", err)
	}
	reads.failures = 0
	behind := false
	syncer.update(func(follower *follower.Follower, now timekeeper.Reading) {
		behind = follower.ReadAnswered(sent, now, head.Revision)
	})
	if !behind {
		return nil
	}
	return syncer.catchUp(parent, head)
}

// catchUp applies the changes up to the head.
func (syncer *Syncer) catchUp(ctx context.Context, head recorder.Head) error {
	have := syncer.Revision()
	if have == 0 || head.Revision-have > changesPerRead {
		syncer.load(ctx, nil)
		return nil
	}
	limit, cancel := context.WithTimeout(ctx, readTimeout*maxReadTimeouts)
	defer cancel()
	changes, err := syncer.Recorder.Changes(limit, have, head.Revision, changesPerRead)
	var missing *recorder.MissingChangeError
	if errors.As(err, &missing) {
		syncer.load(ctx, nil)
		return nil
	}
	if err != nil {
		return fmt.Errorf("read changes: %w", err)
	}
	syncer.update(func(follower *follower.Follower, _ timekeeper.Reading) { err = follower.Apply(changes) })
	return err
}

// confirmLoop writes the confirmations that a reader has merged, when they
// have changed.
func (syncer *Syncer) confirmLoop(ctx context.Context) {
	var written []confirmer.Confirmation
	var at, refreshed time.Time
	syncer.every(ctx, confirmPeriod, syncer.random(3), func() {
		place := syncer.place.Load()
		if time.Since(refreshed) >= refreshPeriod {
			refreshed = time.Now()
			syncer.refresh()
		}
		batch := syncer.confirmed(place)
		unchanged := reflect.DeepEqual(batch, written) && time.Since(at) < confirmAgain
		if len(batch) == 0 || unchanged || syncer.left.Load() {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		err := syncer.Recorder.Confirm(ctx, syncer.Members.Self().Name, batch)
		syncer.stuck.Store(err != nil)
		if err != nil {
			syncer.Log.WithError(err).Warn("confirmation-failed")
			written = nil
			return
		}
		written, at = batch, time.Now()
		syncer.update(func(follower *follower.Follower, _ timekeeper.Reading) { follower.ConfirmationsDelivered(batch) })
	})
}

func (syncer *Syncer) confirmed(place *arranger.Position) []confirmer.Confirmation {
	if !place.Reader() {
		return nil
	}
	var batch []confirmer.Confirmation
	syncer.update(func(follower *follower.Follower, _ timekeeper.Reading) { batch = follower.AllConfirmations() })
	return batch
}

func (syncer *Syncer) refresh() {
	live := make(map[string]bool)
	for _, peer := range syncer.Members.Live() {
		live[peer.Name] = true
	}
	syncer.update(func(follower *follower.Follower, _ timekeeper.Reading) {
		follower.RefreshConfirmations(func(vm string) bool { return live[vm] })
	})
}
