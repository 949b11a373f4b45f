package starter

import (
	"context"
	"fmt"
	"net/rpc"
	"sync"

	"godwitramp.example/shell/caller"
	"godwitramp.example/shell/connector"
	"godwitramp.example/shell/describer"
)

// parts is what the parts of a VM share.
type parts struct {
	// ctx ends when the VM has stopped.
	ctx      context.Context
	group    *sync.WaitGroup
	platform connector.Platform
	calls    *caller.Caller
	services *rpc.Server
}

// run runs a part until the VM has stopped.
func (parts *parts) run(part func(context.Context) error) {
	parts.group.Go(func() { _ = part(parts.ctx) })
}

// serve lets other VMs and operators call a service.
func (parts *parts) serve(name string, service any) error {
	if err := parts.services.RegisterName(name, service); err != nil {
		return fmt.Errorf("register service %s: %w", name, err)
	}
	return nil
}

// start runs one part of the VM.
type start func(*parts) error

// assemble starts the parts in the order in which they need each other.
func (starter *Starter) assemble(parts *parts) error {
	starts := []start{
		starter.startMembership, starter.startConfiguration, starter.startBurn, starter.startRates, starter.startEjection,
	}
	for _, start := range starts {
		if err := start(parts); err != nil {
			return err
		}
	}
	return parts.serve("Describer", &describer.Describer{Source: starter.status})
}
