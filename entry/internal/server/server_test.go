package server_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/parser"
	"godwitramp.example/core/router"
	"godwitramp.example/entry/internal/forwarder"
	"godwitramp.example/entry/internal/server"
	"godwitramp.example/shell/exchanger"
)

const (
	key            = "kunds-key-1"
	maxConnections = 3
)

// fixture is a server with simulated callers and a simulated upstream.
type fixture struct {
	server   *server.Server
	listener *server.Listener
	callers  chan net.Conn
	closed   chan struct{}
	upstream func(conn net.Conn, reader *bufio.Reader)

	mutex    sync.Mutex
	received bytes.Buffer
	// discard makes the fixture drop what the upstream reads.
	discard bool
	// giveUp ends the requests in progress, as before the end of a planned stop.
	giveUp context.CancelFunc
}

func table(t testing.TB) *configurator.Table {
	t.Helper()
	hash := sha256.Sum256([]byte(key))
	var parser parser.Parser
	parser.Add("a.ini", []byte(`
[/a/organisations/o]
rate = 1
burst = 1
[/a/organisations/o/keys/k]
sha-256 = `+hex.EncodeToString(hash[:])+`
[/a/services/s]
timeout = 5s
[/a/services/s/targets/t]
address = 10.0.0.1:80
region = r
data-centre = r-1
[/a/routes/r]
prefix = /r
service = s
`))
	entries, problems := parser.Finish()
	is.New(t).Equal(len(problems), 0)
	state := configurator.NewState()
	is.New(t).NoErr(state.Apply(configurator.Change{Revision: 1, Team: "a", Puts: entries}))
	compiled, _ := configurator.Compile(state.All())
	return compiled
}

// tables provides one configuration, admits all requests and picks the only target.
type tables struct{ table *configurator.Table }

func (tables tables) Table() *configurator.Table { return tables.table }
func (tables) KeysKnown() bool                   { return true }
func (tables) Admit(context.Context, *configurator.Organisation) (allowed bool, _ time.Duration) {
	return true, 0
}
func (tables) Done(router.Result, time.Duration)                       {}
func (tables) SlowThreshold(configurator.Path) time.Duration           { return time.Hour }
func (tables) WaitTime(configurator.Path, time.Duration) time.Duration { return 0 }
func (tables) ReportPending(configurator.Path, time.Duration, bool, time.Duration) bool {
	return false
}

func (tables) Pick(info router.PickInfo, _ *rand.Rand) (configurator.Target, bool) {
	if len(info.Tried) > 0 {
		return configurator.Target{}, false
	}
	return info.Service.Targets[0], true
}

// Accept, Close and Addr make the fixture a net.Listener.
func (fixture *fixture) Accept() (net.Conn, error) {
	select {
	case conn := <-fixture.callers:
		return conn, nil
	case <-fixture.closed:
		return nil, net.ErrClosed
	}
}
func (fixture *fixture) Close() error   { return nil }
func (fixture *fixture) Addr() net.Addr { return &net.TCPAddr{} }

func (fixture *fixture) dial(context.Context, string, string) (net.Conn, error) {
	clientConn, serverConn := net.Pipe()
	go func() {
		defer func() { _ = serverConn.Close() }()
		fixture.upstream(serverConn, bufio.NewReader(io.TeeReader(serverConn, fixture)))
	}()
	return clientConn, nil
}

// Write records what the upstream has read.
func (fixture *fixture) Write(data []byte) (int, error) {
	fixture.mutex.Lock()
	defer fixture.mutex.Unlock()
	if fixture.discard {
		return len(data), nil
	}
	return fixture.received.Write(data)
}

func (fixture *fixture) upstreamReceived() string {
	fixture.mutex.Lock()
	defer fixture.mutex.Unlock()
	return fixture.received.String()
}

// withFixture runs the test with a fixture in a synctest bubble.
func withFixture(t *testing.T, upstream func(net.Conn, *bufio.Reader), test func(is *is.I, fixture *fixture)) {
	t.Helper()
	compiled := table(t)
	synctest.Test(t, func(t *testing.T) {
		tables := tables{compiled}
		fixture := &fixture{callers: make(chan net.Conn), closed: make(chan struct{}), upstream: upstream}
		sender := &exchanger.Exchanger{Dial: fixture.dial}
		givenUp, giveUp := context.WithCancel(t.Context())
		fixture.giveUp = giveUp
		defer giveUp()
		fixture.server = &server.Server{
			Tables: tables, Keys: tables, Limits: tables,
			Forwarder:    &forwarder.Forwarder{Picker: tables, Exchanger: sender, GivenUp: givenUp},
			MaxBodyBytes: 1 << 30,
		}
		callers := fixture.server.HTTP()
		fixture.listener = &server.Listener{Listener: fixture, MaxConnections: maxConnections}
		go func() { _ = callers.Serve(fixture.listener) }()
		defer synctest.Wait()
		defer sender.Close()
		defer func() { _ = callers.Close() }()
		defer close(fixture.closed)
		test(is.New(t), fixture)
	})
}

func (fixture *fixture) connect() net.Conn {
	clientConn, serverConn := net.Pipe()
	fixture.callers <- serverConn
	return clientConn
}

// exchange sends raw bytes and returns the raw answer. The request must have the header
// Connection: close.
func (fixture *fixture) exchange(raw string) string {
	conn := fixture.connect()
	go func() { _, _ = io.WriteString(conn, raw) }()
	answer, _ := io.ReadAll(conn)
	_ = conn.Close()
	return string(answer)
}

// answerOK answers requests with status 200 until the connection ends.
func answerOK(conn net.Conn, reader *bufio.Reader) {
	answerWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")(conn, reader)
}

func answerWith(answer string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, reader *bufio.Reader) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			if _, err := io.WriteString(conn, answer); err != nil || !strings.Contains(answer, "200 OK\r\nContent-Length: 2") {
				return
			}
		}
	}
}

func get(path string, fields ...string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + strings.Join(append(fields, "\r\n"), "\r\n")
}

func TestUpstreamNeverSeesKey(t *testing.T) {
	field := "X-Api-Key: " + key
	for name, raw := range map[string]string{
		"field":              get("/r", field),
		"bearer":             get("/r", "Authorization: bearer  "+key),
		"parameter":          get("/r?a=1&api-key=" + key + "&b=2"),
		"encoded parameter":  get("/r?a=1;%61pi-key=%6bunds-key-1"),
		"repeated":           get("/r?api-key="+key+"&api-key="+key, field, field),
		"listed field":       get("/r", field, "Connection: x-api-key, x-copy", "X-Copy: "+key),
		"cookie":             get("/r", field, "Cookie: k="+key),
		"referer":            get("/r", field, "Referer: http://h/r?api-key=kunds%2Dkey-1"),
		"own field":          get("/r", field, "Godwitramp-Organisation: "+key),
		"absolute with user": get("http://u:"+key+"@h/r", field),
		"trailer": "POST /r HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\nTrailer: X-Api-Key, X-Copy\r\n" +
			field + "\r\n\r\n1\r\nb\r\n0\r\nX-Api-Key: " + key + "\r\nX-Copy: " + key + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, answerOK, func(is *is.I, fixture *fixture) {
				is.True(strings.HasPrefix(fixture.exchange(raw), "HTTP/1.1 200 OK"))
				is.True(strings.Contains(fixture.upstreamReceived(), " /r"))
				is.True(!strings.Contains(fixture.upstreamReceived(), "key-1"))
				is.True(!strings.Contains(fixture.upstreamReceived(), "Connection"))
			})
		})
	}
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	field := "X-Api-Key: " + key
	post := "POST /r HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + field + "\r\n"
	tests := []struct{ raw, status, reason string }{
		{get("/r/../r", field), "400", "path-not-clean"},
		{get("/r/%2e%2E/x", field), "400", "path-not-clean"},
		{get("/r%2fx", field), "400", "path-not-clean"},
		{get("/r/%252e%252e/x", field), "400", "path-not-clean"},
		{get("/r//x", field), "400", "path-not-clean"},
		{get("/r/..;a=b/x", field), "400", "path-not-clean"},
		{get("/r/%5c..", field), "400", "path-not-clean"},
		{get("/r/%00", field), "400", "path-not-clean"},
		{get("/r/"+key, field), "400", "key-in-path"},
		{get("/r", field, "Authorization: Bearer another-key"), "400", "keys-differ"},
		{get("/r?a=%zz", field), "400", "query-malformed"},
		{get("/r", field, "Upgrade: websocket"), "501", "upgrade-not-served"},
		{get("/r", "X-Api-Key: guess"), "401", "key-unknown"},
		{get("/r", field, "Godwitramp-Deadline-Ms: soon"), "400", "deadline-malformed"},
		{strings.Replace(get("/r", field), "GET", "TRACE", 1), "405", "method-not-allowed"},
		{"CONNECT h:1 HTTP/1.1\r\nHost: h:1\r\nConnection: close\r\n\r\n", "405", "method-not-allowed"},
		{"OPTIONS * HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "400", "path-not-clean"},
		{post + "Content-Length: 2000000000\r\n\r\n", "413", "body-too-large"},
		{post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400", "body-malformed"},
		{post + "Content-Length: 9\r\n\r\nslow", "408", "body-too-slow"},
		{"POST /none HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nslow", "404", "no-route"},
	}
	for _, test := range tests {
		t.Run(test.reason+" "+strings.Fields(test.raw)[1], func(t *testing.T) {
			withFixture(t, answerOK, func(is *is.I, fixture *fixture) {
				answer := fixture.exchange(test.raw)
				is.True(strings.HasPrefix(answer, "HTTP/1.1 "+test.status))
				is.True(strings.Contains(answer, `"reason":"`+test.reason+`"`))
				is.True(strings.Contains(answer, "Godwitramp-Outcome: not-run"))
				is.Equal(fixture.upstreamReceived(), "")
			})
		})
	}
}

// A caller that sends its body or its header slowly occupies no upstream, and other
// callers are served.
func TestSlowCallersDoNotAffectOthers(t *testing.T) {
	withFixture(t, answerOK, func(is *is.I, fixture *fixture) {
		slow := fixture.connect()
		defer func() { _ = slow.Close() }()
		_, _ = io.WriteString(slow, "POST /r HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\nX-Api-Key: "+key+"\r\n\r\ns")
		header := fixture.connect()
		defer func() { _ = header.Close() }()
		_, _ = io.WriteString(header, "GET /r HT")
		synctest.Wait()
		is.Equal(fixture.upstreamReceived(), "")
		is.True(strings.HasPrefix(fixture.exchange(get("/r", "X-Api-Key: "+key)), "HTTP/1.1 200 OK"))
	})
}

// The bytes buffered for all slowly sent bodies together are limited.
func TestBufferedBodiesAreBounded(t *testing.T) {
	withFixture(t, answerOK, func(is *is.I, fixture *fixture) {
		fixture.listener.MaxConnections = 2000
		head := "POST /r HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\nX-Api-Key: " + key + "\r\n\r\n"
		var slow []net.Conn
		for range 1024 { // of 64 KB each
			conn := fixture.connect()
			_, _ = io.WriteString(conn, head)
			slow = append(slow, conn)
		}
		synctest.Wait()
		answer := fixture.exchange(head)
		is.True(strings.HasPrefix(answer, "HTTP/1.1 503"))
		is.True(strings.Contains(answer, "Godwitramp-Outcome: not-run"))
		is.True(strings.HasPrefix(fixture.exchange(get("/r", "X-Api-Key: "+key)), "HTTP/1.1 200 OK"))
		for _, conn := range slow {
			_ = conn.Close()
		}
		synctest.Wait()
		small := strings.Replace(head, "70000", "1\r\nConnection: close", 1) + "x"
		is.True(strings.HasPrefix(fixture.exchange(small), "HTTP/1.1 200 OK"))
	})
}

// A caller that doesn't read its answer occupies the upstream no longer than the timeout
// of the service.
func TestSlowReaderTimesOut(t *testing.T) {
	var answerTime time.Duration
	upstream := func(conn net.Conn, reader *bufio.Reader) {
		start := time.Now()
		_, _ = http.ReadRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n")
		_, _ = io.Copy(conn, zeros{})
		answerTime = time.Since(start)
	}
	withFixture(t, upstream, func(is *is.I, fixture *fixture) {
		var record forwarder.Record
		fixture.server.Forwarder.Report = func(ended forwarder.Record) { record = ended }
		conn := fixture.connect()
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, get("/r", "X-Api-Key: "+key))
		time.Sleep(time.Minute)
		synctest.Wait()
		is.Equal(answerTime, 5*time.Second)
		is.Equal(record.Latency, 5*time.Second)
		is.True(!record.Complete)
	})
}

func TestAnswersArePassedOnCompleteOrAborted(t *testing.T) {
	field := "X-Api-Key: " + key
	long := strings.Repeat("x", 100_000)
	tests := []struct {
		name, method, answer string
		body                 string
		truncated            bool
	}{
		{"interim answers", "GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 201 X\r\nContent-Length: 2\r\n\r\nok", "ok", false},
		{"no content", "GET", "HTTP/1.1 204 No Content\r\n\r\n", "", false},
		{"not modified", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", "", false},
		{"head", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", "", false},
		{"until the end", "GET", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", "ok", false},
		{"long", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + long, long, false},
		{"long and truncated", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 100001\r\n\r\n" + long, "", true},
		{"chunks and truncated", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "", true},
		{"chunks", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: X-Hop\r\nX-Hop: 1\r\n" +
			"Godwitramp-Outcome: not-run\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 7\r\n\r\n", "ok", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withFixture(t, answerWith(test.answer), func(is *is.I, fixture *fixture) {
				raw := fixture.exchange(strings.Replace(get("/r", field), "GET", test.method, 1))
				request := &http.Request{Method: test.method}
				answer, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), request)
				is.NoErr(err)
				body, err := io.ReadAll(answer.Body)
				is.Equal(err != nil, test.truncated)
				if !test.truncated {
					is.Equal(string(body), test.body)
				}
				is.Equal(answer.Header.Get("X-Hop"), "")
				is.Equal(answer.Header.Get(forwarder.OutcomeHeader), "") // an upstream's own is removed
				if test.name == "chunks" {
					is.Equal(answer.Trailer.Get("X-Sum"), "7")
				}
				if test.method == "HEAD" {
					is.Equal(answer.ContentLength, int64(100000))
				}
			})
		})
	}
}

// Requests that net/http refuses itself get an outcome too. Bytes of an upstream's answer
// that look like such a refusal are passed on unchanged.
func TestMalformedRequestsGetAnOutcome(t *testing.T) {
	for _, raw := range []string{
		"HELLO\r\n\r\n",
		"GET /r HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 64<<10) + "\r\n\r\n",
		"GET /r HTTP/1.1\r\n\r\n",
		"POST /r HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
		"POST /r HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n",
		"POST /r HTTP/1.1\r\nHost: h\r\nConnection: close\r\nExpect: tea\r\n\r\n",
	} {
		withFixture(t, answerOK, func(is *is.I, fixture *fixture) {
			answer := fixture.exchange(raw)
			is.True(strings.HasPrefix(answer, "HTTP/1.1 4") || strings.HasPrefix(answer, "HTTP/1.1 501"))
			is.Equal(strings.Count(answer, "Godwitramp-Outcome: not-run\r\n"), 1)
			is.Equal(fixture.upstreamReceived(), "")
		})
	}
	lookalike := "HTTP/1.1 400 Bad Request\r\n\r\n"
	body := strings.Repeat(lookalike, 4000)
	withFixture(t, answerWith(fmt.Sprintf("HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%s", len(body), body)), func(is *is.I, fixture *fixture) {
		answer := fixture.exchange(get("/r", "X-Api-Key: "+key))
		is.True(strings.HasSuffix(answer, "\r\n\r\n"+body))
		is.True(!strings.Contains(answer, forwarder.OutcomeHeader))
	})
}

func TestConnectionsOverLimitAreRefused(t *testing.T) {
	withFixture(t, answerOK, func(is *is.I, fixture *fixture) {
		var open []net.Conn
		for range maxConnections {
			open = append(open, fixture.connect())
		}
		answer, err := io.ReadAll(fixture.connect())
		is.NoErr(err)
		is.True(strings.HasPrefix(string(answer), "HTTP/1.1 503"))
		is.True(strings.Contains(string(answer), "Godwitramp-Outcome: not-run\r\nRetry-After: 1\r\n"))
		is.True(strings.HasSuffix(string(answer), `{"outcome":"not-run","reason":"too-many-connections","message":"the VM has too many connections"}`+"\n"))
		_ = open[0].Close()
		synctest.Wait()
		is.True(strings.HasPrefix(fixture.exchange(get("/r", "X-Api-Key: "+key)), "HTTP/1.1 200 OK"))
		for _, conn := range open {
			_ = conn.Close()
		}
	})
}

// An answer that an upstream sends before it has read the body reaches the caller.
func TestEarlyAnswerReachesCaller(t *testing.T) {
	upstream := func(conn net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
		_, _ = reader.WriteTo(io.Discard)
	}
	withFixture(t, upstream, func(is *is.I, fixture *fixture) {
		head := "POST /r HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 900000\r\nX-Api-Key: " + key + "\r\n\r\n"
		answer := fixture.exchange(head + strings.Repeat("x", 70_000))
		is.True(strings.HasPrefix(answer, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 413 "))
		is.True(strings.Contains(answer, "Connection: close"))
		is.True(strings.HasSuffix(answer, "\r\n\r\nno"))
		is.True(!strings.Contains(fixture.upstreamReceived(), "Expect"))
	})
}

// A body that the caller truncates doesn't reach the upstream as a shorter complete one.
func TestTruncatedBodyIsNotPassedAsComplete(t *testing.T) {
	complete := make(chan bool, 1)
	upstream := func(_ net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err == nil {
			_, err = io.Copy(io.Discard, request.Body)
		}
		complete <- err == nil
	}
	withFixture(t, upstream, func(is *is.I, fixture *fixture) {
		conn := fixture.connect()
		_, _ = io.WriteString(conn, "POST /r HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nX-Api-Key: "+key+"\r\n\r\n")
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", 70_000, strings.Repeat("x", 70_000))
		_ = conn.Close()
		is.True(!<-complete)
	})
}

// Large bodies of requests and answers are streamed in bounded memory.
func TestLargeBodiesAreStreamed(t *testing.T) {
	const size = 64 << 20
	const bound = 16 << 20
	upstream := func(conn net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		n, _ := io.Copy(io.Discard, request.Body)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", n)
		_, _ = io.CopyN(conn, zeros{}, n)
	}
	withFixture(t, upstream, func(is *is.I, fixture *fixture) {
		fixture.discard = true
		conn := fixture.connect()
		go func() {
			_, _ = fmt.Fprintf(conn, "POST /r HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\nX-Api-Key: %s\r\n\r\n", size, key)
			_, _ = io.CopyN(conn, zeros{}, size)
		}()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		n, err := io.Copy(io.Discard, conn)
		runtime.ReadMemStats(&after)
		is.NoErr(err)
		is.True(n > size)
		is.True(after.TotalAlloc-before.TotalAlloc < bound)
	})
}

// zeros is an infinite body.
type zeros struct{}

func (zeros) Read(data []byte) (int, error) { return len(data), nil }

func TestLeavingVMClosesConnectionAfterAnswer(t *testing.T) {
	withFixture(t, answerOK, func(is *is.I, fixture *fixture) {
		fixture.server.Leaving = func() bool { return true }
		raw := strings.Replace(get("/r", "X-Api-Key: "+key), "Connection: close\r\n", "", 1)
		answer := fixture.exchange(raw) // ends only if the server closes
		is.True(strings.HasPrefix(answer, "HTTP/1.1 200 OK"))
		is.True(strings.Contains(answer, "Connection: close"))
	})
}

// A request that outlasts a planned stop, one that may not run twice among them, must get an answer
// that says whether it may have run.
func TestRequestIsCutWithoutAnAnswerAtTheEndOfAStop(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		hang := func(conn net.Conn, reader *bufio.Reader) { _, _ = io.Copy(io.Discard, reader) }
		withFixture(t, hang, func(is *is.I, fixture *fixture) {
			go func() {
				time.Sleep(time.Second)
				fixture.giveUp()
			}()
			started := time.Now()
			answer := fixture.exchange(strings.Replace(get("/r", "X-Api-Key: "+key, "", ""), "GET", method, 1))
			is.Equal(time.Since(started), time.Second) // its route's time-out is 5 s
			is.True(strings.HasPrefix(answer, "HTTP/1.1 504"))
			is.True(strings.Contains(answer, "Godwitramp-Outcome: unknown"))
		})
	}
}
