package starter

import (
	"time"

	"godwitramp.example/core/router"
	"godwitramp.example/core/timekeeper"
	"godwitramp.example/entry/internal/forwarder"
	"godwitramp.example/entry/internal/lender"
	"godwitramp.example/entry/internal/prober"
	"godwitramp.example/entry/internal/reporter"
	"godwitramp.example/entry/internal/steward"
	"godwitramp.example/shell/describer"
)

// startEjection runs what routes round faulty targets: the router, the evidence, the
// permits and the probes.
func (starter *Starter) startEjection(parts *parts) error {
	settings := starter.Settings
	place := router.Locality{Region: settings.Region, DataCentre: settings.DataCentre}
	members := starter.gossiper
	starter.router = &router.Router{Locality: place}
	steward := &steward.Steward{
		Platform: parts.platform, Members: members, Caller: parts.calls, Tables: starter.syncer, Router: starter.router,
		Clock: clock{}, Boot: boot(settings.Peers), Log: starter.Log,
	}
	starter.steward = steward
	reporter := &reporter.Reporter{Self: members.Self(), Holders: steward, Caller: parts.calls, Leave: steward.Leave}
	starter.router.Observer = reporter
	prober := &prober.Prober{
		Members: members, Tables: starter.syncer, Router: starter.router, Steward: steward, Now: forwarder.Now,
	}
	parts.run(steward.Run)
	parts.run(reporter.Run)
	parts.run(prober.Run)
	return parts.serve("Ejection", steward.Service())
}

// bySharedEvidence is the reason of every ejection: the merged evidence of
// several VMs.
const bySharedEvidence = "shared-evidence"

// ejections describes the targets that this VM leaves out for the fleet.
func (starter *Starter) ejections() []describer.Ejection {
	var ejections []describer.Ejection
	for _, obeyed := range starter.steward.Obeyed() {
		ejections = append(ejections, describer.Ejection{
			Target: string(obeyed.Target), Reason: bySharedEvidence, By: obeyed.Holder, Until: time.Now().Add(obeyed.Left),
		})
	}
	return ejections
}

// boot names this boot of the VM and the address that the process listens on,
// or is empty where the system doesn't tell.
func boot(address string) string {
	id := lender.Boot()
	if id == "" {
		return ""
	}
	return id + " " + address
}

// clock tells the time of this process.
type clock struct{}

// Reading returns the instant on both clocks.
func (clock) Reading() timekeeper.Reading {
	return timekeeper.Reading{Mono: forwarder.Now(), Wall: time.Duration(time.Now().UnixNano())}
}

// Now returns the time that the router is asked with.
func (clock) Now() time.Duration { return forwarder.Now() }
