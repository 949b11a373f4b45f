// Package forwarder sends admitted requests to upstreams and carries the
// answers back.
//
// A request that isn't idempotent is sent again only if no byte of it was
// written, or if the upstream said that it did not run it. An idempotent one
// goes to another target after a failure, or when its answer takes so long
// that the connection may have gone silent; both within a budget.
//
// # Usage
//
//	forwarder := &forwarder.Forwarder{Picker: router, Exchanger: &exchanger.Exchanger{}}
//	forwarder.Forward(writer, request, forwarder.Job{Service: service, Route: route, RequestID: id})
package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/router"
	"godwitramp.example/shell/exchanger"
)

// Job is an admitted request.
type Job struct {
	Service      *configurator.ServiceTargets
	Route        *configurator.Route
	Organisation *configurator.Organisation
	RequestID    string
	// Key is what the caller proved its organisation with. No upstream sees it.
	Key string
	// Recheck reports whether the job may still be sent. It is called right
	// before each attempt is written, from several goroutines, and may be nil.
	Recheck func() bool
}

// Picker picks targets and learns how attempts ended.
type Picker interface {
	Pick(ask router.Ask, random *rand.Rand) (configurator.Target, bool)
	Done(result router.Result, now time.Duration)
	// SlowThreshold returns how long an attempt may last before ReportPending is called.
	SlowThreshold(service configurator.Path) time.Duration
	// ReportPending takes note of an attempt in progress, and reports whether that is
	// evidence against its target.
	ReportPending(target configurator.Path, soFar time.Duration, fresh bool, now time.Duration) bool
	// WaitTime returns how long it takes until Pick may find a target, and 0 if
	// there is one now or none is known.
	WaitTime(service configurator.Path, now time.Duration) time.Duration
}

// Record says how a request ended.
type Record struct {
	Service      configurator.Path
	Organisation configurator.Path
	// Target is empty if no answer of an upstream was passed on.
	Target   configurator.Path
	Status   int
	Outcome  Outcome
	Attempts int
	Latency  time.Duration
	// Complete is false if the caller was gone or its answer was cut.
	Complete bool
	// CallerGone is true if the caller went away before the end.
	CallerGone bool
}

// Forwarder sends requests. It is safe for concurrent use.
type Forwarder struct {
	Picker    Picker
	Exchanger *exchanger.Exchanger
	// Report is called at the end of each request unless it is nil.
	Report func(Record)

	services      services
	bufferedBytes atomic.Int64
}

// startOfClock is the origin of the times that Picker gets.
var clockOrigin = time.Now()

// Now is the clock that Picker is asked with: the time since the process
// started.
func Now() time.Duration { return time.Since(clockOrigin) }

var randomPool = sync.Pool{New: func() any { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }}

// Forward sends the request and writes its answer.
func (forwarder *Forwarder) Forward(writer http.ResponseWriter, request *http.Request, job Job) {
	started := time.Now()
	timeout, err := requestTimeout(request, job)
	if err != nil {
		refuse(writer, job, http.StatusBadRequest, NotRun, "deadline-malformed",
			"the field "+DeadlineHeader+" must be a number of milliseconds from 1 to 86400000", 0)
		return
	}
	ctx, cancel := context.WithDeadline(request.Context(), started.Add(timeout))
	defer cancel()
	handler := &handler{forwarder: forwarder, writer: writer, request: request, job: job, ctx: ctx, started: started}
	handler.service = forwarder.services.get(job.Service.Path)
	defer handler.report()
	defer handler.releaseBody()
	if err := handler.readBody(); err != nil {
		handler.refuseBody(err)
		return
	}
	handler.serve()
}

var errMalformedDeadline = errors.New("malformed deadline")
