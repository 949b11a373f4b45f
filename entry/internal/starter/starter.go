// Package starter assembles the components of the entry program and runs them
// until a planned stop is complete.
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
	// givenUp is the end of requests that outlast a planned stop, and giveUp brings it about.
	givenUp  context.Context
	giveUp   context.CancelFunc
	observer *observer.Observer
}

// Run serves until the context ends, then makes a planned stop: it reports that
// it is leaving, accepts requests for another Settings.StopGrace so that the
// balancer can move traffic away, finishes the requests in flight and returns.
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
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	starter.givenUp, starter.giveUp = context.WithCancel(workCtx)
	defer starter.giveUp()
	var group sync.WaitGroup
	defer group.Wait()
	defer stopWork()
	calls := &caller.Caller{TLS: tls}
	defer calls.Close()
	environment := &environment{
		ctx: workCtx, group: &group, calls: calls, services: rpc.NewServer(), platform: &connector.Client{Base: settings.Platform},
	}
	if err := starter.assemble(environment); err != nil {
		return err
	}
	peers := &caller.Server{Listener: listeners.peers, TLS: tls, RPC: environment.services}
	group.Go(func() { _ = peers.Run(workCtx) })

	sender := &exchanger.Exchanger{}
	group.Go(func() { _ = sender.Run(workCtx) })
	callers := starter.callers(sender)
	operators := &http.Server{Handler: starter.operators(), ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, 2)
	listener := &server.Listener{Listener: listeners.callers}
	group.Go(func() { failed <- callers.Serve(listener) })
	group.Go(func() { failed <- operators.Serve(listeners.operators) })
	starter.Log.WithField("callers", settings.Callers).Info("serving")
	select {
	case err := <-failed:
		_ = callers.Close()
		_ = operators.Close()
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	err = starter.stop(workCtx, callers, listener)
	_ = operators.Close()
	return err
}

func (starter *Starter) stop(workCtx context.Context, callers *http.Server, listener *server.Listener) error {
	starter.leaving.Store(true)
	starter.Log.Info("leaving")
	stopCtx, cancel := context.WithTimeout(workCtx, starter.Settings.StopLimit)
	defer cancel()
	starter.lender.Leave()
	defer starter.lender.Release(workCtx)
	select {
	case <-stopCtx.Done():
	case <-time.After(starter.Settings.StopGrace):
	}
	giveUp := time.AfterFunc(max(0, starter.Settings.StopLimit-starter.Settings.StopGrace-answerReserve), starter.giveUp)
	defer giveUp.Stop()
	unfinished := callers.Shutdown(stopCtx)
	if connections := listener.Drain(stopCtx); connections > 0 {
		starter.Log.WithField("connections", connections).Warn("answers-not-delivered")
	}
	starter.handOverCounters(workCtx)
	starter.leaveFleet(workCtx)
	if unfinished != nil {
		return fmt.Errorf("finish requests: %w", unfinished)
	}
	starter.Log.Info("stopped")
	return nil
}

// answerReserve is the time before the end of a planned stop in which requests that are not finished
// are answered.
const answerReserve = 250 * time.Millisecond

// leaveTimeout limits how long a stopping VM waits for the store and its peers.
const leaveTimeout = 5 * time.Second

// leaveFleet deregisters the VM and notifies its peers that it stops, also if
// requests were left unfinished.
func (starter *Starter) leaveFleet(workCtx context.Context) {
	timeoutCtx, cancel := context.WithTimeout(workCtx, leaveTimeout)
	defer cancel()
	if err := starter.syncer.Deregister(timeoutCtx); err != nil {
		starter.Log.WithError(err).Warn("deregistration-failed")
	}
	starter.gossiper.Leave(timeoutCtx)
}

func (starter *Starter) callers(sender *exchanger.Exchanger) *http.Server {
	server := &server.Server{
		VM:     starter.Settings.Name,
		Tables: starter.syncer, Keys: starter.syncer, Limits: starter.lender,
		Forwarder: &forwarder.Forwarder{
			Picker:    starter.router,
			Exchanger: sender,
			Report:    starter.recordForwarded,
			GivenUp:   starter.givenUp,
			Log:       starter.Log,
		},
		Log: starter.Log, Leaving: starter.leaving.Load, ReportRefusal: starter.recordRefused,
	}
	return server.HTTP()
}
