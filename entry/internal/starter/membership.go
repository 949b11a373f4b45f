package starter

import (
	"time"

	"godwitramp.example/core/watcher"
	"godwitramp.example/entry/internal/gossiper"
)

// self describes this VM to the others.
func (starter *Starter) self() watcher.Peer {
	settings := starter.Settings
	return watcher.Peer{
		Name: settings.Name, Region: settings.Region, DataCentre: settings.DataCentre, Address: settings.Peers,
		Incarnation: uint64(time.Now().UnixNano()), BesideStore: settings.BesideStore,
	}
}

// startMembership runs what knows the other VMs.
func (starter *Starter) startMembership(parts *parts) error {
	starter.gossiper = &gossiper.Gossiper{
		Peer: starter.self(), Caller: parts.calls, Platform: parts.platform, Seeds: starter.Settings.Seeds, Log: starter.Log,
	}
	parts.run(starter.gossiper.Run)
	return parts.serve("Members", starter.gossiper.Service())
}
