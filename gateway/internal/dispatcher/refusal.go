package dispatcher

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"godwitramp.example/gateway/internal/receiver"
)

// refusal is an answer that the VM gives instead of a target. A status of 429 or 503
// promises that the request did not run and will not run.
type refusal struct {
	status int
	reason string
	// retryAfter is the value of Retry-After, which is left out if it is 0.
	retryAfter time.Duration
}

// reply returns the answer with a JSON body.
func (refusal *refusal) reply() receiver.Reply {
	body, err := json.Marshal(map[string]string{"reason": refusal.reason})
	if err != nil {
		body = []byte("{}") // cannot happen with strings
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if refusal.retryAfter > 0 {
		header["Retry-After"] = []string{strconv.FormatFloat(refusal.retryAfter.Seconds(), 'f', 3, 64)}
	}
	notRun := refusal.status < http.StatusInternalServerError || refusal.status == http.StatusServiceUnavailable
	return receiver.Reply{Status: refusal.status, Header: header, Body: append(body, '\n'), NotRun: notRun}
}

// Refuse returns the answer to a request that the receiver rejects, for instance because
// it is malformed.
func (dispatcher *Dispatcher) Refuse(status int, reason string) receiver.Reply {
	refusal := refusal{status: status, reason: reason}
	if status == http.StatusServiceUnavailable {
		refusal.retryAfter = otherVMRetryAfter
	}
	return refusal.reply()
}
