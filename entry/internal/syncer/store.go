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
	// fallbackPeriod is how often a VM that is not a reader reads the store while
	// its peers' evidence is too old. In a fleet of more than fallbackReads VMs
	// the period is longer, so that the store gets at most that many reads a
	// second.
	fallbackPeriod = time.Second
	fallbackReads  = 1500
	// A read times out after readTimeout. Each consecutive failure adds another
	// readTimeout, up to maxReadTimeouts in all, because the store may be slow.
	readTimeout     = time.Second
	maxReadTimeouts = 8

	registerPeriod = time.Second
	confirmPeriod  = 500 * time.Millisecond
	// confirmRewritePeriod is how often unchanged confirmations are rewritten, in
	// case an earlier write took effect late.
	confirmRewritePeriod = 30 * time.Second
	refreshPeriod        = 10 * time.Second
	changesPerRead       = 256
)

// registerLoop retries until the VM is registered.
func (syncer *Syncer) registerLoop(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	register := func() {
		if err := syncer.Recorder.Register(ctx, syncer.registration()); err != nil {
			syncer.Log.WithError(err).Warn("registration-failed")
			return
		}
		syncer.update(func(follower *follower.Follower, now timekeeper.Reading) { follower.Registered(now) })
		cancel()
	}
	register()
	syncer.runEvery(ctx, registerPeriod, syncer.newRandom(1), register)
}

// Deregister deletes the VM's registration. The VM must serve no request
// afterwards.
func (syncer *Syncer) Deregister(ctx context.Context) error {
	syncer.leaving.Store(true)
	if err := syncer.Recorder.Deregister(ctx, syncer.registration()); err != nil {
		return fmt.Errorf("deregister: %w", err)
	}
	return nil
}

// readState is the state of readLoop.
type readState struct {
	lastRead     time.Time
	failures     int
	maxFleetSize int
}

// readLoop reads the store: each period on a reader, and on other VMs only
// while their peers' evidence is too old.
func (syncer *Syncer) readLoop(ctx context.Context) {
	var state readState
	syncer.runEvery(ctx, readPeriod, syncer.newRandom(2), func() {
		if !syncer.readDue(&state) {
			return
		}
		state.lastRead = time.Now()
		if err := syncer.readStore(ctx, &state); err != nil && ctx.Err() == nil {
			syncer.Log.WithError(err).Warn("store-read-failed")
		}
	})
}

func (syncer *Syncer) readDue(state *readState) bool {
	if syncer.position.Load().Reader() {
		return true
	}
	state.maxFleetSize = max(state.maxFleetSize, 1+len(syncer.Members.Live()))
	period := max(fallbackPeriod, time.Duration(state.maxFleetSize)*time.Second/fallbackReads)
	return !syncer.KeysKnown() && time.Since(state.lastRead) >= period
}

func (syncer *Syncer) readStore(runCtx context.Context, state *readState) error {
	timeout := readTimeout * time.Duration(min(1+state.failures, maxReadTimeouts))
	ctx, cancel := context.WithTimeout(runCtx, timeout)
	defer cancel()
	storeReads.Inc()
	sent := syncer.reading()
	syncer.update(func(follower *follower.Follower, _ timekeeper.Reading) { follower.ReadSent(sent) })
	head, err := syncer.Recorder.Head(ctx)
	if err != nil {
		state.failures++
		return fmt.Errorf("read head: %w", err)
	}
	state.failures = 0
	behind := false
	syncer.update(func(follower *follower.Follower, now timekeeper.Reading) {
		behind = follower.ReadAnswered(sent, now, head.Revision)
	})
	if !behind {
		return nil
	}
	return syncer.catchUp(runCtx, head)
}

// catchUp applies the changes up to the head, or loads the whole configuration
// if they are too many or no longer stored.
func (syncer *Syncer) catchUp(ctx context.Context, head recorder.Head) error {
	current := syncer.Revision()
	if current == 0 || head.Revision-current > changesPerRead {
		syncer.load(ctx, nil)
		return nil
	}
	readCtx, cancel := context.WithTimeout(ctx, readTimeout*maxReadTimeouts)
	defer cancel()
	changes, err := syncer.Recorder.Changes(readCtx, current, head.Revision, changesPerRead)
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

// confirmLoop writes the confirmations that a reader has merged whenever they
// have changed.
func (syncer *Syncer) confirmLoop(ctx context.Context) {
	var written []confirmer.Confirmation
	var writtenAt, refreshedAt time.Time
	syncer.runEvery(ctx, confirmPeriod, syncer.newRandom(3), func() {
		position := syncer.position.Load()
		if time.Since(refreshedAt) >= refreshPeriod {
			refreshedAt = time.Now()
			syncer.refreshConfirmations()
		}
		batch := syncer.confirmationsToWrite(position)
		unchanged := reflect.DeepEqual(batch, written) && time.Since(writtenAt) < confirmRewritePeriod
		if len(batch) == 0 || unchanged || syncer.leaving.Load() {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		err := syncer.Recorder.Confirm(ctx, syncer.Members.Self().Name, batch)
		syncer.writesFailing.Store(err != nil)
		if err != nil {
			syncer.Log.WithError(err).Warn("confirmation-failed")
			written = nil
			return
		}
		written, writtenAt = batch, time.Now()
		syncer.update(func(follower *follower.Follower, _ timekeeper.Reading) { follower.ConfirmationsDelivered(batch) })
	})
}

func (syncer *Syncer) confirmationsToWrite(position *arranger.Position) []confirmer.Confirmation {
	if !position.Reader() {
		return nil
	}
	var batch []confirmer.Confirmation
	syncer.update(func(follower *follower.Follower, _ timekeeper.Reading) { batch = follower.AllConfirmations() })
	return batch
}

func (syncer *Syncer) refreshConfirmations() {
	live := make(map[string]bool)
	for _, peer := range syncer.Members.Live() {
		live[peer.Name] = true
	}
	syncer.update(func(follower *follower.Follower, _ timekeeper.Reading) {
		follower.RefreshConfirmations(func(vm string) bool { return live[vm] })
	})
}
