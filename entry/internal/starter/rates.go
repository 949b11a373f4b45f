package starter

import (
	"godwitramp.example/entry/internal/lender"
)

// startRates runs what makes rates count over the whole fleet.
func (starter *Starter) startRates(parts *parts) error {
	starter.lender = &lender.Lender{
		Members: starter.gossiper, Caller: parts.calls, Platform: parts.platform, Tables: starter.syncer,
		BootID: lender.BootID(), Log: starter.Log,
	}
	parts.run(starter.lender.Run)
	return parts.serve(lender.ServiceName, starter.lender.Service())
}
