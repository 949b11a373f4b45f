package server_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/entry/internal/server"
	"godwitramp.example/shell/trickler"
)

// serveLong serves long answers until the end of the test, and returns the server, its listener and a connection that
// is read slowly.
func serveLong(t *testing.T, idleTimeout time.Duration, requests *atomic.Int32) (*http.Server, *server.Listener, net.Conn) {
	t.Helper()
	is := is.New(t)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	callers := &http.Server{IdleTimeout: idleTimeout, Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		_, _ = writer.Write(bytes.Repeat([]byte("x"), trickler.LongAnswer))
	})}
	listener := &server.Listener{Listener: trickler.Listener{Listener: raw}}
	go func() { _ = callers.Serve(listener) }()
	t.Cleanup(func() { _ = callers.Close() })
	caller, err := trickler.Dial(raw.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = caller.Close() })
	return callers, listener, caller
}

// A caller that reads slowly and sends on must get its whole answer however its connection ends, and what it sends
// behind the end must not run.
func TestAnswerIsCutWhileItsCallerReadsSlowlyAndSendsOn(t *testing.T) {
	for _, test := range []struct {
		name, header string
		idleTimeout  time.Duration
		stop         bool
		// wait is how long the caller waits before it sends on.
		wait time.Duration
	}{
		{"planned stop", "", 0, true, 100 * time.Millisecond},
		{"idle timeout", "", 100 * time.Millisecond, false, 200 * time.Millisecond},
		{"closing answer", "Connection: close\r\n", 0, false, 700 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var requests atomic.Int32
			callers, listener, caller := serveLong(t, test.idleTimeout, &requests)
			request := "GET /long HTTP/1.1\r\nHost: a.example\r\n" + test.header + "\r\n"
			_, err := io.WriteString(caller, request)
			is.NoErr(err)
			reader := bufio.NewReader(caller)
			response, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			stopped := make(chan int, 1)
			if test.stop {
				go func() {
					_ = callers.Shutdown(t.Context())
					stopped <- listener.Drain(t.Context())
				}()
			}
			time.Sleep(test.wait)
			_, err = io.WriteString(caller, request)
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(len(body), trickler.LongAnswer)
			_, err = reader.ReadByte()
			is.Equal(err, io.EOF)
			_ = caller.Close()
			if test.stop {
				is.Equal(<-stopped, 0)
			}
			is.Equal(requests.Load(), int32(1))
		})
	}
}

// A caller that reads nothing must not hold up a stop.
func TestDrainWaitsForACallerThatReadsNothing(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int32
	callers, listener, caller := serveLong(t, 0, &requests)
	_, err := io.WriteString(caller, "GET /long HTTP/1.1\r\nHost: a.example\r\n\r\n")
	is.NoErr(err)
	_, err = caller.Read(make([]byte, 1))
	is.NoErr(err)
	is.NoErr(callers.Shutdown(t.Context()))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.Equal(listener.Drain(ctx), 1)
}
