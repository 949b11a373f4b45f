package dispatcher_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/drainer"
	"godwitramp.example/gateway/internal/messenger"
	"godwitramp.example/gateway/internal/receiver"
)

// A request that arrives late in a stop must be refused, not taken and cut.
func TestRequestLateInAStopIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	target := serve(t, answerWith(http.StatusOK, "done"))
	vm := start(t, target)
	vm.Leave(drainer.Policy{BalancerDrain: time.Minute, Grace: time.Hour})
	is.Equal(vm.read().Status, http.StatusOK)
	vm.Leave(drainer.Policy{Grace: time.Hour}) // the balancer has stopped sending connections
	for _, reply := range []receiver.Reply{vm.read(), vm.book()} {
		is.Equal(reply.Status, http.StatusServiceUnavailable)
		is.Equal(string(reply.Body), `{"reason":"stopping"}`+"\n")
		is.Equal(reply.Header.Get("Retry-After"), "0.100")
	}
	is.Equal(len(target.arrivals()), 1)
}

// Requests that usually take longer than a stop has left must be refused, but none that the
// VM knows too little of.
func TestRequestThatOutlastsAStopIsRefused(t *testing.T) {
	is := is.New(t)
	target := serve(t, func(writer http.ResponseWriter, request *http.Request) {
		time.Sleep(100 * time.Millisecond)
		answerWith(http.StatusOK, "done")(writer, request)
	})
	vm := start(t, target)
	vm.Leave(drainer.Policy{BalancerDrain: time.Hour, Grace: 90 * time.Millisecond})
	is.Equal(vm.read().Status, http.StatusOK)
	vm.Leave(drainer.Policy{BalancerDrain: time.Hour, Grace: time.Hour})
	for range 8 {
		is.Equal(vm.read().Status, http.StatusOK)
	}
	vm.Leave(drainer.Policy{BalancerDrain: time.Hour, Grace: 90 * time.Millisecond})
	is.Equal(vm.read().Status, http.StatusServiceUnavailable)
}

// bookBehind returns the answer to a booking whose turn comes after leave was called.
func (vm *vm) bookBehind(leave func()) receiver.Reply {
	booking := call(http.MethodPost, "/book/1", "key")
	turn := make(chan struct{})
	booking.Turn = turn
	replies := make(chan receiver.Reply)
	go func() { replies <- vm.Serve(context.Background(), booking) }()
	time.Sleep(20 * time.Millisecond) // until it waits
	leave()
	close(turn)
	return <-replies
}

// A booking that waits for earlier answers of its connection must not be sent when the stop
// has too little time left.
func TestBookingWhoseTurnComesLateInAStopIsNotSent(t *testing.T) {
	is := is.New(t)
	target := serve(t, answerWith(http.StatusOK, "done"))
	vm := start(t, target)
	reply := vm.bookBehind(func() { vm.Leave(drainer.Policy{BalancerDrain: time.Hour}) })
	is.Equal(reply.Status, http.StatusServiceUnavailable)
	is.Equal(string(reply.Body), `{"reason":"stopping"}`+"\n")
	is.Equal(len(target.arrivals()), 0)
}

// A booking that was taken in time must not be refused when its turn comes with ample time left.
func TestBookingWhoseTurnComesInTimeIsSentDuringAStop(t *testing.T) {
	is := is.New(t)
	target := serve(t, answerWith(http.StatusOK, "done"))
	vm := start(t, target)
	reply := vm.bookBehind(func() { vm.Leave(drainer.Policy{Grace: time.Hour}) }) // the balancer's drain time is over
	is.Equal(reply.Status, http.StatusOK)
}

// A request that the VM gives up near the end of a stop gets an answer that says whether it may
// have run.
func TestRequestGivenUpAtTheEndOfAStopIsAnswered(t *testing.T) {
	is := is.New(t)
	target := serve(t, hang)
	vm := start(t, target)
	ctx, giveUp := context.WithCancelCause(context.Background())
	replies := make(chan receiver.Reply, 2)
	go func() { replies <- vm.Serve(ctx, call(http.MethodPost, "/book/1", "key")) }()
	for len(target.arrivals()) == 0 {
		time.Sleep(time.Millisecond)
	}
	waiting := call(http.MethodPost, "/book/2", "key")
	waiting.Turn = make(chan struct{})
	giveUp(receiver.ErrGivenUp)
	reply := <-replies
	is.Equal(reply.Status, http.StatusBadGateway)
	is.Equal(string(reply.Body), `{"reason":"given-up"}`+"\n")
	is.Equal(vm.Serve(ctx, waiting).Status, http.StatusServiceUnavailable) // not run
	is.Equal(len(target.arrivals()), 1)
}

// failureCounter is a messenger that counts the failed requests told to the group.
type failureCounter struct {
	discardMessenger
	failures atomic.Int32
}

func (failureCounter *failureCounter) SendToGroup(events ...messenger.Event) {
	for _, event := range events {
		if event.Kind == messenger.RequestFailed {
			failureCounter.failures.Add(1)
		}
	}
}

// What a VM refuses or gives up because it stops must not count as failures of the service, for
// which idle targets are tried.
func TestStopIsNoFailureOfTheService(t *testing.T) {
	is := is.New(t)
	vm := start(t, serve(t, hang))
	counter := &failureCounter{}
	vm.Messenger = counter
	ctx, giveUp := context.WithCancelCause(context.Background())
	time.AfterFunc(50*time.Millisecond, func() { giveUp(receiver.ErrGivenUp) })
	is.Equal(vm.Serve(ctx, call(http.MethodGet, "/read/1", "key")).Status, http.StatusBadGateway)
	booking := call(http.MethodPost, "/book/1", "key")
	booking.Turn = make(chan struct{})
	is.Equal(vm.Serve(ctx, booking).Status, http.StatusServiceUnavailable)
	vm.Leave(drainer.Policy{BalancerDrain: time.Hour})
	is.Equal(vm.book().Status, http.StatusServiceUnavailable)
	is.Equal(counter.failures.Load(), int32(0))
}
