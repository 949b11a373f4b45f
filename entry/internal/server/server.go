// Package server answers callers: it checks the form of requests, admits them,
// counts them against their organisation's rate, and hands them to the
// forwarder.
//
// # Usage
//
//	server := &server.Server{Tables: syncer, Forwarder: forwarder}
//	server.HTTP().Serve(&server.Listener{Listener: listener})
package server

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"

	"godwitramp.example/core/admitter"
	"godwitramp.example/core/configurator"
	"godwitramp.example/entry/internal/forwarder"
	"godwitramp.example/entry/internal/redactor"
)

// Tables gives the configuration in force.
type Tables interface {
	// Table returns nil before the first configuration is known.
	Table() *configurator.Table
}

// Keys tells whether the VM can know of withdrawn keys.
type Keys interface {
	KeysKnown() bool
}

// Limits counts requests against the rate of their organisation.
type Limits interface {
	// Admit reports whether the request is inside the rate, and if not, when
	// the caller should come back. It may wait a moment for a token.
	Admit(ctx context.Context, organisation *configurator.Organisation) (inside bool, retryAfter time.Duration)
}

// Server answers callers.
type Server struct {
	VM        string
	Tables    Tables
	Keys      Keys
	Limits    Limits
	Forwarder *forwarder.Forwarder
	Log       *logrus.Entry
	// Leaving reports whether the VM is about to stop. Then each answer tells
	// the caller to close the connection. It may be nil.
	Leaving func() bool
	// Refused is called for each request that is not admitted, unless it is
	// nil. The job may lack what was not found.
	Refused func(job forwarder.Job, refusal forwarder.Refusal)
	// MaxBodyBytes bounds the body of a request; it has a default if zero.
	MaxBodyBytes int64
}

// VMHeader names the VM that served a request.
const VMHeader = "Godwitramp-Vm"

const defaultMaxBodyBytes = 1 << 30

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 32 << 10
)

// HTTP returns the server of callers' connections, with its limits set. It
// should serve a Listener.
func (server *Server) HTTP() *http.Server {
	return &http.Server{
		Handler: server.Handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, DisableGeneralOptionsHandler: true,
		ConnContext: withConn, ConnState: stateChanged,
	}
}

// Handler returns the handler of all requests of callers.
func (server *Server) Handler() http.Handler {
	router := echo.New()
	router.HideBanner = true
	serve := func(context echo.Context) error {
		server.serve(context.Response(), context.Request())
		return nil
	}
	router.Any("/*", serve)
	// Requests that echo finds no route for are refused as all others are.
	router.HTTPErrorHandler = func(_ error, context echo.Context) { _ = serve(context) }
	return router
}

func (server *Server) serve(writer http.ResponseWriter, request *http.Request) {
	handling(request.Context())
	id := rand.Text()
	writer.Header().Set(VMHeader, server.VM)
	writer.Header().Set(forwarder.RequestIDHeader, id)
	if server.Leaving != nil && server.Leaving() {
		writer.Header().Set("Connection", "close")
	}
	job, refusal := server.admit(request, id)
	if refusal != nil {
		if request.ContentLength != 0 {
			forwarder.CloseAfterAnswer(writer)
		}
		refusal.RequestID = id
		refusal.Write(writer)
		if server.Refused != nil {
			server.Refused(job, *refusal)
		}
		return
	}
	if request.Body != nil && request.ContentLength != 0 {
		request.Body = http.MaxBytesReader(writer, request.Body, server.maxBodyBytes())
	}
	server.Forwarder.Forward(writer, request, job)
}

func (server *Server) maxBodyBytes() int64 {
	if server.MaxBodyBytes == 0 {
		return defaultMaxBodyBytes
	}
	return server.MaxBodyBytes
}

// admit decides whether the request may run and for whom.
func (server *Server) admit(request *http.Request, id string) (forwarder.Job, *forwarder.Refusal) {
	if refusal := server.checkForm(request); refusal != nil {
		return forwarder.Job{}, refusal
	}
	key, refusal := findKey(request)
	if refusal != nil {
		return forwarder.Job{}, refusal
	}
	table := server.Tables.Table()
	if table == nil {
		return forwarder.Job{}, refuse(http.StatusServiceUnavailable, "starting", "this VM has no configuration yet", time.Second)
	}
	ask := admitter.Request{Path: request.URL.Path, Key: key, KeysKnown: server.Keys.KeysKnown()}
	admission, reason := admitter.Admit(table, ask)
	job := forwarder.Job{
		Service: admission.Service, Route: admission.Route, Organisation: admission.Organisation, RequestID: id, Key: key,
	}
	if reason != admitter.Admitted {
		return job, refusalFor(reason)
	}
	if admission.Organisation == nil {
		return job, nil
	}
	job.Recheck = server.recheck(ask, table, admission.Organisation.Path)
	inside, retryAfter := server.Limits.Admit(request.Context(), admission.Organisation)
	if !inside {
		return job, refuse(http.StatusTooManyRequests, string(admitter.OverRate), "the organisation is over its rate", retryAfter)
	}
	return job, nil
}

// recheck returns a function that reports whether the request would still be
// admitted for the same organisation.
func (server *Server) recheck(ask admitter.Request, seen *configurator.Table, organisation configurator.Path) func() bool {
	return func() bool {
		table := server.Tables.Table()
		known := server.Keys.KeysKnown()
		if table == seen && known == ask.KeysKnown {
			return true
		}
		again := ask
		again.KeysKnown = known
		admission, reason := admitter.Admit(table, again)
		return reason == admitter.Admitted && admission.Organisation != nil && admission.Organisation.Path == organisation
	}
}

func findKey(request *http.Request) (string, *forwarder.Refusal) {
	key, err := redactor.Key(request)
	switch err {
	case nil:
	case redactor.ErrKeysDiffer:
		return "", refuse(http.StatusBadRequest, "keys-differ", err.Error(), 0)
	case redactor.ErrMalformedQuery:
		return "", refuse(http.StatusBadRequest, "query-malformed", err.Error(), 0)
	default:
		return "", refuse(http.StatusUnauthorized, string(admitter.KeyUnknown), err.Error(), 0)
	}
	if redactor.Contains(request.URL.Path, key) || redactor.Contains(request.Host, key) {
		return "", refuse(http.StatusBadRequest, "key-in-path", "the path or the host holds the key", 0)
	}
	return key, nil
}

func refuse(status int, reason, message string, retryAfter time.Duration) *forwarder.Refusal {
	return &forwarder.Refusal{
		Status: status, Outcome: forwarder.NotRun, Reason: reason, Message: message, RetryAfter: retryAfter,
	}
}

func refusalFor(reason admitter.Reason) *forwarder.Refusal {
	switch reason {
	case admitter.NoRoute:
		return refuse(http.StatusNotFound, string(reason), "no route has this path", 0)
	case admitter.KeyMissing:
		return refuse(http.StatusUnauthorized, string(reason), "the route needs a key", 0)
	case admitter.KeyUnknown:
		return refuse(http.StatusUnauthorized, string(reason), "the key is unknown or withdrawn", 0)
	case admitter.RouteForbidden:
		return refuse(http.StatusForbidden, string(reason), "the organisation may not use this route", 0)
	default:
		return refuse(http.StatusServiceUnavailable, string(reason),
			"this VM can't tell whether its configuration is current", time.Second)
	}
}
