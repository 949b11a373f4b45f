package starter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"godwitramp.example/core/keeper"
	"godwitramp.example/core/verifier"
	"godwitramp.example/gateway/internal/messenger"
	"godwitramp.example/gateway/internal/registrar"
	"godwitramp.example/gateway/internal/tracker"
	"godwitramp.example/platform"
	"godwitramp.example/shell/timer"
)

// join registers the VM in the fleet and exchanges messages with its peers until the
// context ends.
func (starter *Starter) join(ctx context.Context) {
	settings := starter.Settings
	registrar := &registrar.Registrar{Store: starter.store, Log: starter.Log, FirstStart: settings.FirstStart}
	members, err := registrar.Join(ctx, starter.member())
	if err != nil {
		return // the context has ended
	}
	peers := peersOf(members)
	messenger := &messenger.Messenger{
		Self: messenger.Peer{Name: settings.Name, DataCentre: settings.DataCentre, Address: settings.Messages},
		Key:  members.Key, KeyEra: members.Era, StoreEra: starter.store.Era, Clock: timer.Now, Log: starter.Log,
		OnEvent: starter.handleEvent, Claims: starter.claims, InForce: starter.inForceClaim, OnClaim: starter.handleClaim, OnHeard: starter.tracker.RecordContact, StoreUnreachable: starter.tracker.AnyTableUnreachable,
		Reminders:     starter.dispatcher.Reminders,
		Offers:        starter.dispatcher.HedgeOffers,
		OnGroupChange: starter.updateShare, Regions: settings.Regions,
		OnAsk: starter.dispatcher.Lend, OnTokens: starter.dispatcher.HandleTokens,
	}
	if err := messenger.Open(); err != nil {
		starter.Log.WithError(err).Error("messages-unavailable")
		return
	}
	starter.importSuspects(members.Suspects)
	starter.registrar.Store(registrar)
	starter.messages.set(messenger)
	starter.Log.WithField("peers", len(peers)).Info("joined")
	messenger.AddPeers(peers)
	starter.updateShare()
	starter.messages.onJoin()
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { starter.keepMembership(ctx, registrar, messenger, members.Era) })
	group.Go(func() { starter.writeBlocks(ctx, registrar) })
	_ = messenger.Run(ctx)
}

const (
	// eraInterval is the interval at which the VM looks whether the store was restored, which
	// needs no call.
	eraInterval = 500 * time.Millisecond
	// verifyDelay is the wait after the first failed attempt to verify the rows. It doubles
	// with each up to maxVerifyDelay, and varies by half.
	verifyDelay    = 300 * time.Millisecond
	maxVerifyDelay = 10 * time.Second
)

// keepMembership verifies the rows in the store, and the fleet's key, once in each era after
// the given one until the context ends.
func (starter *Starter) keepMembership(
	ctx context.Context, registrar *registrar.Registrar, messenger *messenger.Messenger, verified uint64,
) {
	for timer.Sleep(ctx, eraInterval) {
		era := messenger.Era()
		if era <= verified {
			continue
		}
		share := messenger.Share()
		delay := keeper.Delay(messenger.FirstInGroup(), share.VMs*max(1, len(starter.Settings.Regions)), rand.Float64())
		if !timer.Sleep(ctx, delay) {
			return
		}
		members, err := starter.verify(ctx, registrar, messenger)
		if err != nil {
			return // the context has ended
		}
		verified = max(era, members.Era)
		messenger.ConfirmKey(members.Era, members.Key)
		messenger.AddPeers(peersOf(members))
		if messenger.Rank() == 0 {
			starter.requestBlocksWrite() // the store was restored from a copy that may lack the newest blocks and crashes
		}
	}
}

// verify retries until the rows have been verified or the context ends.
func (starter *Starter) verify(
	ctx context.Context, registrar *registrar.Registrar, messenger *messenger.Messenger,
) (registrar.Members, error) {
	for delay := verifyDelay; ; delay = min(2*delay, maxVerifyDelay) {
		members, err := registrar.Verify(ctx, starter.member(), messenger.CurrentKey(), membersOf(messenger.Group()))
		if err == nil {
			return members, nil
		}
		starter.Log.WithError(err).Warn("rows-not-verified")
		if !timer.Sleep(ctx, time.Duration((0.5+rand.Float64())*float64(delay))) {
			return members, fmt.Errorf("verify rows: %w", context.Cause(ctx))
		}
	}
}

func membersOf(peers []messenger.Peer) []registrar.Member {
	var members []registrar.Member
	for _, peer := range peers {
		members = append(members, registrar.Member{Name: peer.Name, DataCentre: peer.DataCentre, Address: peer.Address})
	}
	return members
}

func (starter *Starter) member() registrar.Member {
	settings := starter.Settings
	return registrar.Member{Name: settings.Name, DataCentre: settings.DataCentre, Address: settings.Messages}
}

func peersOf(members registrar.Members) []messenger.Peer {
	var peers []messenger.Peer
	for _, member := range members.All {
		peers = append(peers, messenger.Peer{Name: member.Name, DataCentre: member.DataCentre, Address: member.Address})
	}
	return peers
}

// handleEvent passes an event of another VM to the dispatcher.
func (starter *Starter) handleEvent(from messenger.Peer, event messenger.Event) {
	starter.dispatcher.HandleEvent(event, starter.messages.inGroup(from.Name))
}

// updateShare passes the present state of the group to the dispatcher.
func (starter *Starter) updateShare() { starter.dispatcher.SetShare(starter.messages.share()) }

// claims returns the tracker's claims as messages to the group.
func (starter *Starter) claims() []messenger.Claim {
	var claims []messenger.Claim
	for _, own := range starter.tracker.Claims() {
		claim := messageOf(own)
		for _, row := range own.Rows {
			claim.Rows = append(claim.Rows, messenger.Row{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted})
		}
		claims = append(claims, claim)
	}
	return claims
}

// inForceClaim returns the tracker's claim of what is in force as a message.
func (starter *Starter) inForceClaim() (messenger.Claim, bool) {
	own, ok := starter.tracker.InForceClaim()
	return messageOf(own), ok
}

// messageOf returns a claim without its rows as a message.
func messageOf(own tracker.Claim) messenger.Claim {
	return messenger.Claim{
		Table: own.Table, Era: own.Era, Version: own.Version, StoreTime: own.StoreTime, After: own.After, AfterOutage: own.AfterOutage,
		Transferring: own.Transferring, InForce: own.InForce.Version, InForceEra: own.InForce.Era, KnownAsOf: own.KnownAsOf, Settled: own.Settled,
		ServedSince: own.ServedSince,
	}
}

// handleClaim passes a claim of another VM to the tracker.
func (starter *Starter) handleClaim(received messenger.Claim) {
	claim := tracker.Claim{
		Table: received.Table, Era: received.Era, Version: received.Version, StoreTime: received.StoreTime, After: received.After, AfterOutage: received.AfterOutage,
		Transferring: received.Transferring, InForce: verifier.Origin{Version: received.InForce, Era: received.InForceEra}, ServedSince: received.ServedSince,
		Settled: received.Settled, KnownAsOf: received.KnownAsOf, AskedAt: received.AskedAt, DataCentre: received.DataCentre,
	}
	for _, row := range received.Rows {
		claim.Rows = append(claim.Rows, platform.Row{
			Table: received.Table, Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted,
		})
	}
	starter.tracker.HandleClaim(claim)
}
