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

// environment is shared by the components of a VM.
type environment struct {
	// ctx ends after the planned stop, when the components have to end.
	ctx      context.Context
	group    *sync.WaitGroup
	platform connector.Platform
	calls    *caller.Caller
	services *rpc.Server
}

// run runs a component until the VM has stopped.
func (environment *environment) run(component func(context.Context) error) {
	environment.group.Go(func() { _ = component(environment.ctx) })
}

// serve registers a service that other VMs and operators call.
func (environment *environment) serve(name string, service any) error {
	if err := environment.services.RegisterName(name, service); err != nil {
		return fmt.Errorf("register service %s: %w", name, err)
	}
	return nil
}

// startFunc starts one component of the VM.
type startFunc func(*environment) error

// assemble starts the components in the order of their dependencies.
func (starter *Starter) assemble(environment *environment) error {
	starts := []startFunc{
		starter.startMembership, starter.startConfiguration, starter.startBurnCounters, starter.startRates, starter.startEjection,
	}
	for _, start := range starts {
		if err := start(environment); err != nil {
			return err
		}
	}
	return environment.serve("Describer", &describer.Describer{Source: starter.status})
}
