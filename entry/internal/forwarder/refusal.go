package forwarder

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"godwitramp.example/core/router"
)

// Headers of the answers that the proxy makes itself.
const (
	OutcomeHeader   = "Godwitramp-Outcome"
	RequestIDHeader = "Godwitramp-Request-Id"
)

// Outcome says whether a request that the proxy answers itself may have run.
type Outcome string

// The outcomes of a request.
const (
	// NotRun means that no byte of the request reached an upstream, or that
	// the upstream itself stated that it did not run the request.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Refusal is an answer that the proxy makes itself.
type Refusal struct {
	Status     int           `json:"-"`
	Outcome    Outcome       `json:"outcome"`
	Reason     string        `json:"reason"`
	Message    string        `json:"message"`
	RequestID  string        `json:"request-id"`
	RetryAfter time.Duration `json:"-"`
}

// Write writes the refusal as JSON, with the outcome also in a header.
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
	_, _ = writer.Write(body) // the caller may have disconnected
}

// outcome returns the outcome of the attempts so far.
func (handler *handler) outcome() Outcome {
	if handler.mayHaveRun {
		return Unknown
	}
	return NotRun
}

// mayRetry reports whether the caller may safely send the request again.
func (handler *handler) mayRetry() bool { return handler.policy.Idempotent || !handler.mayHaveRun }

// refuseUnanswered refuses a request that no upstream has answered.
func (handler *handler) refuseUnanswered(result result, withdrawn bool) {
	retryAfter := max(time.Second, result.retryAfter)
	if !handler.mayRetry() {
		retryAfter = 0
	}
	switch {
	case withdrawn:
		handler.refuse(http.StatusUnauthorized, handler.outcome(), "key-unknown", "the key is unknown or withdrawn", 0)
	case handler.body.failure.Load() != nil && !handler.callerGone():
		handler.refuseBody(*handler.body.failure.Load())
	case result.kind == router.Cancelled:
		handler.record.Outcome = handler.outcome() // the caller has disconnected
	case result.kind == router.TimedOut:
		handler.refuse(http.StatusGatewayTimeout, handler.outcome(), "timed-out", "the upstream gave no answer in time", retryAfter)
	case result.kind == router.WrongAnswer:
		handler.refuse(http.StatusBadGateway, handler.outcome(), "wrong-answer", "the upstream's answer was malformed or to another request", retryAfter)
	case result.kind == router.Truncated:
		handler.refuse(http.StatusBadGateway, handler.outcome(), "answer-cut", "the upstream's answer was cut", retryAfter)
	case result.delivery.Written:
		handler.refuse(http.StatusBadGateway, handler.outcome(), "no-answer", "the upstream closed the connection without an answer", retryAfter)
	default:
		handler.refuse(http.StatusBadGateway, handler.outcome(), "no-connection", "the upstream can't be reached", retryAfter)
	}
}

// refuseNoTarget refuses a request that no target can take.
func (handler *handler) refuseNoTarget() {
	if handler.callerGone() {
		handler.record.Outcome = handler.outcome() // the caller has disconnected
		return
	}
	retryAfter := max(time.Second, handler.targetWait(Now()))
	handler.refuse(http.StatusServiceUnavailable, handler.outcome(), "no-target", "no target of the service can take the request", retryAfter)
}

func (handler *handler) refuse(status int, outcome Outcome, reason, message string, retryAfter time.Duration) {
	handler.record.Status = status
	handler.record.Outcome = outcome
	handler.record.Complete = true
	if handler.body.streamed() {
		CloseAfterAnswer(handler.writer)
	}
	refuse(handler.writer, handler.job, status, outcome, reason, message, retryAfter)
}

func refuse(
	writer http.ResponseWriter, job Job, status int, outcome Outcome, reason, message string, retryAfter time.Duration,
) {
	Refusal{
		Status: status, Outcome: outcome, Reason: reason, Message: message, RequestID: job.RequestID, RetryAfter: retryAfter,
	}.Write(writer)
}

// report passes the record of the request to Report, once.
func (handler *handler) report() {
	if handler.forwarder.Report == nil || handler.record.Service != "" {
		return
	}
	handler.record.Service = handler.job.Service.Path
	if handler.job.Organisation != nil {
		handler.record.Organisation = handler.job.Organisation.Path
	}
	handler.record.Attempts = handler.attempts
	handler.record.Latency = time.Since(handler.started)
	handler.record.CallerGone = handler.callerGone()
	handler.forwarder.Report(handler.record)
}
