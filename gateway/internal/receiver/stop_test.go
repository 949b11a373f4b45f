package receiver_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"godwitramp.example/core/indexer"
	"godwitramp.example/gateway/internal/receiver"
)

// startHanging runs a receiver whose handler answers the target "/first" after release is
// closed, and others at once. Callers say that they wait for each answer for 20 ms.
func startHanging(t *testing.T) (_ *receiver.Receiver, _ *handler, caller io.ReadWriter, release chan struct{}) {
	t.Helper()
	release = make(chan struct{})
	handler := &handler{serve: func(ctx context.Context, call *receiver.Call) receiver.Reply {
		if call.Target == "/first" {
			<-release
		}
		return echo(ctx, call)
	}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	receiver := &receiver.Receiver{
		Handler: handler, Limits: func() indexer.Limits { return indexer.Limits{} }, Log: logrus.NewEntry(log),
		Patience: func(http.Header) time.Duration { return 20 * time.Millisecond },
	}
	return receiver, handler, dial(t, run(t, receiver)), release
}

// A request that was passed on before a stop must not be lost behind one that closes the
// connection.
func TestStopLosesNoRequestBehindAnother(t *testing.T) {
	is := is.New(t)
	receiver, handler, caller, release := startHanging(t)
	_, err := io.WriteString(caller, get("/first")+get("/second")+get("/third"))
	is.NoErr(err)
	for len(handler.seen()) < 3 {
		time.Sleep(time.Millisecond)
	}
	receiver.Leave()
	close(release)
	reader := bufio.NewReader(caller)
	for _, want := range []string{"/first ", "/second ", "/third "} {
		response, body := read(t, reader)
		is.Equal(body, want)
		is.Equal(response.Close, want == "/third ")
	}
	_, err = reader.ReadByte()
	is.Equal(err, io.EOF)
}

// A request that arrives during a stop behind an unanswered one would be cut if that one
// outlasts the stop, and its answer is never written: it must not be passed on.
func TestStopPassesNoRequestOnBehindAnother(t *testing.T) {
	is := is.New(t)
	receiver, handler, caller, release := startHanging(t)
	_, err := io.WriteString(caller, get("/first"))
	is.NoErr(err)
	for len(handler.seen()) < 1 {
		time.Sleep(time.Millisecond)
	}
	receiver.Leave()
	_, err = io.WriteString(caller, get("/second")+get("/third"))
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond) // the caller's patience with the second has ended
	close(release)
	reader := bufio.NewReader(caller)
	response, body := read(t, reader)
	is.Equal(body, "/first ")
	is.True(response.Close)
	_, err = reader.ReadByte()
	is.Equal(err, io.EOF) // closed, not reset
	is.Equal(handler.seen(), []string{"/first"})
	is.Equal(receiver.InFlight(), 0)
}

// A request that outlasts the stop must not take the ready answers behind it along.
func TestGivingUpARequestDeliversTheAnswersBehindIt(t *testing.T) {
	is := is.New(t)
	handler := &handler{serve: func(ctx context.Context, call *receiver.Call) receiver.Reply {
		if call.Target == "/first" {
			<-ctx.Done()
			is.Equal(context.Cause(ctx), receiver.ErrGivenUp)
		}
		return echo(ctx, call)
	}}
	receiver, caller := start(t, handler, indexer.Limits{})
	send(t, caller, get("/first")+get("/second"))
	for len(handler.seen()) < 2 {
		time.Sleep(time.Millisecond)
	}
	receiver.Leave()
	receiver.GiveUp()
	reader := bufio.NewReader(caller)
	for _, want := range []string{"/first ", "/second "} {
		_, body := read(t, reader)
		is.Equal(body, want)
	}
	_, err := reader.ReadByte()
	is.Equal(err, io.EOF)
}
