// Package server accepts callers' connections and requests. It validates requests,
// admits them, counts them against their organisation's rate limit and passes them to
// the forwarder.
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

// Tables provides the configuration in force.
type Tables interface {
	// Table returns nil before the first configuration is loaded.
	Table() *configurator.Table
}

// Keys reports whether the VM's knowledge of withdrawn keys is recent enough.
type Keys interface {
	// KeysKnown returns false if the configuration may be too old to trust its keys.
	KeysKnown() bool
}

// Limits enforces the rate limits of organisations.
type Limits interface {
	// Admit reports whether the request is within the rate limit, and if not, after
	// what time the caller may retry. It may wait briefly for a token.
	Admit(ctx context.Context, organisation *configurator.Organisation) (allowed bool, retryAfter time.Duration)
}

// Server serves callers' requests.
type Server struct {
	VM        string
	Tables    Tables
	Keys      Keys
	Limits    Limits
	Forwarder *forwarder.Forwarder
	Log       *logrus.Entry
	// Leaving reports whether the VM is about to stop. While it is, each answer has
	// the header Connection: close. It may be nil.
	Leaving func() bool
	// ReportRefusal is called for each request that isn't admitted, unless it is nil.
	// The job's service, route and organisation are nil if they weren't found.
	ReportRefusal func(job forwarder.Job, refusal forwarder.Refusal)
	// MaxBodyBytes limits the body of a request. Zero means 1 GiB.
	MaxBodyBytes int64
}

// VMHeader is the header of answers that names the VM.
const VMHeader = "Godwitramp-Vm"

const defaultMaxBodyBytes = 1 << 30

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 32 << 10
)

// HTTP returns the HTTP server for callers, with timeouts and limits. It should serve a
// Listener, which adds the outcome to the answers that net/http makes itself.
func (server *Server) HTTP() *http.Server {
	return &http.Server{
		Handler: server.Handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, DisableGeneralOptionsHandler: true,
		ConnContext: withConn, ConnState: clearInHandlerWhenIdle,
	}
}

// Handler returns the handler of all callers' requests.
func (server *Server) Handler() http.Handler {
	router := echo.New()
	router.HideBanner = true
	serve := func(context echo.Context) error {
		server.serve(context.Response(), context.Request())
		if !context.Response().Committed {
			panic(http.ErrAbortHandler) // net/http would answer 200
		}
		return nil
	}
	router.Any("/*", serve)
	// Requests without a route in echo get the same refusals as all others.
	router.HTTPErrorHandler = func(_ error, context echo.Context) { _ = serve(context) }
	return router
}

func (server *Server) serve(writer http.ResponseWriter, request *http.Request) {
	markInHandler(request.Context())
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
		if server.ReportRefusal != nil {
			server.ReportRefusal(job, *refusal)
		}
		return
	}
	if request.Body != nil && request.ContentLength != 0 {
		request.Body = http.MaxBytesReader(writer, request.Body, server.maxBodyBytes())
	}
	server.forward(writer, request, job)
}

// forward passes a request on. If it panics, the connection is closed in the middle of the answer, which a caller of
// HTTP/1.0 can tell from the end of an answer without a length only by a reset.
func (server *Server) forward(writer http.ResponseWriter, request *http.Request, job forwarder.Job) {
	ended := false
	defer func() {
		if !ended && !request.ProtoAtLeast(1, 1) {
			resetOnClose(request.Context())
		}
	}()
	server.Forwarder.Forward(writer, request, job)
	ended = true
}

func (server *Server) maxBodyBytes() int64 {
	if server.MaxBodyBytes == 0 {
		return defaultMaxBodyBytes
	}
	return server.MaxBodyBytes
}

// admit returns the job of an admitted request, or the refusal of any other.
func (server *Server) admit(request *http.Request, id string) (forwarder.Job, *forwarder.Refusal) {
	if refusal := server.validateRequest(request); refusal != nil {
		return forwarder.Job{}, refusal
	}
	key, refusal := findKey(request)
	if refusal != nil {
		return forwarder.Job{}, refusal
	}
	table := server.Tables.Table()
	if table == nil {
		return forwarder.Job{}, newRefusal(http.StatusServiceUnavailable, "starting", "this VM has no configuration yet", time.Second)
	}
	admissionRequest := admitter.Request{Path: request.URL.Path, Key: key, KeysKnown: server.Keys.KeysKnown()}
	admission, reason := admitter.Admit(table, admissionRequest)
	job := forwarder.Job{
		Service: admission.Service, Route: admission.Route, Organisation: admission.Organisation, RequestID: id, Key: key,
	}
	if reason != admitter.Admitted {
		return job, refusalFor(reason)
	}
	if admission.Organisation == nil {
		return job, nil
	}
	job.Recheck = server.recheck(admissionRequest, table, admission.Organisation.Path)
	allowed, retryAfter := server.Limits.Admit(request.Context(), admission.Organisation)
	if !allowed {
		return job, newRefusal(http.StatusTooManyRequests, string(admitter.OverRate), "the organisation is over its rate", retryAfter)
	}
	return job, nil
}

// recheck returns a function that reports whether the request would still be
// admitted for the same organisation under the current configuration.
func (server *Server) recheck(admissionRequest admitter.Request, admittedTable *configurator.Table, organisation configurator.Path) func() bool {
	return func() bool {
		table := server.Tables.Table()
		keysKnown := server.Keys.KeysKnown()
		if table == admittedTable && keysKnown == admissionRequest.KeysKnown {
			return true
		}
		current := admissionRequest
		current.KeysKnown = keysKnown
		admission, reason := admitter.Admit(table, current)
		return reason == admitter.Admitted && admission.Organisation != nil && admission.Organisation.Path == organisation
	}
}

func findKey(request *http.Request) (string, *forwarder.Refusal) {
	key, err := redactor.FindKey(request)
	switch err {
	case nil:
	case redactor.ErrKeysDiffer:
		return "", newRefusal(http.StatusBadRequest, "keys-differ", err.Error(), 0)
	case redactor.ErrMalformedQuery:
		return "", newRefusal(http.StatusBadRequest, "query-malformed", err.Error(), 0)
	default:
		return "", newRefusal(http.StatusUnauthorized, string(admitter.KeyUnknown), err.Error(), 0)
	}
	if redactor.Contains(request.URL.Path, key) || redactor.Contains(request.Host, key) {
		return "", newRefusal(http.StatusBadRequest, "key-in-path", "the path or the host holds the key", 0)
	}
	return key, nil
}

func newRefusal(status int, reason, message string, retryAfter time.Duration) *forwarder.Refusal {
	return &forwarder.Refusal{
		Status: status, Outcome: forwarder.NotRun, Reason: reason, Message: message, RetryAfter: retryAfter,
	}
}

func refusalFor(reason admitter.Reason) *forwarder.Refusal {
	switch reason {
	case admitter.NoRoute:
		return newRefusal(http.StatusNotFound, string(reason), "no route has this path", 0)
	case admitter.KeyMissing:
		return newRefusal(http.StatusUnauthorized, string(reason), "the route needs a key", 0)
	case admitter.KeyUnknown:
		return newRefusal(http.StatusUnauthorized, string(reason), "the key is unknown or withdrawn", 0)
	case admitter.RouteForbidden:
		return newRefusal(http.StatusForbidden, string(reason), "the organisation may not use this route", 0)
	default:
		return newRefusal(http.StatusServiceUnavailable, string(reason),
			"this VM can't tell whether its configuration is current", time.Second)
	}
}
