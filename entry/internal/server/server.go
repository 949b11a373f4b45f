// Package server answers callers: it admits requests, counts them against
// their organisation's rate, and hands them to the forwarder.
//
// # Usage
//
//	server := &server.Server{Tables: syncer, Forwarder: forwarder}
//	http.Serve(listener, server.Handler())
package server

import (
	"context"
	"crypto/rand"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"

	"godwitramp.example/core/admitter"
	"godwitramp.example/core/configurator"
	"godwitramp.example/entry/internal/forwarder"
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
}

// VMHeader names the VM that served a request.
const VMHeader = "Godwitramp-Vm"

// Handler returns the handler of all requests of callers.
func (server *Server) Handler() http.Handler {
	router := echo.New()
	router.HideBanner = true
	router.Any("/*", server.serve)
	return router
}

func (server *Server) serve(context echo.Context) error {
	request, writer := context.Request(), context.Response()
	id := rand.Text()
	writer.Header().Set(VMHeader, server.VM)
	writer.Header().Set(forwarder.RequestIDHeader, id)
	job, refusal := server.admit(request, id)
	if refusal != nil {
		refusal.RequestID = id
		refusal.Write(writer)
		return nil
	}
	server.Forwarder.Forward(writer, request, job)
	return nil
}

func (server *Server) admit(request *http.Request, id string) (forwarder.Job, *forwarder.Refusal) {
	if !cleanPath(request.URL.Path) {
		return forwarder.Job{}, refuse(http.StatusBadRequest, "path-not-clean", "the path has an empty, . or .. part", 0)
	}
	table := server.Tables.Table()
	if table == nil {
		return forwarder.Job{}, refuse(http.StatusServiceUnavailable, "starting", "this VM has no configuration yet", time.Second)
	}
	ask := admitter.Request{Path: request.URL.Path, Key: forwarder.Key(request), KeysKnown: server.Keys.KeysKnown()}
	admission, reason := admitter.Admit(table, ask)
	if reason != admitter.Admitted {
		return forwarder.Job{}, refusalFor(reason)
	}
	job := forwarder.Job{
		Service: admission.Service, Route: admission.Route, Organisation: admission.Organisation, RequestID: id,
	}
	if admission.Organisation == nil {
		return job, nil
	}
	inside, retryAfter := server.Limits.Admit(request.Context(), admission.Organisation)
	if !inside {
		return job, refuse(http.StatusTooManyRequests, string(admitter.OverRate), "the organisation is over its rate", retryAfter)
	}
	return job, nil
}

// cleanPath reports whether every upstream would read the path as this
// program does.
func cleanPath(path string) bool {
	if !strings.HasPrefix(path, "/") {
		return false
	}
	parts := strings.Split(path[1:], "/")
	for i, part := range parts {
		if part == "." || part == ".." || part == "" && i < len(parts)-1 {
			return false
		}
	}
	return true
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
			"this VM can't tell whether the key has been withdrawn", time.Second)
	}
}
