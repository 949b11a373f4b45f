package forwarder

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"godwitramp.example/core/router"
)

// Headers of the answers that the system makes itself.
const (
	OutcomeHeader   = "Godwitramp-Outcome"
	RequestIDHeader = "Godwitramp-Request-Id"
)

// Outcome says what became of a request that the system answers itself.
type Outcome string

// The outcomes of a request.
const (
	// NotRun means that no byte of the request reached an upstream, or that
	// the upstream itself said that it did not run the request.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Refusal is an answer that the system makes itself.
type Refusal struct {
	Status     int           `json:"-"`
	Outcome    Outcome       `json:"outcome"`
	Reason     string        `json:"reason"`
	Message    string        `json:"message"`
	RequestID  string        `json:"request-id"`
	RetryAfter time.Duration `json:"-"`
}

// Write sends the refusal as JSON, with the outcome in a header too.
func (refusal Refusal) Write(writer http.ResponseWriter) {
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "no-store")
	header.Set(OutcomeHeader, string(refusal.Outcome))
	if refusal.RetryAfter > 0 {
		seconds := int(math.Ceil(refusal.RetryAfter.Seconds()))
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	body, err := json.Marshal(refusal)
	if err != nil {
		body = []byte("{}")
	}
	body = append(body, '\n')
	header.Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(refusal.Status)
	_, _ = writer.Write(body) // the caller may be gone
}

// outcome says what may be told of the request so far.
func (run *run) outcome() Outcome {
	if run.mayHaveRun {
		return Unknown
	}
	return NotRun
}

// mayComeBack reports whether sending the request again is safe.
func (run *run) mayComeBack() bool { return run.policy.Idempotent || !run.mayHaveRun }

// refuseFor answers for want of an answer from upstreams.
func (run *run) refuseFor(verdict verdict, withdrawn bool) {
	retryAfter := max(time.Second, verdict.retryAfter)
	if !run.mayComeBack() {
		retryAfter = 0
	}
	switch {
	case withdrawn:
		run.refuse(http.StatusUnauthorized, run.outcome(), "key-unknown", "the key is unknown or withdrawn", 0)
	case run.body.err != nil && run.request.Context().Err() == nil:
		run.refuseBody(run.body.err)
	case verdict.kind == router.Cancelled:
		run.record.Outcome = run.outcome() // nobody waits for an answer
	case verdict.kind == router.TimedOut:
		run.refuse(http.StatusGatewayTimeout, run.outcome(), "timed-out", "the upstream gave no answer in time", retryAfter)
	case verdict.kind == router.WrongAnswer:
		run.refuse(http.StatusBadGateway, run.outcome(), "wrong-answer", "the upstream's answer was malformed or to another request", retryAfter)
	case verdict.kind == router.Truncated:
		run.refuse(http.StatusBadGateway, run.outcome(), "answer-cut", "the upstream's answer was cut", retryAfter)
	case verdict.attempt.Written:
		run.refuse(http.StatusBadGateway, run.outcome(), "no-answer", "the upstream closed the connection without an answer", retryAfter)
	default:
		run.refuse(http.StatusBadGateway, run.outcome(), "no-connection", "the upstream can't be reached", retryAfter)
	}
}

// refuseNoTarget answers for want of a target.
func (run *run) refuseNoTarget() {
	if run.request.Context().Err() != nil {
		run.record.Outcome = run.outcome() // nobody waits for an answer
		return
	}
	retryAfter := max(time.Second, run.wait(Now()))
	run.refuse(http.StatusServiceUnavailable, run.outcome(), "no-target", "no target of the service can take the request", retryAfter)
}

func (run *run) refuse(status int, outcome Outcome, reason, message string, retryAfter time.Duration) {
	run.record.Status = status
	run.record.Outcome = outcome
	run.record.Whole = true
	refuse(run.writer, run.job, status, outcome, reason, message, retryAfter)
}

func refuse(
	writer http.ResponseWriter, job Job, status int, outcome Outcome, reason, message string, retryAfter time.Duration,
) {
	Refusal{
		Status: status, Outcome: outcome, Reason: reason, Message: message, RequestID: job.RequestID, RetryAfter: retryAfter,
	}.Write(writer)
}

// report tells once how the request ended.
func (run *run) report() {
	if run.forwarder.Report == nil || run.record.Service != "" {
		return
	}
	run.record.Service = run.job.Service.Path
	if run.job.Organisation != nil {
		run.record.Organisation = run.job.Organisation.Path
	}
	run.record.Attempts = run.attempts
	run.record.Latency = time.Since(run.started)
	run.record.CallerGone = errors.Is(run.request.Context().Err(), context.Canceled)
	run.forwarder.Report(run.record)
}
