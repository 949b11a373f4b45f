package starter

import (
	"context"
	"fmt"
	"net/rpc"
	"sync"

	"godwitramp.example/entry/internal/lender"
	"godwitramp.example/shell/caller"
	"godwitramp.example/shell/connector"
)

// lend runs what makes rates count over the whole fleet.
func (starter *Starter) lend(
	ctx context.Context, group *sync.WaitGroup, platform connector.Platform, calls *caller.Caller, services *rpc.Server,
) error {
	starter.lender = &lender.Lender{
		Members: starter.gossiper, Caller: calls, Platform: platform, Tables: starter.syncer,
		Boot: lender.Boot(), Log: starter.Log,
	}
	if err := services.RegisterName(lender.ServiceName, starter.lender.Service()); err != nil {
		return fmt.Errorf("register lender: %w", err)
	}
	group.Go(func() { _ = starter.lender.Run(ctx) })
	return nil
}
