package forwarder

import (
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/entry/internal/redactor"
	"godwitramp.example/shell/exchanger"
)

// Headers of requests to upstreams. Callers may set the deadline too.
const (
	OrganisationHeader = "Godwitramp-Organisation"
	DeadlineHeader     = "Godwitramp-Deadline-Ms"
)

// LeavingHeader is a header of answers by which an upstream announces that it is about
// to stop.
const LeavingHeader = "Godwitramp-Leaving"

// reservedPrefix is the prefix of the system's own headers. They are removed from
// requests and answers before these are passed on.
const reservedPrefix = "Godwitramp-"

const maxDeadline = 24 * time.Hour

// requestTimeout returns how long the request may take: the timeout of the route or,
// without one, of the service, or the caller's deadline if that is shorter.
func requestTimeout(request *http.Request, job Job) (time.Duration, error) {
	timeout := job.Service.Timeout
	if job.Route != nil && job.Route.Timeout > 0 {
		timeout = job.Route.Timeout
	}
	values := request.Header[DeadlineHeader]
	if len(values) == 0 {
		return timeout, nil
	}
	milliseconds, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || len(values) > 1 || milliseconds < 1 || milliseconds > maxDeadline.Milliseconds() {
		return 0, errMalformedDeadline
	}
	return min(timeout, time.Duration(milliseconds)*time.Millisecond), nil
}

func removeReservedFields(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, reservedPrefix) {
			delete(header, name)
		}
	}
}

// outgoingHeader returns the headers that all attempts share.
func outgoingHeader(request *http.Request, job Job) http.Header {
	header := request.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	exchanger.RemoveHopByHop(header)
	removeReservedFields(header)
	redactor.StripHeader(header, job.Key)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	if job.Organisation != nil {
		header[OrganisationHeader] = []string{string(job.Organisation.Path)}
	}
	return header
}

// outgoingRequest returns the request of one attempt.
func (handler *handler) outgoingRequest(target configurator.Target, id string) *http.Request {
	request := handler.request
	header := maps.Clone(handler.header) // the values are shared and never modified
	header[RequestIDHeader] = []string{id}
	outgoing := &http.Request{
		Method: request.Method, Header: header, Host: request.Host,
		URL: &url.URL{
			Path: request.URL.Path, RawPath: request.URL.RawPath,
			RawQuery: redactor.StripQuery(request.URL.RawQuery, handler.job.Key),
		},
		ContentLength: handler.body.length,
	}
	if body := handler.body.reader(); body != nil {
		outgoing.Body = body
	}
	if outgoing.Host == "" {
		outgoing.Host = target.Address.String()
	}
	return outgoing
}

// setDeadline sets the header that tells the upstream the remaining milliseconds.
func (handler *handler) setDeadline(header http.Header) {
	if deadline, ok := handler.ctx.Deadline(); ok {
		remaining := max(1, time.Until(deadline).Milliseconds())
		header[DeadlineHeader] = []string{strconv.FormatInt(remaining, 10)}
	}
}
