package starter

import (
	"time"

	"godwitramp.example/core/watcher"
	"godwitramp.example/entry/internal/gossiper"
)

// self describes this VM to other VMs.
func (starter *Starter) self() watcher.Peer {
	settings := starter.Settings
	return watcher.Peer{
		Name: settings.Name, Region: settings.Region, DataCentre: settings.DataCentre, Address: settings.Peers,
		Incarnation: uint64(time.Now().UnixNano()), BesideStore: settings.BesideStore,
	}
}

// startMembership starts the gossiper, which maintains the list of VMs.
func (starter *Starter) startMembership(environment *environment) error {
	starter.gossiper = &gossiper.Gossiper{
		Peer: starter.self(), Caller: environment.calls, Platform: environment.platform, Seeds: starter.Settings.Seeds, Log: starter.Log,
	}
	environment.run(starter.gossiper.Run)
	return environment.serve("Members", starter.gossiper.Service())
}
