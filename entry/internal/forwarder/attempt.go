package forwarder

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/retrier"
	"godwitramp.example/core/router"
	"godwitramp.example/shell/exchanger"
)

// reuseWindow is the longest time since the last use of a connection after which a
// request that isn't idempotent may be sent on it. A connection that was idle for
// longer may be closed without notice, and such a request can't be retried.
const reuseWindow = time.Second

var errKeyWithdrawn = errors.New("the key was withdrawn")

// attempt is one attempt of a request at one target.
type attempt struct {
	target  configurator.Target
	id      string
	ctx     context.Context
	cancel  context.CancelFunc
	started time.Time
	// lostToNewer is true if an attempt that started later ended the race.
	lostToNewer bool
	// lostToOlder is true if an attempt that started earlier ended the race.
	lostToOlder bool

	answer *exchanger.Answer
	err    error
	ended  time.Time
	// stoppedBody is true if the attempt failed while the body was still being read. Stopping that ends the
	// context.
	stoppedBody bool
	// reused is true once the attempt has a connection that was used before.
	reused atomic.Bool
	// reportedSlow is true if the picker counted the wait for the answer as evidence
	// against the target.
	reportedSlow bool
}

// send makes the call and stores its answer or error. If the call takes longer than the
// picker's SlowThreshold, it reports that to the picker once, while the call is in flight.
func (attempt *attempt) send(handler *handler, call exchanger.Call) {
	picker := handler.forwarder.Picker
	call.Connected = func(fresh bool) { attempt.reused.Store(!fresh) }
	reported := make(chan struct{})
	slowTimer := time.AfterFunc(picker.SlowThreshold(handler.job.Service.Path), func() {
		defer close(reported)
		attempt.reportedSlow = picker.ReportPending(attempt.target.Path, time.Since(attempt.started), !attempt.reused.Load(), Now())
	})
	attempt.answer, attempt.err = handler.forwarder.Exchanger.Do(attempt.ctx, call)
	attempt.ended = time.Now()
	if attempt.err == nil {
		attempt.answer.NoReuse = attempt.mayBeFollowed()
		attempt.answer.Unnamed = !named(attempt.answer.Response)
	}
	if !slowTimer.Stop() {
		<-reported
	}
}

// stopBody ends the reading of the caller's body.
func (attempt *attempt) stopBody(body *requestBody) {
	attempt.stoppedBody = attempt.ctx.Err() == nil
	body.stopReading()
}

// contextEnded reports whether the end of the context ended the attempt.
func (attempt *attempt) contextEnded() bool { return attempt.ctx.Err() != nil && !attempt.stoppedBody }

// matches reports whether an answer may be this attempt's. Another attempt's is a copy that came late only if
// the connection has carried one.
func (attempt *attempt) matches(response *http.Response) bool {
	return !attempt.reused.Load() || !attempt.namesAnother(response)
}

// namesAnother reports whether an answer has the ID of another attempt.
func (attempt *attempt) namesAnother(response *http.Response) bool {
	return slices.ContainsFunc(response.Header[RequestIDHeader], func(id string) bool { return id != attempt.id })
}

// named reports whether an answer has an ID.
func named(response *http.Response) bool { return len(response.Header[RequestIDHeader]) > 0 }

// isAnothers reports whether the attempt got an answer to another one. One without an ID may be if others' came
// before it.
func (attempt *attempt) isAnothers() bool {
	response := attempt.answer.Response
	return attempt.namesAnother(response) || !named(response) && attempt.answer.Trace.Discarded > 0
}

// mayBeFollowed reports whether an answer that comes later on the connection could be taken for one to another
// attempt, as could a copy of a not-run without an ID.
func (attempt *attempt) mayBeFollowed() bool {
	response := attempt.answer.Response
	return attempt.answer.Trace.Discarded > 0 || attempt.namesAnother(response) || saidNotRun(response) && !named(response)
}

// result is what the end of an attempt means for its target and for the request.
type result struct {
	kind     router.ResultKind
	delivery retrier.Attempt
	// saidNotRun is true if the answer says that the request did not run, whether or not that is proven.
	saidNotRun bool
	// retryAfter is the Retry-After of the answer, or 0.
	retryAfter time.Duration
	// leaving is true if the upstream announced that it is about to stop.
	leaving         bool
	freshConnection bool
}

// deliverable reports whether the attempt has an answer that may go to the caller.
func (attempt *attempt) deliverable(result result) bool {
	return attempt.err == nil && result.kind != router.WrongAnswer
}

func (attempt *attempt) classify(callerGone bool) result {
	if attempt.err != nil {
		return attempt.classifyError(callerGone)
	}
	response := attempt.answer.Response
	result := result{delivery: retrier.Attempt{Written: true}, freshConnection: attempt.answer.FreshConnection}
	if attempt.isAnothers() {
		result.kind = router.WrongAnswer
		return result
	}
	result.retryAfter = retryAfter(response.Header)
	result.leaving = announcesLeaving(response)
	status := response.StatusCode
	shedding := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	switch {
	case saidNotRun(response):
		result.kind = router.Shed
		result.saidNotRun = true
		// Without an ID it may be the late answer to an earlier request that was answered without one.
		result.delivery.SaidNotRun = named(response) || attempt.answer.Trace.Unnamed == 0
	case shedding && result.retryAfter > 0:
		result.kind = router.Shed
	case status >= http.StatusInternalServerError:
		result.kind = router.Failed
	default:
		result.kind = router.Good
	}
	return result
}

func (attempt *attempt) classifyError(callerGone bool) result {
	var failure *exchanger.Error
	if !errors.As(attempt.err, &failure) {
		return result{kind: router.ConnectionLost, delivery: retrier.Attempt{Written: true}}
	}
	result := result{delivery: retrier.Attempt{Written: failure.Written}, freshConnection: failure.FreshConnection}
	switch {
	case errors.Is(attempt.err, errKeyWithdrawn):
		result.kind = router.Cancelled
	case attempt.lostToOlder || callerGone:
		result.kind = router.Cancelled
	case failure.Trace.Discarded > 0:
		result.kind = router.WrongAnswer
	case attempt.lostToNewer && !failure.FreshConnection:
		result.kind = router.ConnectionLost
	case attempt.lostToNewer || attempt.contextEnded():
		result.kind = router.TimedOut
	case failure.Malformed:
		result.kind = router.WrongAnswer
	case failure.Answered:
		result.kind = router.Truncated
	case failure.FreshConnection && !failure.Written:
		result.kind = router.Failed
	default:
		result.kind = router.ConnectionLost
	}
	return result
}

// announcesLeaving reports whether the upstream announces that it is about to stop,
// by a header or by a 503 that closes the connection. With Retry-After such a 503 is
// only load shedding.
func announcesLeaving(response *http.Response) bool {
	if len(response.Header[LeavingHeader]) > 0 {
		return true
	}
	return response.StatusCode == http.StatusServiceUnavailable && hasConnectionClose(response) && retryAfter(response.Header) == 0
}

// hasConnectionClose reports whether the answer had the header Connection: close.
// net/http removes it and sets Close, but also sets Close for older versions of HTTP
// and for bodies that end with the connection.
func hasConnectionClose(response *http.Response) bool {
	closeDelimited := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	return response.Close && response.ProtoAtLeast(1, 1) && !closeDelimited
}

// saidNotRun reports whether the upstream stated that it did not run the request. A
// status alone, even 503 with Retry-After, is no such statement.
func saidNotRun(response *http.Response) bool {
	values := response.Header[OutcomeHeader]
	return response.StatusCode >= http.StatusBadRequest && len(values) == 1 && values[0] == string(NotRun)
}

const maxRetryAfter = 5 * time.Minute

// retryAfter returns the wait that Retry-After asks for, from 1 s to maxRetryAfter, or
// 0 without a valid one.
func retryAfter(header http.Header) time.Duration {
	value := header.Get("Retry-After")
	if value == "" {
		return 0
	}
	if seconds, err := strconv.ParseInt(value, 10, 32); err == nil {
		return min(maxRetryAfter, max(time.Second, time.Duration(seconds)*time.Second))
	}
	if date, err := http.ParseTime(value); err == nil {
		return min(maxRetryAfter, max(time.Second, time.Until(date)))
	}
	return 0
}
