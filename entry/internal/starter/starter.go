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
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"godwitramp.example/core/router"
	"godwitramp.example/entry/internal/exchanger"
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
	"godwitramp.example/shell/describer"
	"godwitramp.example/shell/recorder"
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

// listeners are the sockets of a VM.
type listeners struct {
	callers, peers, operators net.Listener
}

func (listeners *listeners) open(settings loader.Settings) error {
	for _, wanted := range []struct {
		listener *net.Listener
		name     string
		address  string
	}{
		{&listeners.callers, "callers", settings.Callers},
		{&listeners.peers, "peers", settings.Peers},
		{&listeners.operators, "operators", settings.Operators},
	} {
		opened, err := net.Listen("tcp", wanted.address)
		if err != nil {
			return fmt.Errorf("listen for %s: %w", wanted.name, err)
		}
		*wanted.listener = opened
	}
	return nil
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

	platform := &connector.Client{Base: settings.Platform}
	calls := &caller.Caller{TLS: tls}
	defer calls.Close()
	services := rpc.NewServer()
	starter.gossiper = starter.membership(calls, platform)
	if err := services.RegisterName("Members", starter.gossiper.Service()); err != nil {
		return fmt.Errorf("register membership: %w", err)
	}
	group.Go(func() { _ = starter.gossiper.Run(work) })
	starter.syncer = &syncer.Syncer{
		Recorder: starter.recorder(platform), Members: starter.gossiper, Calls: calls, Log: starter.Log,
	}
	if err := starter.syncer.Register(services); err != nil {
		return fmt.Errorf("register configuration service: %w", err)
	}
	group.Go(func() { _ = starter.syncer.Run(work) })
	if err := services.Register(&describer.Describer{Source: starter.status}); err != nil {
		return fmt.Errorf("register status: %w", err)
	}
	if err := starter.startBurn(work, &group, platform, calls, services); err != nil {
		return err
	}
	if err := starter.lend(work, &group, platform, calls, services); err != nil {
		return err
	}
	if err := starter.eject(work, &group, platform, services, calls); err != nil {
		return err
	}
	peers := &caller.Server{Listener: listeners.peers, TLS: tls, RPC: services}
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
	defer starter.lender.GiveBack(work)
	select {
	case <-limit.Done():
	case <-time.After(starter.Settings.StopGrace):
	}
	unfinished := callers.Shutdown(limit)
	starter.handOverCounters(work)
	if unfinished != nil {
		return fmt.Errorf("finish requests: %w", unfinished)
	}
	if err := starter.syncer.Leave(limit); err != nil {
		starter.Log.WithError(err).Warn("deregistration-failed")
	}
	starter.gossiper.Leave(limit)
	starter.Log.Info("stopped")
	return nil
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

func (starter *Starter) ready() bool {
	return !starter.leaving.Load() && starter.syncer.Table() != nil
}

// status tells operators what the VM knows.
func (starter *Starter) status() describer.Status {
	return describer.Status{
		Name: starter.Settings.Name, Region: starter.Settings.Region, DataCentre: starter.Settings.DataCentre,
		Version: starter.Version, Revision: starter.syncer.Revision(), Ready: starter.ready(),
		Leaving: starter.leaving.Load(), KeysKnown: starter.syncer.KeysKnown(),
		Incarnation: starter.gossiper.Self().Incarnation, Ejections: starter.ejections(),
	}
}

func (starter *Starter) recorder(platform connector.Platform) *recorder.Recorder {
	return &recorder.Recorder{Platform: platform, OnDamage: func(revision uint64, cause error) {
		starter.Log.WithError(cause).WithField("revision", revision).Error("snapshot-damaged")
	}}
}

// operators answers health checks and metrics.
func (starter *Starter) operators() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(writer, "live")
	})
	mux.HandleFunc("GET /ready", func(writer http.ResponseWriter, _ *http.Request) {
		if !starter.ready() {
			http.Error(writer, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprintf(writer, "ready revision=%d\n", starter.syncer.Revision())
	})
	mux.HandleFunc("GET /metrics", func(writer http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(writer, true)
	})
	return mux
}
