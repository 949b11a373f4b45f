// Package forwarder sends admitted requests to upstreams and carries the
// answers back.
//
// # Usage
//
//	forwarder := &forwarder.Forwarder{Router: router}
//	forwarder.Forward(writer, request, forwarder.Job{Service: service, RequestID: id})
package forwarder

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/router"
)

// Headers that tell an upstream about a request.
const (
	OrganisationHeader = "Godwitramp-Organisation"
	DeadlineHeader     = "Godwitramp-Deadline-Ms"
)

// Job is an admitted request.
type Job struct {
	Service      *configurator.ServiceTargets
	Route        *configurator.Route
	Organisation *configurator.Organisation
	RequestID    string
}

// Forwarder sends requests. It is safe for concurrent use.
type Forwarder struct {
	Router    *router.Router
	Transport http.RoundTripper
}

// Forward sends the request to one target and copies the answer.
func (forwarder *Forwarder) Forward(writer http.ResponseWriter, request *http.Request, job Job) {
	ctx, cancel := context.WithTimeout(request.Context(), job.Service.Timeout)
	defer cancel()
	target, ok := forwarder.pick(job)
	if !ok {
		Refusal{Status: http.StatusServiceUnavailable, Outcome: NotRun, Reason: "no-target", RetryAfter: time.Second,
			Message: "no target of the service can take the request", RequestID: job.RequestID}.Write(writer)
		return
	}
	began := time.Now()
	result := router.Result{Target: target.Path, Kind: router.ConnectionLost}
	defer func() { forwarder.Router.Done(result, Now()) }()
	response, err := forwarder.Transport.RoundTrip(outgoing(ctx, request, target, job))
	result.Latency = time.Since(began)
	if err != nil {
		Refusal{Status: http.StatusBadGateway, Outcome: Unknown, Reason: "no-answer", RetryAfter: time.Second,
			Message: "the upstream gave no answer", RequestID: job.RequestID}.Write(writer)
		return
	}
	defer func() { _ = response.Body.Close() }()
	result.Kind = kindOf(response)
	copyAnswer(writer, response)
}

func kindOf(response *http.Response) router.ResultKind {
	switch {
	case response.StatusCode == http.StatusServiceUnavailable:
		return router.Shed
	case response.StatusCode >= http.StatusInternalServerError:
		return router.Failed
	default:
		return router.Good
	}
}

func (forwarder *Forwarder) pick(job Job) (configurator.Target, bool) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return forwarder.Router.Pick(router.Ask{Service: job.Service, Now: Now()}, random)
}

// Now is the router's clock: the time since the process started.
func Now() time.Duration { return time.Since(started) }

var started = time.Now()

// hopByHop are the fields that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

func removeHopByHop(header http.Header) {
	for _, line := range header.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
}

// outgoing makes the request that the target sees.
func outgoing(ctx context.Context, request *http.Request, target configurator.Target, job Job) *http.Request {
	out := &http.Request{
		Method: request.Method, Header: request.Header.Clone(), Body: request.Body, ContentLength: request.ContentLength,
		URL:  &url.URL{Scheme: "http", Host: target.Address.String(), Path: request.URL.Path, RawPath: request.URL.RawPath, RawQuery: withoutKey(request.URL.RawQuery)},
		Host: request.Host,
	}
	if request.ContentLength == 0 {
		out.Body = http.NoBody
	}
	removeHopByHop(out.Header)
	removeKey(out.Header)
	out.Header.Del("Idempotency-Key")
	out.Header.Del("X-Idempotency-Key")
	out.Header.Del(OrganisationHeader)
	if job.Organisation != nil {
		out.Header.Set(OrganisationHeader, string(job.Organisation.Path))
	}
	out.Header.Set(RequestIDHeader, job.RequestID)
	return out.WithContext(ctx)
}

func copyAnswer(writer http.ResponseWriter, response *http.Response) {
	removeHopByHop(response.Header)
	header := writer.Header()
	for name, values := range response.Header {
		header[name] = slices.Clone(values)
	}
	writer.WriteHeader(response.StatusCode)
	if _, err := io.Copy(writer, response.Body); err != nil {
		panic(http.ErrAbortHandler) // ends the caller's connection in error
	}
}
