package receiver_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/gateway/internal/receiver"
)

// A refusal on a connection with a booking that runs must come after the answer to that, and never without it.
func TestRefusalIsTakenForTheAnswerToABookingThatRuns(t *testing.T) {
	ok := receiver.Reply{Status: http.StatusOK, Body: []byte("done")}
	for name, test := range map[string]struct {
		first func(ctx context.Context, vm *inMemory) receiver.Reply
		// answers are those before that of the refused request, and last is true if nothing follows.
		answers string
		last    bool
	}{
		"answered":      {func(context.Context, *inMemory) receiver.Reply { return ok }, "200", false},
		"answered late": {func(context.Context, *inMemory) receiver.Reply { time.Sleep(20 * time.Second); return ok }, "200", false},
		"failed":        {func(context.Context, *inMemory) receiver.Reply { return receiver.Reply{Status: 504} }, "504", false},
		"closing": {func(context.Context, *inMemory) receiver.Reply {
			time.Sleep(20 * time.Second)
			return receiver.Reply{Status: 200, Close: true}
		}, "200", true},
		"aborted": {func(context.Context, *inMemory) receiver.Reply {
			time.Sleep(20 * time.Second)
			return receiver.Reply{Abort: true}
		}, "", true},
		"panicked": {func(context.Context, *inMemory) receiver.Reply { time.Sleep(20 * time.Second); panic("booking") }, "", true},
		"not taken": {func(_ context.Context, vm *inMemory) receiver.Reply {
			time.Sleep(20 * time.Second)
			return ok
		}, "", true},
		"stopped": {func(_ context.Context, vm *inMemory) receiver.Reply {
			time.Sleep(20 * time.Second)
			vm.Leave()
			vm.CloseIdle()
			return ok
		}, "200", true},
		"given up": {givenUp, "502", true},
		"given up, ended": {func(ctx context.Context, vm *inMemory) receiver.Reply {
			vm.GiveUp()
			<-ctx.Done()
			return receiver.Reply{Abort: true}
		}, "", true},
	} {
		for kind, behind := range refused {
			t.Run(name+", "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					var vm *inMemory
					handler := &handler{}
					handler.serve = func(ctx context.Context, call *receiver.Call) receiver.Reply {
						if call.Target != "/first?secret=1" {
							select {
							case <-call.Turn:
							case <-ctx.Done():
							}
							return ok
						}
						return test.first(ctx, vm)
					}
					vm = startInMemory(t, handler)
					caller := vm.dial(t, booking+behind.text)
					if name == "not taken" {
						time.Sleep(time.Minute)
					}
					got := statuses(caller)
					want := test.answers
					if !test.last {
						want = strings.TrimSpace(want + " " + behind.status)
					}
					if (name == "stopped" || name == "given up") && kind == "late third" {
						want += " 200" // the answer to the newest request closes the connection
					}
					is.Equal(got, want)
				})
			})
		}
	}
}

// givenUp is a booking that runs until a stop gives it up.
func givenUp(ctx context.Context, vm *inMemory) receiver.Reply {
	time.AfterFunc(20*time.Second, func() {
		vm.Leave()
		vm.GiveUp()
	})
	<-ctx.Done()
	if !errors.Is(context.Cause(ctx), receiver.ErrGivenUp) {
		return receiver.Reply{Abort: true}
	}
	return receiver.Reply{Status: http.StatusBadGateway}
}
