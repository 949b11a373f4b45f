package dispatcher

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"godwitramp.example/gateway/internal/receiver"
)

// refusal is an answer that the system makes itself. Those with a status of
// 429 or 503 say that the request did not and will not run.
type refusal struct {
	status int
	reason string
	// retryAfter is when the caller may come back, 0 if unsaid.
	retryAfter time.Duration
}

// reply returns the answer as JSON.
func (refusal *refusal) reply() receiver.Reply {
	body, err := json.Marshal(map[string]string{"reason": refusal.reason})
	if err != nil {
		body = []byte("{}") // cannot happen with strings
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if refusal.retryAfter > 0 {
		header["Retry-After"] = []string{strconv.FormatFloat(refusal.retryAfter.Seconds(), 'f', 3, 64)}
	}
	return receiver.Reply{Status: refusal.status, Header: header, Body: append(body, '\n')}
}

// Refuse returns the answer to a request that can't be handled.
func (dispatcher *Dispatcher) Refuse(status int, reason string) receiver.Reply {
	refusal := refusal{status: status, reason: reason}
	if status == http.StatusServiceUnavailable {
		refusal.retryAfter = otherVMRetryAfter
	}
	return refusal.reply()
}
