package receiver_test

import (
	"bufio"
	"context"
	"io"
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
