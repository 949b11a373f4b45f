package starter

import (
	"context"

	"godwitramp.example/gateway/internal/messenger"
	"godwitramp.example/gateway/internal/registrar"
	"godwitramp.example/gateway/internal/tracker"
	"godwitramp.example/platform"
	"godwitramp.example/shell/timer"
)

// join makes the VM known to the fleet and exchanges messages with it until the
// context ends.
func (starter *Starter) join(ctx context.Context) {
	settings := starter.Settings
	registrar := &registrar.Registrar{Store: starter.store, Log: starter.Log}
	members, err := registrar.Join(ctx, starter.member())
	if err != nil {
		return // the VM stops
	}
	peers := peersOf(members)
	messenger := &messenger.Messenger{
		Self: messenger.Peer{Name: settings.Name, DataCentre: settings.DataCentre, Address: settings.Messages},
		Key:  members.Key, Clock: timer.Now, Log: starter.Log,
		Receive: starter.hear, Claims: starter.claims, HearClaim: starter.hearClaim, Lost: starter.tracker.AnyTableUnreachable,
		Changed: starter.regroup,
	}
	if err := messenger.Open(); err != nil {
		starter.Log.WithError(err).Error("messages-unavailable")
		return
	}
	starter.messages.set(messenger)
	starter.Log.WithField("peers", len(peers)).Info("joined")
	messenger.Know(peers)
	starter.regroup()
	starter.messages.onJoin()
	_ = messenger.Run(ctx)
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

// hear takes a note of another VM in.
func (starter *Starter) hear(from messenger.Peer, note messenger.Note) {
	starter.dispatcher.Hear(note, starter.messages.inGroup(from.Name))
}

// regroup takes over the present state of the group.
func (starter *Starter) regroup() { starter.dispatcher.Share(starter.messages.share()) }

// claims returns what this VM knows of the store.
func (starter *Starter) claims() []messenger.Claim {
	var claims []messenger.Claim
	for _, known := range starter.tracker.Claims() {
		claim := messenger.Claim{
			Table: known.Table, Change: known.Change, Stored: known.StoreTime, After: known.After, Returned: known.AfterOutage,
			Arriving: known.Transferring,
		}
		for _, row := range known.Rows {
			claim.Rows = append(claim.Rows, messenger.Row{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted})
		}
		claims = append(claims, claim)
	}
	return claims
}

// hearClaim takes over what another VM knows of the store.
func (starter *Starter) hearClaim(heard messenger.Claim) {
	claim := tracker.Claim{
		Table: heard.Table, Change: heard.Change, StoreTime: heard.Stored, After: heard.After, AfterOutage: heard.Returned,
		Transferring: heard.Arriving,
	}
	for _, row := range heard.Rows {
		claim.Rows = append(claim.Rows, platform.Row{
			Table: heard.Table, Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted,
		})
	}
	starter.tracker.HandleClaim(claim)
}
