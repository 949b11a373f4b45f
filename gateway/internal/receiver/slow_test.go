package receiver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"godwitramp.example/core/indexer"
	"godwitramp.example/gateway/internal/receiver"
	"godwitramp.example/platform/faker"
)

// An answer of 20 MB takes 16 s over 10 Mbit/s.
func TestLongAnswerOverSlowLinkIsNotTruncated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		answer := make([]byte, 20<<20)
		receiver := &receiver.Receiver{
			Handler: &handler{serve: func(context.Context, *receiver.Call) receiver.Reply {
				return receiver.Reply{Status: http.StatusOK, Body: answer}
			}},
			Limits: func() indexer.Limits { return indexer.Limits{} }, MaxConnections: 2, MaxBodyBytes: 1 << 20, Log: logrus.NewEntry(log),
		}
		network := faker.NewNetwork()
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { _ = receiver.Run(ctx, network) })
		defer running.Wait()
		defer cancel()
		caller, err := network.Link(1_250_000).Dial(ctx, "", "")
		is.NoErr(err)
		defer func() { _ = caller.Close() }()
		startedAt := time.Now()
		send(t, caller, get("/a"))
		_, body := read(t, bufio.NewReader(caller))
		is.Equal(len(body), len(answer))
		is.True(time.Since(startedAt) > 15*time.Second)
	})
}

// A caller that still waits must get its whole answer however slowly it reads. One that takes nothing, or that
// doesn't say how long it waits and reads very slowly, must not hold the answer for ever.
func TestLongAnswerIsCutWhileItsCallerReadsSlowly(t *testing.T) {
	const rate = 100_000 // bytes a second
	for _, test := range []struct {
		name     string
		patience time.Duration
		reads    bool
		whole    bool
		// atMost is how long the answer may be held.
		atMost time.Duration
	}{
		{"the caller waits long enough", time.Minute, true, true, time.Minute},
		{"the caller has left", 45 * time.Second, true, false, 46 * time.Second},
		{"the caller doesn't say how long it waits", 0, true, false, 30 * time.Second},
		{"the caller takes nothing", time.Hour, false, false, 12 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				answer := make([]byte, 50*rate)
				receiver := &receiver.Receiver{
					Handler: &handler{serve: func(context.Context, *receiver.Call) receiver.Reply {
						return receiver.Reply{Status: http.StatusOK, Body: answer, Close: true}
					}},
					Limits: func() indexer.Limits { return indexer.Limits{} }, Log: quiet(),
					Patience: func(http.Header) time.Duration { return test.patience },
				}
				caller := dialVirtual(t, receiver, faker.NewNetwork(), rate, func(listener net.Listener) net.Listener { return listener })
				startedAt := time.Now()
				send(t, caller, get("/a"))
				if !test.reads {
					time.Sleep(test.atMost)
					is.Equal(receiver.InFlight(), 0)
					return
				}
				response, err := http.ReadResponse(bufio.NewReader(caller), nil)
				is.NoErr(err)
				_, err = io.Copy(io.Discard, response.Body)
				is.Equal(err == nil, test.whole)
				is.True(time.Since(startedAt) <= test.atMost)
			})
		})
	}
}

// A caller that asks whether it may send a body long after its last answer must be told so.
func TestBodyIsNotAskedForLongAfterAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		receiver := &receiver.Receiver{Handler: &handler{serve: echo}, Limits: func() indexer.Limits { return indexer.Limits{} }, MaxBodyBytes: 1 << 20, Log: quiet()}
		caller := dialVirtual(t, receiver, faker.NewNetwork(), 1_250_000, func(listener net.Listener) net.Listener { return listener })
		reader := bufio.NewReader(caller)
		send(t, caller, get("/a"))
		read(t, reader)
		time.Sleep(12 * time.Second)
		send(t, caller, "POST /b HTTP/1.1\r\nHost: a.example\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusContinue)
		send(t, caller, "hi")
		_, body := read(t, reader)
		is.Equal(body, "/b hi")
	})
}
