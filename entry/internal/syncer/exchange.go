package syncer

import (
	"context"
	"slices"
	"time"

	"godwitramp.example/core/follower"
	"godwitramp.example/core/timekeeper"
	"godwitramp.example/core/watcher"
)

const (
	exchangePeriod  = 500 * time.Millisecond
	exchangeTimeout = time.Second
	serviceName     = "Config"
	exchangeMethod  = serviceName + ".Exchange"
	snapshotMethod  = serviceName + ".Snapshot"
)

// exchangeLoop exchanges changes with a few other VMs twice a second. Each call
// runs in its own goroutine, so that a peer that does not answer delays no
// other.
func (syncer *Syncer) exchangeLoop(ctx context.Context) {
	random, diverged := syncer.newRandom(4), false
	syncer.runEvery(ctx, exchangePeriod, random, func() {
		peers := syncer.updatePosition().PeersToCall(random)
		if parent, ok := syncer.confirmationParent(); ok && !slices.Contains(peers, parent) && syncer.hasPendingConfirmations() {
			peers = append(peers, parent)
		}
		for _, peer := range peers {
			if syncer.beginCall(peer) {
				syncer.group.Go(func() { syncer.exchange(ctx, peer) })
			}
		}
		diverged = syncer.repairDivergence(ctx, diverged)
		syncer.snapshotCache.evictIdle()
	})
}

// beginCall marks a call to the peer as in flight. It reports false if one
// already is.
func (syncer *Syncer) beginCall(peer watcher.Peer) bool {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	if syncer.calling[peer.Name] {
		return false
	}
	syncer.calling[peer.Name] = true
	return true
}

func (syncer *Syncer) endCall(peer watcher.Peer) {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	delete(syncer.calling, peer.Name)
}

// exchange requests newer changes from a peer and sends it those that it lacks.
func (syncer *Syncer) exchange(runCtx context.Context, peer watcher.Peer) {
	defer syncer.endCall(peer)
	ctx, cancel := context.WithTimeout(runCtx, exchangeTimeout)
	defer cancel()
	var message follower.Message
	parent, ok := syncer.confirmationParent()
	toParent := ok && parent.Name == peer.Name
	sent := syncer.reading()
	syncer.update(func(follower *follower.Follower, now timekeeper.Reading) {
		message = follower.DigestMessage(now)
		if toParent {
			message.Confirmations = follower.PendingConfirmations()
		}
	})
	answer, err := syncer.call(ctx, peer, message)
	if err != nil {
		if toParent {
			syncer.parentFailures.Add(1)
		}
		return
	}
	var followUp follower.FollowUp
	var changes follower.Message
	syncer.update(func(follower *follower.Follower, now timekeeper.Reading) {
		follower.ConfirmationsDelivered(message.Confirmations)
		followUp, err = follower.HandleAnswer(sent, now, answer)
		changes = follower.ChangesMessage(now, answer)
	})
	if err != nil {
		syncer.Log.WithError(err).WithField("peer", peer.Name).Warn("changes-refused")
	}
	if followUp.LoadSnapshot {
		syncer.load(runCtx, &peer)
		return
	}
	if followUp.PeerBehind || followUp.PeerEvidenceStale {
		_, _ = syncer.call(ctx, peer, changes) // the next exchange retries
	}
}

func (syncer *Syncer) call(ctx context.Context, peer watcher.Peer, message follower.Message) (follower.Answer, error) {
	var answer follower.Answer
	exchanges.Inc()
	err := syncer.Calls.Call(ctx, peer.Address, exchangeMethod, message, &answer)
	if err != nil && ctx.Err() == nil {
		syncer.Log.WithError(err).WithField("peer", peer.Name).Debug("exchange-failed")
	}
	return answer, err
}

// confirmationParent returns the VM that gets the confirmations. A reader
// writes them to the store itself unless its writes fail.
func (syncer *Syncer) confirmationParent() (watcher.Peer, bool) {
	position := syncer.position.Load()
	if position.Reader() && !syncer.writesFailing.Load() {
		return watcher.Peer{}, false
	}
	return position.Parent(syncer.parentFailures.Load())
}

// hasPendingConfirmations reports whether there are confirmations to forward.
func (syncer *Syncer) hasPendingConfirmations() bool {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	return len(syncer.follower.PendingConfirmations()) > 0
}

// repairDivergence reloads the configuration if it differs from another VM's at
// the same revision, and reports whether it differs.
func (syncer *Syncer) repairDivergence(ctx context.Context, wasDiverged bool) bool {
	diverged := false
	syncer.update(func(follower *follower.Follower, _ timekeeper.Reading) { diverged = follower.Diverged() })
	if !diverged {
		return false
	}
	if !wasDiverged {
		divergences.Inc()
		syncer.Log.WithField("revision", syncer.Revision()).Error("configuration-diverged")
	}
	syncer.group.Go(func() { syncer.load(ctx, nil) })
	return true
}
