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

// exchangeLoop exchanges news with a few other VMs twice a second. Each call
// has a goroutine of its own, so that a silent peer holds up no other one.
func (syncer *Syncer) exchangeLoop(ctx context.Context) {
	random, diverged := syncer.random(4), false
	syncer.every(ctx, exchangePeriod, random, func() {
		next := syncer.arrange().PeersToCall(random)
		if upward, ok := syncer.upward(); ok && !slices.Contains(next, upward) && syncer.unconfirmed() {
			next = append(next, upward)
		}
		for _, peer := range next {
			if syncer.begin(peer) {
				syncer.group.Go(func() { syncer.exchange(ctx, peer) })
			}
		}
		diverged = syncer.mend(ctx, diverged)
		syncer.snapshots.forget()
	})
}

// begin reports whether no call to the peer is under way.
func (syncer *Syncer) begin(peer watcher.Peer) bool {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	if syncer.calling[peer.Name] {
		return false
	}
	syncer.calling[peer.Name] = true
	return true
}

func (syncer *Syncer) end(peer watcher.Peer) {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	delete(syncer.calling, peer.Name)
}

// exchange asks a peer for news and brings it what it lacks.
func (syncer *Syncer) exchange(parent context.Context, peer watcher.Peer) {
	defer syncer.end(peer)
	ctx, cancel := context.WithTimeout(parent, exchangeTimeout)
	defer cancel()
	var message follower.Message
	upward, ok := syncer.upward()
	confirm := ok && upward.Name == peer.Name
	sent := syncer.reading()
	syncer.update(func(follower *follower.Follower, now timekeeper.Reading) {
		message = follower.DigestMessage(now)
		if confirm {
			message.Confirmations = follower.PendingConfirmations()
		}
	})
	answer, err := syncer.call(ctx, peer, message)
	if err != nil {
		if confirm {
			syncer.attempt.Add(1)
		}
		return
	}
	var news follower.FollowUp
	var offer follower.Message
	syncer.update(func(follower *follower.Follower, now timekeeper.Reading) {
		follower.ConfirmationsDelivered(message.Confirmations)
		news, err = follower.HandleAnswer(sent, now, answer)
		offer = follower.ChangesMessage(now, answer)
	})
	if err != nil {
		syncer.Log.WithError(err).WithField("peer", peer.Name).Warn("changes-refused")
	}
	if news.LoadSnapshot {
		syncer.load(parent, &peer)
		return
	}
	if news.PeerBehind || news.PeerEvidenceStale {
		_, _ = syncer.call(ctx, peer, offer) // the next exchange tries again
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

// upward returns the VM that confirmations go to. A reader writes them itself
// unless its writes fail.
func (syncer *Syncer) upward() (watcher.Peer, bool) {
	place := syncer.place.Load()
	if place.Reader() && !syncer.stuck.Load() {
		return watcher.Peer{}, false
	}
	return place.Parent(syncer.attempt.Load())
}

// unconfirmed reports whether there are confirmations to pass on.
func (syncer *Syncer) unconfirmed() bool {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	return len(syncer.follower.PendingConfirmations()) > 0
}

// mend loads anew a configuration that differs from another VM's at the same
// revision. It reports whether it still does.
func (syncer *Syncer) mend(ctx context.Context, before bool) bool {
	diverged := false
	syncer.update(func(follower *follower.Follower, _ timekeeper.Reading) { diverged = follower.Diverged() })
	if !diverged {
		return false
	}
	if !before {
		divergences.Inc()
		syncer.Log.WithField("revision", syncer.Revision()).Error("configuration-diverged")
	}
	syncer.group.Go(func() { syncer.load(ctx, nil) })
	return true
}
