package receiver_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"godwitramp.example/core/indexer"
	"godwitramp.example/gateway/internal/receiver"
	"godwitramp.example/platform/faker"
)

// handler is a Handler that answers with the result of serve and records the targets.
type handler struct {
	serve func(ctx context.Context, call *receiver.Call) receiver.Reply

	mutex   sync.Mutex
	targets []string
}

func (handler *handler) Serve(ctx context.Context, call *receiver.Call) receiver.Reply {
	handler.mutex.Lock()
	handler.targets = append(handler.targets, call.Target)
	handler.mutex.Unlock()
	return handler.serve(ctx, call)
}

func (handler *handler) Refuse(status int, reason string) receiver.Reply {
	return receiver.Reply{Status: status, Body: []byte(reason)}
}

// seen returns the targets of the requests handled so far.
func (handler *handler) seen() []string {
	handler.mutex.Lock()
	defer handler.mutex.Unlock()
	return append([]string(nil), handler.targets...)
}

// echo answers with the target and body of the request.
func echo(_ context.Context, call *receiver.Call) receiver.Reply {
	return receiver.Reply{Status: http.StatusOK, Body: []byte(call.Target + " " + string(call.Body))}
}

// start runs a receiver, and returns it with a connection to it.
func start(t *testing.T, handler *handler, limits indexer.Limits) (*receiver.Receiver, net.Conn) {
	t.Helper()
	receiver := &receiver.Receiver{
		Handler: handler, Limits: func() indexer.Limits { return limits }, MaxConnections: 2, MaxBodyBytes: 1 << 20, Log: quiet(),
	}
	return receiver, dial(t, run(t, receiver))
}

// quiet returns a log that is discarded.
func quiet() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// run runs a receiver until the end of the test, and returns its address.
func run(t *testing.T, receiver *receiver.Receiver) string {
	t.Helper()
	return runOn(t, receiver, func(listener net.Listener) net.Listener { return listener })
}

// runOn runs a receiver on the listener that wrap returns for one on the loopback interface.
func runOn(t *testing.T, receiver *receiver.Receiver, wrap func(net.Listener) net.Listener) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = receiver.Run(ctx, wrap(listener)) })
	t.Cleanup(group.Wait)
	t.Cleanup(cancel)
	return listener.Addr().String()
}

// dialVirtual runs a receiver on the listener that wrap returns for a network in memory, until the end of the test, and returns
// a connection to it over a link of bytesPerSecond. It may be used in virtual time.
func dialVirtual(
	t *testing.T, receiver *receiver.Receiver, network *faker.Network, bytesPerSecond int, wrap func(net.Listener) net.Listener,
) net.Conn {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = receiver.Run(ctx, wrap(network)) })
	t.Cleanup(running.Wait)
	t.Cleanup(cancel)
	caller, err := network.Link(bytesPerSecond).Dial(ctx, "", "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close() })
	return caller
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	caller, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close() })
	return caller
}

func send(t *testing.T, caller net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(caller, text); err != nil {
		t.Fatal(err)
	}
}

func get(target string) string { return "GET " + target + " HTTP/1.1\r\nHost: a.example\r\n\r\n" }

// read returns the status and body of the next answer.
func read(t *testing.T, reader *bufio.Reader) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(body)
}

// Requests after an unanswered one are handled at once, but answered in order.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	handler := &handler{}
	handler.serve = func(ctx context.Context, call *receiver.Call) receiver.Reply {
		if call.Target == "/first" {
			<-release
		}
		if call.Target == "/third" {
			close(release) // only reached if the third is handled before the first is answered
		}
		return echo(ctx, call)
	}
	_, caller := start(t, handler, indexer.Limits{})
	send(t, caller, get("/first")+get("/second")+get("/third"))
	reader := bufio.NewReader(caller)
	for _, want := range []string{"/first ", "/second ", "/third "} {
		_, body := read(t, reader)
		is.Equal(body, want)
	}
}

// Turn is closed once the earlier requests have been answered, and not before.
func TestTurnClosesAfterEarlierAnswers(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	handler := &handler{}
	handler.serve = func(ctx context.Context, call *receiver.Call) receiver.Reply {
		if call.Target == "/first" {
			<-release
			return echo(ctx, call)
		}
		select {
		case <-call.Turn:
			return receiver.Reply{Status: http.StatusTeapot}
		default:
		}
		close(release)
		<-call.Turn
		return echo(ctx, call)
	}
	_, caller := start(t, handler, indexer.Limits{})
	send(t, caller, get("/first")+get("/second"))
	reader := bufio.NewReader(caller)
	_, body := read(t, reader)
	is.Equal(body, "/first ")
	_, body = read(t, reader)
	is.Equal(body, "/second ")
}

// A disconnect of the caller is detected while its requests are unanswered, and cancels
// their contexts.
func TestCallerDisconnectCancelsRequests(t *testing.T) {
	ended := make(chan struct{}, 2)
	handler := &handler{serve: func(ctx context.Context, _ *receiver.Call) receiver.Reply {
		<-ctx.Done()
		ended <- struct{}{}
		return receiver.Reply{Abort: true}
	}}
	_, caller := start(t, handler, indexer.Limits{})
	send(t, caller, get("/first")+get("/second"))
	for len(handler.seen()) < 2 {
		time.Sleep(time.Millisecond)
	}
	_ = caller.Close()
	<-ended
	<-ended
}

// Requests after an answer with "Connection: close" must not run: a caller may send them
// again.
func TestRequestsAfterClosingAnswerDoNotRun(t *testing.T) {
	is := is.New(t)
	handler := &handler{}
	ran := make(chan struct{}, 1)
	handler.serve = func(ctx context.Context, call *receiver.Call) receiver.Reply {
		if call.Target == "/first" {
			for len(handler.seen()) < 2 {
				time.Sleep(time.Millisecond)
			}
			reply := echo(ctx, call)
			reply.Close = true
			return reply
		}
		select {
		case <-call.Turn:
			ran <- struct{}{}
		case <-ctx.Done():
		}
		return receiver.Reply{Abort: true}
	}
	_, caller := start(t, handler, indexer.Limits{})
	send(t, caller, get("/first")+get("/second"))
	reader := bufio.NewReader(caller)
	response, _ := read(t, reader)
	is.True(response.Close)
	_, err := reader.ReadByte()
	is.Equal(err, io.EOF) // the connection is closed, not reset
	is.Equal(len(ran), 0)
}

func TestRequestBodies(t *testing.T) {
	is := is.New(t)
	_, caller := start(t, &handler{serve: echo}, indexer.Limits{})
	send(t, caller, "POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\n\r\nxyz"+
		"POST /b HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\nX: y\r\n\r\n"+
		"\r\n"+get("/c"))
	reader := bufio.NewReader(caller)
	for _, want := range []string{"/a xyz", "/b abcde", "/c "} {
		_, body := read(t, reader)
		is.Equal(body, want)
	}
	send(t, caller, "POST /d HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
	interim, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.Equal(interim.StatusCode, http.StatusContinue)
	send(t, caller, "ok")
	_, body := read(t, reader)
	is.Equal(body, "/d ok")
}

// The interim answer "100 Continue" must not be sent before the answers to earlier requests.
func TestContinueWaitsForEarlierAnswers(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	_, caller := start(t, &handler{serve: func(ctx context.Context, call *receiver.Call) receiver.Reply {
		if call.Target == "/first" {
			<-release
		}
		return echo(ctx, call)
	}}, indexer.Limits{})
	send(t, caller, get("/first")+"POST /d HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
	close(release)
	reader := bufio.NewReader(caller)
	_, body := read(t, reader)
	is.Equal(body, "/first ")
	interim, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.Equal(interim.StatusCode, http.StatusContinue)
	send(t, caller, "ok")
	_, body = read(t, reader)
	is.Equal(body, "/d ok")
}

// Requests that a target might parse in another way are refused, and nothing after them is
// parsed as a request. Otherwise a caller could smuggle requests.
func TestMalformedRequestsAreRefused(t *testing.T) {
	smuggled := get("/smuggled")
	for name, test := range map[string]struct {
		text   string
		status int
	}{
		"length and chunks":  {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"two lengths":        {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nabcd", 400},
		"encodings":          {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400},
		"space before colon": {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 4\r\n\r\nabcd", 400},
		"folded line":        {"GET / HTTP/1.1\r\nHost: a\r\nX: y\r\n z\r\n\r\n", 400},
		"bare line feed":     {"GET / HTTP/1.1\r\nHost: a\nX: y\r\n\r\n", 400},
		"negative length":    {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", 400},
		"signed length":      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +4\r\n\r\nabcd", 400},
		"no host":            {"GET / HTTP/1.1\r\nX: y\r\n\r\n", 400},
		"two hosts":          {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
		"no path":            {"GET * HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		"bad chunk":          {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		"long header":        {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("y", 600) + "\r\n\r\n", 431},
		"long body":          {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n", 413},
		"long chunks":        {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + strings.Repeat("y", 101) + "\r\n0\r\n\r\n", 413},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			handler := &handler{serve: echo}
			_, caller := start(t, handler, indexer.Limits{HeaderBytes: 512, BodyBytes: 100})
			send(t, caller, test.text+smuggled)
			reader := bufio.NewReader(caller)
			response, _ := read(t, reader)
			is.Equal(response.StatusCode, test.status)
			is.True(response.Close)
			is.Equal(len(handler.seen()), 0)
		})
	}
}

func TestIdleAndHeaderTimeouts(t *testing.T) {
	is := is.New(t)
	limits := indexer.Limits{HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 200 * time.Millisecond}
	_, caller := start(t, &handler{serve: echo}, limits)
	reader := bufio.NewReader(caller)
	send(t, caller, get("/a"))
	read(t, reader)
	time.Sleep(limits.IdleTimeout * 4 / 5) // an idle connection can be used until IdleTimeout
	send(t, caller, get("/b"))
	_, body := read(t, reader)
	is.Equal(body, "/b ")
	send(t, caller, "GET /c HTTP/1.1\r\n")
	response, _ := read(t, reader)
	is.Equal(response.StatusCode, http.StatusRequestTimeout)
}

func TestIdleConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	_, first := start(t, &handler{serve: echo}, indexer.Limits{IdleTimeout: 50 * time.Millisecond})
	startedAt := time.Now() // before the receiver accepts the connection and begins to wait
	caller := dial(t, first.RemoteAddr().String())
	_, err := caller.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.True(time.Since(startedAt) >= 50*time.Millisecond)
}

// A leaving VM answers with "Connection: close", and closes idle connections but no others.
func TestLeavingClosesIdleConnections(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	handler := &handler{serve: func(ctx context.Context, call *receiver.Call) receiver.Reply {
		<-release
		return echo(ctx, call)
	}}
	receiver, busy := start(t, handler, indexer.Limits{})
	idle := dial(t, busy.RemoteAddr().String())
	send(t, busy, get("/a"))
	for len(handler.seen()) < 1 || receiver.OpenConnections() < 2 {
		time.Sleep(time.Millisecond)
	}
	receiver.Leave()
	receiver.CloseIdle()
	_, err := idle.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	close(release)
	response, body := read(t, bufio.NewReader(busy))
	is.Equal(body, "/a ")
	is.True(response.Close)
}

func TestConnectionsOverLimitAreRefused(t *testing.T) {
	is := is.New(t)
	receiver, first := start(t, &handler{serve: echo}, indexer.Limits{})
	dial(t, first.RemoteAddr().String())
	for receiver.OpenConnections() < 2 {
		time.Sleep(time.Millisecond)
	}
	third := dial(t, first.RemoteAddr().String())
	response, _ := read(t, bufio.NewReader(third))
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(response.Close)
}

func TestAnswerToHeadHasNoBody(t *testing.T) {
	is := is.New(t)
	_, caller := start(t, &handler{serve: func(context.Context, *receiver.Call) receiver.Reply {
		return receiver.Reply{Status: http.StatusOK, Header: http.Header{"Content-Length": {"5"}}}
	}}, indexer.Limits{})
	send(t, caller, "HEAD /a HTTP/1.1\r\nHost: a.example\r\n\r\n"+fmt.Sprintf("HEAD %s HTTP/1.1\r\nHost: a.example\r\n\r\n", "/b"))
	reader := bufio.NewReader(caller)
	for range 2 {
		response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodHead})
		is.NoErr(err)
		is.Equal(response.ContentLength, int64(5))
	}
}

// A request on which the handler panics must end its own connection only.
func TestPanicEndsOneConnection(t *testing.T) {
	is := is.New(t)
	_, poisoned := start(t, &handler{serve: func(ctx context.Context, call *receiver.Call) receiver.Reply {
		if call.Target == "/poison" {
			panic("poison")
		}
		return echo(ctx, call)
	}}, indexer.Limits{})
	other := dial(t, poisoned.RemoteAddr().String())
	send(t, poisoned, get("/poison"))
	_, err := poisoned.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	send(t, other, get("/a"))
	_, body := read(t, bufio.NewReader(other))
	is.Equal(body, "/a ")
}
