package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/entry/internal/forwarder"
)

const rejection = "HTTP/1.1 503 Busy\r\nGodwitramp-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"

// delivery is a request that has reached a target: the n-th of all, and the n-th on its connection.
type delivery struct {
	net.Conn
	request              *http.Request
	number, onConnection int
}

func (delivery delivery) write(answer string) { _, _ = io.WriteString(delivery.Conn, answer) }

func unnamed(text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// play returns a forwarder that delivers all requests to the function. It runs those that the function counts.
func (fleet *fleet) play(serve func(delivery)) *forwarder.Forwarder {
	sender := fleet.forwarder()
	sender.Exchanger.Dial = func(context.Context, string, string) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		go func() {
			defer func() { _ = serverConn.Close() }()
			reader := bufio.NewReader(serverConn)
			for onConnection := 1; ; onConnection++ {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				fleet.count(nil, 1)
				fleet.mutex.Lock()
				number := fleet.received
				fleet.mutex.Unlock()
				serve(delivery{Conn: serverConn, request: request, number: number, onConnection: onConnection})
			}
		}()
		return clientConn, nil
	}
	return sender
}

// A target rejects a request, and writes the rejection again while it runs the next attempt.
func TestCopyOfUnnamedRejectionIsBelieved(t *testing.T) {
	for _, method := range []string{"POST", "GET"} {
		t.Run(method, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fleet := &fleet{faults: []fault{healthy}}
				sender := fleet.play(func(delivery delivery) {
					if delivery.number == 1 {
						delivery.write(rejection)
						return
					}
					fleet.count(delivery.request, 0)
					if delivery.onConnection > 1 {
						delivery.write(rejection)
					}
					time.Sleep(200 * time.Millisecond)
					delivery.write(unnamed("whole\n"))
				})
				answer := fleet.forward(t, sender, httptest.NewRequest(method, "/x", nil))
				t.Logf("%d %q, %d runs", answer.StatusCode, answer.Header.Get(forwarder.OutcomeHeader), fleet.runs)
				is.Equal(answer.StatusCode, 200)
				is.Equal(fleet.runs, 1)
			})
		})
	}
}
