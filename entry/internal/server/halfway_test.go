package server_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/entry/internal/forwarder"
)

// The rest of a body fails after a part of it went to the upstream, which may work on that part.
func TestRequestWhoseBodyEndsHalfWayIsAnsweredOrNotRun(t *testing.T) {
	part := fmt.Sprintf("%x\r\n%s\r\n", 70_000, strings.Repeat("x", 70_000))
	for name, test := range map[string]struct {
		rest        string
		after       func(upstream net.Conn, fixture *fixture)
		status, tag string
	}{
		"malformed":         {"zz\r\n", nil, "400", "body-malformed"},
		"too large":         {part, nil, "413", "body-too-large"},
		"too slow":          {"", nil, "408", "body-too-slow"},
		"target lost":       {"", func(upstream net.Conn, _ *fixture) { _ = upstream.Close() }, "502", "no-answer"},
		"target's nonsense": {"", func(upstream net.Conn, _ *fixture) { _, _ = io.WriteString(upstream, "HELLO\r\n\r\n") }, "502", "wrong-answer"},
		"early answer cut": {"", func(upstream net.Conn, _ *fixture) {
			_, _ = io.WriteString(upstream, "HTTP/1.1 413 X\r\nContent-Length: 9\r\n\r\nno")
			_ = upstream.Close()
		}, "502", "answer-cut"},
		"stop": {"", func(_ net.Conn, fixture *fixture) { fixture.giveUp() }, "504", "timed-out"},
	} {
		t.Run(name, func(t *testing.T) {
			started := make(chan net.Conn, 1)
			upstream := func(conn net.Conn, reader *bufio.Reader) {
				_, _ = reader.ReadString('\n')
				started <- conn
				_, _ = reader.WriteTo(io.Discard)
			}
			withFixture(t, upstream, func(is *is.I, fixture *fixture) {
				var record forwarder.Record
				fixture.server.Forwarder.Report = func(ended forwarder.Record) { record = ended }
				fixture.server.MaxBodyBytes = 100_000
				conn := fixture.connect()
				go func() {
					_, _ = io.WriteString(conn, "POST /r HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nX-Api-Key: "+key+"\r\n\r\n"+part)
					upstream := <-started
					time.Sleep(time.Second)
					if test.after != nil {
						test.after(upstream, fixture)
					}
					_, _ = io.WriteString(conn, test.rest)
				}()
				answer, _ := io.ReadAll(conn)
				_ = conn.Close()
				t.Logf("%q", answer)
				is.True(strings.HasPrefix(string(answer), "HTTP/1.1 "+test.status))
				is.True(strings.Contains(string(answer), "Godwitramp-Outcome: unknown\r\n"))
				is.True(strings.Contains(string(answer), test.tag))
				is.True(!record.CallerGone)
			})
		})
	}
}

// The part of a body that comes after the target was lost looks like a request.
func TestRestOfABodyIsServedAsARequest(t *testing.T) {
	requests := make(chan string, 2)
	upstream := func(conn net.Conn, reader *bufio.Reader) {
		line, _ := reader.ReadString('\n')
		requests <- line
		time.Sleep(time.Second)
		_ = conn.Close()
	}
	withFixture(t, upstream, func(is *is.I, fixture *fixture) {
		conn := fixture.connect()
		written := make(chan struct{})
		go func() {
			defer close(written)
			_, _ = io.WriteString(conn, "POST /r HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\nX-Api-Key: "+key+"\r\n\r\n"+strings.Repeat("x", 70_000))
			time.Sleep(3 * time.Second)
			_, _ = io.WriteString(conn, get("/r/body", "X-Api-Key: "+key))
		}()
		answer, _ := io.ReadAll(conn)
		_ = conn.Close()
		<-written
		is.Equal(len(requests), 1)
		is.True(strings.HasPrefix(string(answer), "HTTP/1.1 502"))
		is.Equal(strings.Count(string(answer), "HTTP/1.1 "), 1)
	})
}

// A kept connection turns out to be closed when a request with a body is sent over it, half of which has come.
func TestRetryOfARequestWithoutItsWholeBodyFails(t *testing.T) {
	upstream := func(conn net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
	withFixture(t, upstream, func(is *is.I, fixture *fixture) {
		is.True(strings.HasPrefix(fixture.exchange(get("/r", "X-Api-Key: "+key)), "HTTP/1.1 200 OK"))
		conn := fixture.connect()
		written := make(chan struct{})
		go func() {
			defer close(written)
			_, _ = io.WriteString(conn, "POST /r HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 80000\r\nX-Api-Key: "+key+"\r\n\r\n"+strings.Repeat("x", 70_000))
			time.Sleep(time.Second)
			_, _ = io.WriteString(conn, strings.Repeat("x", 10_000))
		}()
		answer, _ := io.ReadAll(conn)
		_ = conn.Close()
		<-written
		is.True(strings.HasSuffix(string(answer), "\r\n\r\nok"))
	})
}
