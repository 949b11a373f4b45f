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

// startEjection starts the components that route around faulty targets: router,
// reporter of evidence, steward of permits, and prober.
func (starter *Starter) startEjection(environment *environment) error {
	settings := starter.Settings
	locality := router.Locality{Region: settings.Region, DataCentre: settings.DataCentre}
	members := starter.gossiper
	starter.router = &router.Router{Locality: locality}
	steward := &steward.Steward{
		Platform: environment.platform, Members: members, Caller: environment.calls, Tables: starter.syncer, Router: starter.router,
		Clock: clock{}, Boot: bootIdentity(settings.Peers), Log: starter.Log,
	}
	starter.steward = steward
	reporter := &reporter.Reporter{Self: members.Self(), Holders: steward, Caller: environment.calls, ReportLeaving: steward.ReportLeaving}
	starter.router.Observer = reporter
	prober := &prober.Prober{
		Members: members, Tables: starter.syncer, Router: starter.router, Steward: steward, Now: forwarder.Now,
	}
	environment.run(steward.Run)
	environment.run(reporter.Run)
	environment.run(prober.Run)
	return environment.serve("Ejection", steward.Service())
}

// sharedEvidenceReason is the reason of every ejection: the merged evidence of at
// least two VMs.
const sharedEvidenceReason = "shared-evidence"

// ejections describes the targets that this VM excludes because of the fleet's
// ejections.
func (starter *Starter) ejections() []describer.Ejection {
	var ejections []describer.Ejection
	for _, active := range starter.steward.ActiveEjections() {
		ejections = append(ejections, describer.Ejection{
			Target: string(active.Target), Reason: sharedEvidenceReason, By: active.Holder, Until: time.Now().Add(active.Left),
		})
	}
	return ejections
}

// bootIdentity identifies this boot of the VM and the address that the process
// listens on. It is empty if the system provides no boot ID.
func bootIdentity(address string) string {
	id := lender.BootID()
	if id == "" {
		return ""
	}
	return id + " " + address
}

// clock reads the clocks of this process.
type clock struct{}

// Reading returns the current time on both clocks.
func (clock) Reading() timekeeper.Reading {
	return timekeeper.Reading{Mono: forwarder.Now(), Wall: time.Duration(time.Now().UnixNano())}
}

// Now returns the current time on the router's clock.
func (clock) Now() time.Duration { return forwarder.Now() }
