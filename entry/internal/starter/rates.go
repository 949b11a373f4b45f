package starter

import (
	"godwitramp.example/entry/internal/lender"
)

// startRates starts the lender, which enforces rates across the whole fleet.
func (starter *Starter) startRates(environment *environment) error {
	starter.lender = &lender.Lender{
		Members: starter.gossiper, Caller: environment.calls, Platform: environment.platform, Tables: starter.syncer,
		BootID: lender.BootID(), Log: starter.Log,
	}
	environment.run(starter.lender.Run)
	return environment.serve(lender.ServiceName, starter.lender.Service())
}
