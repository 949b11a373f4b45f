package forwarder

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
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
	writer.WriteHeader(refusal.Status)
	_, _ = writer.Write(append(body, '\n')) // the caller may be gone
}
