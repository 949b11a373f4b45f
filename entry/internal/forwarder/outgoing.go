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

// Headers that tell an upstream about a request. The deadline may come from
// the caller too.
const (
	OrganisationHeader = "Godwitramp-Organisation"
	DeadlineHeader     = "Godwitramp-Deadline-Ms"
)

// LeavingHeader is set on its answers by an upstream that is about to stop.
const LeavingHeader = "Godwitramp-Leaving"

// ownPrefix is how the names of the system's own fields begin. Neither callers
// nor upstreams can set them for the other side.
const reservedPrefix = "Godwitramp-"

const maxDeadline = 24 * time.Hour

// timeoutOf returns how long the request may take: the route's or the
// service's limit, or the caller's if that is shorter.
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

// outgoingHeader returns the fields that all attempts have in common.
func outgoingHeader(request *http.Request, job Job) http.Header {
	header := request.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	exchanger.RemoveHopByHop(header)
	removeReservedFields(header)
	redactor.Header(header, job.Key)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	if job.Organisation != nil {
		header[OrganisationHeader] = []string{string(job.Organisation.Path)}
	}
	return header
}

// outgoing makes the request of one attempt.
func (handler *handler) outgoingRequest(target configurator.Target, id string) *http.Request {
	request := handler.request
	header := maps.Clone(handler.header) // the values are shared and never changed
	header[RequestIDHeader] = []string{id}
	outgoing := &http.Request{
		Method: request.Method, Header: header, Host: request.Host,
		URL: &url.URL{
			Path: request.URL.Path, RawPath: request.URL.RawPath,
			RawQuery: redactor.Query(request.URL.RawQuery, handler.job.Key),
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

// setDeadline tells the upstream how much time is left.
func (handler *handler) setDeadline(header http.Header) {
	if deadline, ok := handler.ctx.Deadline(); ok {
		remaining := max(1, time.Until(deadline).Milliseconds())
		header[DeadlineHeader] = []string{strconv.FormatInt(remaining, 10)}
	}
}
