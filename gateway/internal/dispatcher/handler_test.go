package dispatcher

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/assessor"
	"godwitramp.example/core/indexer"
	"godwitramp.example/gateway/internal/receiver"
)

// An answer that is ready when the time is over, or when a stop gives the request up, must not
// be replaced by a failure.
func TestReadyAnswerIsDeliveredWhenTheContextEnds(t *testing.T) {
	is := is.New(t)
	givenUp, giveUp := context.WithCancelCause(context.Background())
	giveUp(receiver.ErrGivenUp)
	expired, cancel := context.WithDeadline(context.Background(), time.Unix(1, 0))
	defer cancel()
	for _, ctx := range []context.Context{givenUp, expired} {
		for range 100 {
			handler := &handler{job: &job{route: &indexer.Route{}}, results: make(chan *attempt, 2), inFlight: 2}
			handler.results <- &attempt{verdict: assessor.Verdict{MayHaveRun: true}}
			handler.results <- &attempt{verdict: assessor.Verdict{Deliver: assessor.Always}, response: &http.Response{StatusCode: http.StatusOK}}
			is.Equal(handler.lastAnswer(ctx).Status, http.StatusOK)
			handler.results <- &attempt{verdict: assessor.Verdict{Deliver: assessor.Always}, response: &http.Response{StatusCode: http.StatusOK}}
			is.Equal(handler.awaitAttempts(ctx).Status, http.StatusOK)
		}
	}
}

// A request whose caller has left must not count as failed because its attempt ends first.
func TestRequestOfACallerThatHasLeftIsAnswered(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 100 {
		handler := &handler{job: &job{route: &indexer.Route{}}, results: make(chan *attempt, 1), inFlight: 1}
		handler.results <- &attempt{verdict: assessor.Verdict{MayHaveRun: true, Reason: "cancelled"}}
		is.True(handler.awaitAttempts(ctx).Abort)
	}
}
