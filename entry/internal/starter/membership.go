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
		Peer: starter.self(), Caller: calls, Platform: platform, Seeds: starter.Settings.Seeds, Log: starter.Log,
	}
}
