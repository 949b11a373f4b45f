// Package starter puts the parts of the entry program together and runs them
// until a planned stop has ended.
//
// # Usage
//
//	starter := &starter.Starter{Settings: settings, Log: log}
//	err := starter.Run(ctx) // ctx ends when the planned stop begins
package starter

import (
	"context"
	"fmt"
	"net/http"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/router"
	"godwitramp.example/entry/internal/forwarder"
	"godwitramp.example/entry/internal/gossiper"
	"godwitramp.example/entry/internal/lender"
	"godwitramp.example/entry/internal/loader"
	"godwitramp.example/entry/internal/observer"
	"godwitramp.example/entry/internal/persister"
	"godwitramp.example/entry/internal/server"
	"godwitramp.example/entry/internal/steward"
	"godwitramp.example/entry/internal/syncer"
	"godwitramp.example/shell/caller"
	"godwitramp.example/shell/certifier"
	"godwitramp.example/shell/connector"
	"godwitramp.example/shell/exchanger"
)

const readHeaderTimeout = 5 * time.Second

// Starter runs one VM.
type Starter struct {
	Settings loader.Settings
	// Version is the release of the program.
	Version string
	Log     *logrus.Entry

	leaving  atomic.Bool
	syncer   *syncer.Syncer
	gossiper *gossiper.Gossiper
	router   *router.Router
	lender   *lender.Lender
	steward  *steward.Steward
	// persister keeps the counters of the burn report.
	persister *persister.Persister
	observer  *observer.Observer
}

// Run serves until the context ends, then stops as planned: it says that it
// leaves, goes on accepting until the balancer has moved on, finishes its
// requests and returns.
func (starter *Starter) Run(ctx context.Context) error {
	settings := starter.Settings
	tls, err := certifier.Load(certifier.Files{
		Authority: settings.Authority, Certificate: settings.Certificate, Key: settings.Key,
	})
	if err != nil {
		return fmt.Errorf("load certificates: %w", err)
	}
	var listeners listeners
	if err := listeners.open(settings); err != nil {
		return err
	}
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	var group sync.WaitGroup
	defer group.Wait()
	defer stopWork()
	calls := &caller.Caller{TLS: tls}
	defer calls.Close()
	parts := &parts{
		ctx: work, group: &group, calls: calls, services: rpc.NewServer(), platform: &connector.Client{Base: settings.Platform},
	}
	if err := starter.assemble(parts); err != nil {
		return err
	}
	peers := &caller.Server{Listener: listeners.peers, TLS: tls, RPC: parts.services}
	group.Go(func() { _ = peers.Run(work) })

	sender := &exchanger.Exchanger{}
	group.Go(func() { _ = sender.Run(work) })
	callers := starter.callers(sender)
	operators := &http.Server{Handler: starter.operators(), ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, 2)
	group.Go(func() { failed <- callers.Serve(&server.Listener{Listener: listeners.callers}) })
	group.Go(func() { failed <- operators.Serve(listeners.operators) })
	starter.Log.WithField("callers", settings.Callers).Info("serving")
	select {
	case err := <-failed:
		_ = callers.Close()
		_ = operators.Close()
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	err = starter.stop(work, callers)
	_ = operators.Close()
	return err
}

func (starter *Starter) stop(work context.Context, callers *http.Server) error {
	starter.leaving.Store(true)
	starter.Log.Info("leaving")
	limit, cancel := context.WithTimeout(work, starter.Settings.StopLimit)
	defer cancel()
	starter.lender.Leave()
	defer starter.lender.Release(work)
	select {
	case <-limit.Done():
	case <-time.After(starter.Settings.StopGrace):
	}
	unfinished := callers.Shutdown(limit)
	starter.handOverCounters(work)
	starter.takeLeave(work)
	if unfinished != nil {
		return fmt.Errorf("finish requests: %w", unfinished)
	}
	starter.Log.Info("stopped")
	return nil
}

// leaveLimit bounds how long a VM that stops waits for the store and its peers.
const leaveLimit = 5 * time.Second

// takeLeave tells the store and the peers that this VM ends, also when requests
// were left unfinished.
func (starter *Starter) takeLeave(work context.Context) {
	limit, cancel := context.WithTimeout(work, leaveLimit)
	defer cancel()
	if err := starter.syncer.Deregister(limit); err != nil {
		starter.Log.WithError(err).Warn("deregistration-failed")
	}
	starter.gossiper.Leave(limit)
}

func (starter *Starter) callers(sender *exchanger.Exchanger) *http.Server {
	server := &server.Server{
		VM:     starter.Settings.Name,
		Tables: starter.syncer, Keys: starter.syncer, Limits: starter.lender,
		Forwarder: &forwarder.Forwarder{
			Picker:    starter.router,
			Exchanger: sender,
			Report:    starter.forwarded,
		},
		Log: starter.Log, Leaving: starter.leaving.Load, Refused: starter.refused,
	}
	return server.HTTP()
}
