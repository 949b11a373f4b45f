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

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/limiter"
	"godwitramp.example/core/router"
	"godwitramp.example/core/watcher"
	"godwitramp.example/entry/internal/forwarder"
	"godwitramp.example/entry/internal/lender"
	"godwitramp.example/entry/internal/loader"
	"godwitramp.example/entry/internal/server"
	"godwitramp.example/entry/internal/syncer"
	"godwitramp.example/shell/caller"
	"godwitramp.example/shell/certifier"
	"godwitramp.example/shell/connector"
	"godwitramp.example/shell/recorder"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 32 << 10
)

// Starter runs one VM.
type Starter struct {
	Settings loader.Settings
	Log      *logrus.Entry

	leaving atomic.Bool
	syncer  *syncer.Syncer
	// members, once set, makes rates count over the whole fleet.
	members watcher.Members
	lender  *lender.Lender
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
	starter.syncer = &syncer.Syncer{Recorder: &recorder.Recorder{Platform: platform}, Log: starter.Log}
	group.Go(func() { _ = starter.syncer.Run(work) })
	services := rpc.NewServer()
	if starter.members != nil {
		calls := &caller.Caller{TLS: tls}
		defer calls.Close()
		starter.lender = &lender.Lender{
			Members: starter.members, Caller: calls, Platform: platform, Tables: starter.syncer,
			Boot: lender.Boot(), Log: starter.Log,
		}
		if err := services.RegisterName(lender.ServiceName, starter.lender.Service()); err != nil {
			return fmt.Errorf("register lender: %w", err)
		}
		group.Go(func() { _ = starter.lender.Run(work) })
	}
	peers := &caller.Server{Listener: listeners.peers, TLS: tls, RPC: services}
	group.Go(func() { _ = peers.Run(work) })

	callers := starter.callers()
	operators := &http.Server{Handler: starter.operators(), ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, 2)
	group.Go(func() { failed <- callers.Serve(listeners.callers) })
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
	if starter.lender != nil {
		starter.lender.Leave()
		defer starter.lender.GiveBack(work)
	}
	select {
	case <-limit.Done():
	case <-time.After(starter.Settings.StopGrace):
	}
	if err := callers.Shutdown(limit); err != nil {
		return fmt.Errorf("finish requests: %w", err)
	}
	starter.Log.Info("stopped")
	return nil
}

func (starter *Starter) callers() *http.Server {
	server := &server.Server{
		VM:     starter.Settings.Name,
		Tables: starter.syncer, Keys: alwaysKnown{}, Limits: starter.limits(),
		Forwarder: &forwarder.Forwarder{
			Router:    router.New(router.Place{Region: starter.Settings.Region, DataCentre: starter.Settings.DataCentre}),
			Transport: &http.Transport{DisableCompression: true},
		},
		Log: starter.Log,
	}
	return &http.Server{
		Handler: server.Handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// limits counts over the whole fleet once its members are known.
func (starter *Starter) limits() server.Limits {
	if starter.lender != nil {
		return starter.lender
	}
	return &localLimits{buckets: make(map[configurator.Path]*limiter.Bucket)}
}

// operators answers health checks and metrics.
func (starter *Starter) operators() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(writer, "live")
	})
	mux.HandleFunc("GET /ready", func(writer http.ResponseWriter, _ *http.Request) {
		if starter.leaving.Load() || starter.syncer.Table() == nil {
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

// alwaysKnown trusts every key that the configuration has.
type alwaysKnown struct{}

// KeysKnown returns true.
func (alwaysKnown) KeysKnown() bool { return true }

// localLimits counts the requests of this VM alone.
type localLimits struct {
	mutex   sync.Mutex
	buckets map[configurator.Path]*limiter.Bucket
}

// Admit takes a token of the organisation's bucket.
func (limits *localLimits) Admit(_ context.Context, organisation *configurator.Organisation) (bool, time.Duration) {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	now := time.Duration(time.Now().UnixNano())
	bucket := limits.buckets[organisation.Path]
	if bucket == nil {
		bucket = &limiter.Bucket{Rate: organisation.Rate, Burst: organisation.Burst}
		limits.buckets[organisation.Path] = bucket
		bucket.Fill(now - time.Second)
	}
	return bucket.Take(now, 1), bucket.Wait(now, 1)
}
