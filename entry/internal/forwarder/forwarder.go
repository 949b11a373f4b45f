// Package forwarder sends admitted requests to targets and passes the answers on to
// the callers.
//
// A request that isn't idempotent is retried only if no byte of it was written, or if
// the upstream stated that it did not run it. An idempotent request is retried on
// another target after a failure. It is hedged if its answer takes so long that the
// connection may have gone silent. A budget for each service limits both. An answer
// that the forwarder makes itself says whether the request may have run.
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

	"github.com/sirupsen/logrus"

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
	// Key is the caller's API key. It is never sent to an upstream.
	Key string
	// Recheck reports whether the job may still be sent. It is called right before
	// each attempt is written, from several goroutines. It may be nil.
	Recheck func() bool
}

// Picker picks the targets of attempts and receives their results.
type Picker interface {
	Pick(info router.PickInfo, random *rand.Rand) (configurator.Target, bool)
	Done(result router.Result, now time.Duration)
	// SlowThreshold returns how long an attempt may last before ReportPending is called.
	SlowThreshold(service configurator.Path) time.Duration
	// ReportPending records that an attempt is still in flight after the given time,
	// and reports whether it counts that as evidence against the target.
	ReportPending(target configurator.Path, soFar time.Duration, freshConnection bool, now time.Duration) bool
	// WaitTime returns the time until Pick may find a target. It is 0 if there is a
	// target now or if no target is known.
	WaitTime(service configurator.Path, now time.Duration) time.Duration
}

// Record describes how a request ended.
type Record struct {
	Service      configurator.Path
	Organisation configurator.Path
	// Target is empty if the caller did not get an upstream's answer.
	Target   configurator.Path
	Status   int
	Outcome  Outcome
	Attempts int
	Latency  time.Duration
	// Complete is false if the caller disconnected or its answer was truncated.
	Complete bool
	// CallerGone is true if the caller disconnected before the end.
	CallerGone bool
}

// Forwarder sends requests. It is safe for concurrent use.
type Forwarder struct {
	Picker    Picker
	Exchanger *exchanger.Exchanger
	// Report is called at the end of each request unless it is nil.
	Report func(Record)
	// Log, if set, gets a line for each attempt that failed.
	Log *logrus.Entry
	// GivenUp, if set, ends shortly before the VM does. Requests that have no answer by then get one
	// of this VM, as they would otherwise be cut.
	GivenUp context.Context

	services      services
	bufferedBytes atomic.Int64
}

// clockOrigin is the origin of the times that are passed to Picker.
var clockOrigin = time.Now()

// Now returns the time since the process started. Picker's times are on this clock.
func Now() time.Duration { return time.Since(clockOrigin) }

var randomPool = sync.Pool{New: func() any { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }}

// Forward sends the request to a target of the job's service and writes the answer. It
// panics with http.ErrAbortHandler if it can't copy a long answer to its end.
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
	if forwarder.GivenUp != nil {
		defer context.AfterFunc(forwarder.GivenUp, cancel)()
	}
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
