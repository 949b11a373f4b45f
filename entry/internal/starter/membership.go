package starter

import (
	"time"

	"godwitramp.example/core/watcher"
	"godwitramp.example/entry/internal/gossiper"
	"godwitramp.example/shell/caller"
	"godwitramp.example/shell/connector"
)

// self describes this VM to the others.
func (starter *Starter) self() watcher.Peer {
	settings := starter.Settings
	return watcher.Peer{
		Name: settings.Name, Region: settings.Region, DataCentre: settings.DataCentre, Address: settings.Peers,
		Incarnation: uint64(time.Now().UnixNano()), BesideStore: settings.BesideStore,
	}
}

func (starter *Starter) membership(calls *caller.Caller, platform connector.Platform) *gossiper.Gossiper {
	return &gossiper.Gossiper{
		Self: starter.self(), Caller: calls, Platform: platform, Seeds: starter.Settings.Seeds, Log: starter.Log,
	}
}

// members is the membership as other parts use it.
type members struct{ *gossiper.Gossiper }

var _ watcher.Members = members{}

// Self returns this VM.
func (members members) Self() watcher.Peer { return members.Gossiper.Self }
