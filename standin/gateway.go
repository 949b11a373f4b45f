package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"godwitramp.example/core/placer"
	"godwitramp.example/platform"
	"godwitramp.example/platform/faker"
	"godwitramp.example/standin/internal/registrant"
	"godwitramp.example/standin/internal/storekeeper"
	"godwitramp.example/standin/internal/visitor"
)

type storeCommand struct {
	Listen string `long:"listen" required:"yes" description:"address to listen on"`
}

// Execute serves the simulated store with the configuration of the sample fleet.
func (command *storeCommand) Execute([]string) error {
	store := &faker.Store{}
	store.Put(platform.ConfigurationTable, "", platform.ConfigurationKey, faker.EncodeConfiguration(visitor.Sample()))
	return serve(command.Listen, storekeeper.Handler(store))
}

type targetCommand struct {
	Listen      string        `long:"listen" required:"yes" description:"address to listen on"`
	Store       string        `long:"store" required:"yes" description:"address of the store"`
	ID          string        `long:"id" required:"yes" description:"ID of the target"`
	Service     string        `long:"service" required:"yes" description:"service of the target"`
	DataCentre  string        `long:"data-centre" required:"yes" description:"where the target stands"`
	Slots       int           `long:"slots" default:"4" description:"requests that run at a time"`
	ServiceTime time.Duration `long:"work" default:"5ms" description:"duration of a request"`
	Linger      time.Duration `long:"linger" default:"2s" description:"how long the target serves after it said that it leaves"`
}

// Execute serves the simulated target.
func (command *targetCommand) Execute([]string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	listener, err := net.Listen("tcp", command.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	registrant := &registrant.Registrant{
		Listener: listener, Store: storekeeper.Client{Address: command.Store}, ServiceTime: command.ServiceTime, Linger: command.Linger,
		Target: placer.Target{
			ID: command.ID, Service: command.Service, DataCentre: command.DataCentre, Slots: command.Slots,
		},
	}
	return registrant.Run(ctx)
}

type visitCommand struct {
	Balancer string   `long:"balancer" required:"yes" description:"address of the balancer"`
	Targets  []string `long:"target" description:"address of a target that books"`
}

// Execute sends the requests and checks the answers.
func (command *visitCommand) Execute([]string) error {
	visitor := &visitor.Visitor{Balancer: command.Balancer, Targets: command.Targets, Out: os.Stdout}
	return visitor.Run(context.Background())
}
