package forwarder

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/retrier"
	"godwitramp.example/core/router"
	"godwitramp.example/shell/exchanger"
)

// provenWithin is how lately a connection must have been used to carry a
// request that must run once.
const provenWithin = time.Second

var errWithdrawn = errors.New("the key was withdrawn")

// leg is one attempt of a request at one target.
type leg struct {
	target  configurator.Target
	id      string
	ctx     context.Context
	cancel  context.CancelFunc
	started time.Time
	// overtaken is true if another attempt's answer came first.
	overtaken bool
	// needless is true if the answer of an earlier attempt came first.
	needless bool

	answer *exchanger.Answer
	err    error
	ended  time.Time
	// reused is true once the leg has a connection that was used before.
	reused atomic.Bool
	// waited is true if the picker counts the wait for an answer as evidence.
	waited bool
}

// send does the exchange and keeps its result.
func (leg *leg) send(run *run, call exchanger.Call) {
	picker := run.forwarder.Picker
	call.Connected = func(fresh bool) { leg.reused.Store(!fresh) }
	told := make(chan struct{})
	patience := time.AfterFunc(picker.SlowThreshold(run.job.Service.Path), func() {
		defer close(told)
		leg.waited = picker.ReportPending(leg.target.Path, time.Since(leg.started), !leg.reused.Load(), Now())
	})
	leg.answer, leg.err = run.forwarder.Exchanger.Do(leg.ctx, call)
	leg.ended = time.Now()
	if !patience.Stop() {
		<-told
	}
}

// verdict is what a leg means for its target and for the request.
type verdict struct {
	kind    router.ResultKind
	attempt retrier.Attempt
	// retryAfter is what the upstream asked for.
	retryAfter time.Duration
	// leaving is true if the upstream said that it is about to stop.
	leaving bool
	fresh   bool
}

// deliverable reports whether the leg has an answer for the caller.
func (leg *leg) deliverable(verdict verdict) bool {
	return leg.err == nil && verdict.kind != router.WrongAnswer
}

func (leg *leg) judge(caller context.Context) verdict {
	if leg.err != nil {
		return leg.judgeError(caller)
	}
	response := leg.answer.Response
	verdict := verdict{attempt: retrier.Attempt{Written: true}, fresh: leg.answer.FreshConnection}
	for _, id := range response.Header[RequestIDHeader] {
		if id != leg.id {
			verdict.kind = router.WrongAnswer
			return verdict
		}
	}
	verdict.retryAfter = retryAfter(response.Header)
	verdict.leaving = saidLeaving(response)
	status := response.StatusCode
	shedding := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	switch {
	case saidNotRun(response):
		verdict.kind = router.Shed
		verdict.attempt.SaidNotRun = true
	case shedding && verdict.retryAfter > 0:
		verdict.kind = router.Shed
	case status >= http.StatusInternalServerError:
		verdict.kind = router.Failed
	default:
		verdict.kind = router.Good
	}
	return verdict
}

func (leg *leg) judgeError(caller context.Context) verdict {
	var failure *exchanger.Error
	if !errors.As(leg.err, &failure) {
		return verdict{kind: router.ConnectionLost, attempt: retrier.Attempt{Written: true}}
	}
	verdict := verdict{attempt: retrier.Attempt{Written: failure.Written}, fresh: failure.FreshConnection}
	switch {
	case errors.Is(leg.err, errWithdrawn):
		verdict.kind = router.Cancelled
	case leg.needless || errors.Is(caller.Err(), context.Canceled):
		verdict.kind = router.Cancelled
	case leg.overtaken && !failure.FreshConnection:
		verdict.kind = router.ConnectionLost
	case leg.overtaken || leg.ctx.Err() != nil:
		verdict.kind = router.TimedOut
	case failure.Malformed:
		verdict.kind = router.WrongAnswer
	case failure.Answered:
		verdict.kind = router.Truncated
	case failure.FreshConnection && !failure.Written:
		verdict.kind = router.Failed
	default:
		verdict.kind = router.ConnectionLost
	}
	return verdict
}

// saidLeaving reports whether the upstream says that it is about to stop. One
// that closes the connection but says when to come back only sheds.
func saidLeaving(response *http.Response) bool {
	if len(response.Header[LeavingHeader]) > 0 {
		return true
	}
	return response.StatusCode == http.StatusServiceUnavailable && saidClose(response) && retryAfter(response.Header) == 0
}

// saidClose reports whether the answer has Connection: close, a field that
// net/http takes away. It also sets Close for old versions of HTTP and for
// bodies that only the end of the connection ends.
func saidClose(response *http.Response) bool {
	ends := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	return response.Close && response.ProtoAtLeast(1, 1) && !ends
}

// saidNotRun reports whether the upstream itself says that it did not run the
// request. A status alone, even 503 with Retry-After, is no such statement.
func saidNotRun(response *http.Response) bool {
	values := response.Header[OutcomeHeader]
	return response.StatusCode >= http.StatusBadRequest && len(values) == 1 && values[0] == string(NotRun)
}

const longestRetryAfter = 5 * time.Minute

// retryAfter returns the wait that the answer asks for, or zero.
func retryAfter(header http.Header) time.Duration {
	value := header.Get("Retry-After")
	if value == "" {
		return 0
	}
	if seconds, err := strconv.ParseInt(value, 10, 32); err == nil {
		return min(longestRetryAfter, max(time.Second, time.Duration(seconds)*time.Second))
	}
	if date, err := http.ParseTime(value); err == nil {
		return min(longestRetryAfter, max(time.Second, time.Until(date)))
	}
	return 0
}
