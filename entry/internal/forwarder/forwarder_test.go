package forwarder_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/router"
	"godwitramp.example/entry/internal/forwarder"
	"godwitramp.example/shell/exchanger"
)

// fault is how an upstream behaves on a connection.
type fault int

const (
	healthy fault = iota
	refused
	closedBefore
	closedAfterByte
	closedAfterRun
	truncatedHeader
	truncatedBody
	silent
	shed
	wrongRequestID
	internalError
	unavailable // answers 503 but runs the request
	shedTwice
	slow
	leaving
	closing503
	closing503RetryAfter  // closes the connection, but sends Retry-After
	fullAfterWarmUp       // healthy for warmUp requests, then sheds all
	shedsTwiceAfterWarmUp // healthy for warmUp requests, then sheds two
)

const warmUp = 30

// fleet simulates the targets and is a picker that takes the first untried one.
type fleet struct {
	faults      []fault
	mutex       sync.Mutex
	picked      int
	runs        int
	received    int
	requests    []*http.Request
	results     []router.Result
	slowReports []time.Duration
}

func (*fleet) SlowThreshold(configurator.Path) time.Duration           { return 100 * time.Millisecond }
func (*fleet) WaitTime(configurator.Path, time.Duration) time.Duration { return 0 }
func (fleet *fleet) ReportPending(_ configurator.Path, soFar time.Duration, fresh bool, _ time.Duration) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.slowReports = append(fleet.slowReports, soFar)
	return fresh
}

func (fleet *fleet) Pick(info router.PickInfo, _ *rand.Rand) (configurator.Target, bool) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, target := range info.Service.Targets {
		if !slices.Contains(info.Tried, target.Path) {
			fleet.picked++
			return target, true
		}
	}
	return configurator.Target{}, false
}

func (fleet *fleet) Done(result router.Result, _ time.Duration) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.results = append(fleet.results, result)
}

func (fleet *fleet) service() *configurator.ServiceTargets {
	service := &configurator.ServiceTargets{Service: configurator.Service{
		Path: "/a/services/s", Timeout: 10 * time.Second, ObjectiveLatency: time.Second,
	}}
	for i := range fleet.faults {
		service.Targets = append(service.Targets, configurator.Target{
			Path: configurator.Path(fmt.Sprintf("/a/services/s/targets/%d", i)), Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.1:%d", i+1)), Slots: 4,
		})
	}
	return service
}

func (fleet *fleet) dial(_ context.Context, _, address string) (net.Conn, error) {
	fault := fleet.faults[netip.MustParseAddrPort(address).Port()-1]
	if fault == refused {
		return nil, errors.New("connection refused")
	}
	clientConn, serverConn := net.Pipe()
	go fleet.serve(serverConn, fault)
	return clientConn, nil
}

// serve simulates the target's side of one connection.
func (fleet *fleet) serve(conn net.Conn, fault fault) {
	defer func() { _ = conn.Close() }()
	switch fault {
	case closedBefore:
		return
	case closedAfterByte:
		n, _ := conn.Read(make([]byte, 1))
		fleet.count(nil, n)
		return
	}
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		fleet.count(nil, 1)
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if fault == shedTwice && fleet.received <= 2 {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nGodwitramp-Outcome: not-run\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if fault == fullAfterWarmUp && fleet.received > warmUp || fault == shedsTwiceAfterWarmUp && fleet.received > warmUp && fleet.received <= warmUp+2 {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nGodwitramp-Outcome: not-run\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if fault != shed {
			fleet.count(request, 0)
		}
		if !answer(conn, request, fault) {
			return
		}
	}
}

func answer(conn net.Conn, request *http.Request, fault fault) bool {
	id := request.Header.Get(forwarder.RequestIDHeader)
	switch fault {
	case closedAfterRun:
		return false
	case truncatedHeader:
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Le")
		return false
	case truncatedBody:
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nwh")
		return false
	case silent:
		_, _ = conn.Read(make([]byte, 1))
		return false
	case shed:
		_, err := io.WriteString(conn, "HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nGodwitramp-Outcome: not-run\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case closing503, closing503RetryAfter:
		extra := ""
		if fault == closing503RetryAfter {
			extra = "Retry-After: 2\r\n"
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Away\r\n"+extra+"Connection: close\r\nContent-Length: 0\r\n\r\n")
		return false
	case fullAfterWarmUp, shedsTwiceAfterWarmUp:
		time.Sleep(20 * time.Millisecond)
	case slow:
		time.Sleep(300 * time.Millisecond)
	case leaving:
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nGodwitramp-Leaving: yes\r\nContent-Length: 6\r\n\r\nwhole\n")
		return err == nil
	case unavailable:
		_, err := io.WriteString(conn, "HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case internalError:
		_, err := io.WriteString(conn, "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case wrongRequestID:
		id += "0"
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nGodwitramp-Request-Id: %s\r\nContent-Length: 6\r\n\r\nwhole\n", id)
	return err == nil
}

func (fleet *fleet) count(request *http.Request, n int) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.received += n
	if request != nil {
		fleet.runs++
		fleet.requests = append(fleet.requests, request)
	}
}

func (fleet *fleet) forwarder() *forwarder.Forwarder {
	return &forwarder.Forwarder{Picker: fleet, Exchanger: &exchanger.Exchanger{Dial: fleet.dial}}
}

// forward sends one request and waits until all its attempts have ended.
func (fleet *fleet) forward(t *testing.T, sender *forwarder.Forwarder, request *http.Request) *http.Response {
	t.Helper()
	recorder := httptest.NewRecorder()
	sender.Forward(recorder, request, forwarder.Job{Service: fleet.service(), RequestID: "id"})
	sender.Exchanger.Close()
	synctest.Wait()
	if got := len(fleet.results); got != fleet.picked {
		t.Errorf("%d targets picked, but %d results reported", fleet.picked, got)
	}
	return recorder.Result()
}

func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	postStatuses := map[fault]int{
		healthy: 200, refused: 200, closedBefore: 200, closedAfterByte: 502, closedAfterRun: 502, truncatedHeader: 502, truncatedBody: 502,
		silent: 504, shed: 200, wrongRequestID: 502, internalError: 500,
		unavailable: 503,
	}
	for first, status := range postStatuses {
		for _, method := range []string{"POST", "PATCH", "GET", "PUT"} {
			for _, body := range []string{"", "booking"} {
				t.Run(fmt.Sprint(method, body, first), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						is := is.New(t)
						fleet := &fleet{faults: []fault{first, healthy}}
						request := httptest.NewRequest(method, "/x", strings.NewReader(body))
						request.Header.Set("Idempotency-Key", "1")
						answer := fleet.forward(t, fleet.forwarder(), request)
						outcome := answer.Header.Get(forwarder.OutcomeHeader)
						if method == "GET" || method == "PUT" {
							is.Equal(answer.StatusCode, 200)
						} else {
							is.Equal(answer.StatusCode, status)
							is.True(fleet.runs <= 1)
						}
						if answer.StatusCode == 200 {
							content, err := io.ReadAll(answer.Body)
							is.NoErr(err)
							is.Equal(string(content), "whole\n")
							is.Equal(fleet.requests[0].Header.Get("Idempotency-Key"), "1") // upstreams use it
						} else if first != internalError && first != unavailable { // these pass the upstream's answer on
							is.Equal(outcome, "unknown")
							is.Equal(answer.Header.Get("Retry-After"), "") // a retry isn't safe
						}
					})
				})
			}
		}
	}
}

func TestNotRunIsReportedOnlyIfTrue(t *testing.T) {
	tests := []struct {
		name    string
		method  string
		faults  []fault
		status  int
		outcome string
	}{
		{"no target", "POST", nil, 503, "not-run"},
		{"no connection", "POST", []fault{refused, refused}, 502, "not-run"},
		{"closed before the request", "POST", []fault{closedBefore, refused}, 502, "not-run"},
		{"all shed", "POST", []fault{shed, shed}, 503, "not-run"},
		{"one may have run, the other shed", "GET", []fault{closedAfterRun, shed}, 503, "unknown"},
		{"one may have run, the other can't be reached", "GET", []fault{closedAfterRun, refused}, 502, "unknown"},
		{"one wrong, the other can't be reached", "GET", []fault{wrongRequestID, refused}, 502, "unknown"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fleet := &fleet{faults: test.faults}
				start := time.Now()
				answer := fleet.forward(t, fleet.forwarder(), httptest.NewRequest(test.method, "/x", nil))
				is.Equal(answer.StatusCode, test.status)
				is.Equal(answer.Header.Get(forwarder.OutcomeHeader), test.outcome)
				is.True(answer.Header.Get("Retry-After") != "")
				is.Equal(time.Since(start), time.Duration(0)) // answered at once
				if test.outcome == "not-run" {
					is.Equal(fleet.runs, 0)
				}
			})
		})
	}
}

func TestCancelledRequestIsNotRetried(t *testing.T) {
	for _, method := range []string{"POST", "GET"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			fleet := &fleet{faults: []fault{silent, silent}}
			ctx, cancel := context.WithTimeoutCause(t.Context(), time.Hour, nil)
			time.AfterFunc(time.Second/2, cancel)
			sender := fleet.forwarder()
			var record forwarder.Record
			sender.Report = func(reported forwarder.Record) { record = reported }
			fleet.forward(t, sender, httptest.NewRequestWithContext(ctx, method, "/x", nil))
			is.Equal(fleet.runs, 1)
			is.Equal(fleet.results[0].Kind, router.Cancelled)
			is.True(record.CallerGone) // no evidence about the service
		})
	}
}

func TestRequestWithWithdrawnKeyIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := &fleet{faults: []fault{healthy}}
		recorder := httptest.NewRecorder()
		fleet.forwarder().Forward(recorder, httptest.NewRequest("GET", "/x", nil), forwarder.Job{
			Service: fleet.service(), Recheck: func() bool { return false },
		})
		is.Equal(recorder.Code, 401)
		is.Equal(recorder.Header().Get(forwarder.OutcomeHeader), "not-run")
		is.Equal(fleet.received, 0)
	})
}

func TestLeavingHeaderIsReportedToPicker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := &fleet{faults: []fault{leaving}}
		answer := fleet.forward(t, fleet.forwarder(), httptest.NewRequest("GET", "/x", nil))
		is.Equal(answer.StatusCode, 200)
		is.Equal(fleet.results[0].Kind, router.Leaving)
		is.Equal(answer.Header.Get(forwarder.LeavingHeader), "")
	})
}

func TestRetryBudgetLimitsAttemptsWhenAllShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const requests = 500
		fleet := &fleet{faults: []fault{shed, shed, shed, shed}}
		sender := fleet.forwarder()
		for range requests {
			sender.Forward(httptest.NewRecorder(), httptest.NewRequest("GET", "/x", nil), forwarder.Job{Service: fleet.service()})
		}
		sender.Exchanger.Close()
		t.Logf("%d attempts for %d requests", fleet.received, requests)
		is.True(fleet.received < requests*12/10)
	})
}

// A request that all targets shed is retried after a short backoff.
func TestShedRequestIsRetriedAfterBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := &fleet{faults: []fault{shedTwice}}
		answer := fleet.forward(t, fleet.forwarder(), httptest.NewRequest("POST", "/x", strings.NewReader("booking")))
		is.Equal(answer.StatusCode, 200)
		is.Equal(fleet.runs, 1)
	})
}

// One organisation fills the queue of a service. A request of another organisation is
// served next.
func TestFullQueueAffectsOnlyItsOrganisation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := &fleet{faults: []fault{slow}}
		service := fleet.service()
		service.Targets[0].Slots = 1
		sender := fleet.forwarder()
		defer sender.Exchanger.Close()
		start := time.Now()
		var group sync.WaitGroup
		send := func(organisation configurator.Path) (*httptest.ResponseRecorder, *time.Duration) {
			recorder, latency := httptest.NewRecorder(), new(time.Duration)
			group.Go(func() {
				sender.Forward(recorder, httptest.NewRequest("POST", "/x", nil), forwarder.Job{
					Service: service, Organisation: &configurator.Organisation{Path: organisation},
				})
				*latency = time.Since(start)
			})
			synctest.Wait()
			return recorder, latency
		}
		for range 9 { // one in flight and eight that wait
			send("/a/organisations/large")
		}
		refusal, refusalLatency := send("/a/organisations/large")
		is.Equal(refusal.Code, 503)
		is.Equal(refusal.Header().Get(forwarder.OutcomeHeader), "not-run")
		is.Equal(refusal.Header().Get("Retry-After"), "1")
		is.Equal(*refusalLatency, time.Duration(0))
		small, latency := send("/a/organisations/small")
		group.Wait()
		is.Equal(small.Code, 200)
		is.Equal(*latency, 600*time.Millisecond)
		is.Equal(fleet.runs, 4) // the others were refused after a wait of one second
		is.Equal(time.Since(start), 1200*time.Millisecond)
	})
}

// An idempotent request on a connection that went silent is hedged over a new one, and
// the silent connection is no evidence against the target.
func TestHedgeReplacesSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := &fleet{faults: []fault{healthy}}
		sender := fleet.forwarder()
		var conns []*lossyConn
		sender.Exchanger.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := fleet.dial(ctx, network, address)
			conns = append(conns, &lossyConn{Conn: conn, closed: make(chan struct{})})
			return conns[len(conns)-1], err
		}
		send := func() time.Duration {
			start := time.Now()
			recorder := httptest.NewRecorder()
			sender.Forward(recorder, httptest.NewRequest("GET", "/x", nil), forwarder.Job{Service: fleet.service()})
			is.Equal(recorder.Code, 200)
			return time.Since(start)
		}
		for range 20 {
			is.Equal(send(), time.Duration(0))
		}
		is.Equal(len(conns), 1)
		conns[0].silent = true
		wait := send()
		t.Logf("waited %v behind a silent connection; the service's timeout is %v", wait, fleet.service().Timeout)
		is.True(wait <= 20*time.Millisecond)
		is.Equal(len(conns), 2)
		select {
		case <-conns[0].closed:
		default:
			t.Error("the silent connection is still open")
		}
		worst := router.Result{Kind: router.Good}
		for _, result := range fleet.results {
			if result.Kind != router.Good {
				worst = result
			}
		}
		is.Equal(worst.Kind, router.ConnectionLost)
		is.True(!worst.FreshConnection)
		is.Equal(send(), time.Duration(0))
		sender.Exchanger.Close()
		synctest.Wait()
	})
}

func TestHedgesReplaceManySilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const count = 30
		fleet := &fleet{faults: []fault{slow}}
		service := fleet.service()
		service.Targets[0].Slots = 100
		sender := fleet.forwarder()
		defer sender.Exchanger.Close()
		var mutex sync.Mutex
		var conns []*lossyConn
		sender.Exchanger.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := fleet.dial(ctx, network, address)
			mutex.Lock()
			defer mutex.Unlock()
			conns = append(conns, &lossyConn{Conn: conn, closed: make(chan struct{})})
			return conns[len(conns)-1], err
		}
		send := func() time.Duration {
			start := time.Now()
			var group sync.WaitGroup
			for range count {
				group.Go(func() {
					recorder := httptest.NewRecorder()
					sender.Forward(recorder, httptest.NewRequest("GET", "/x", nil), forwarder.Job{Service: service})
					if recorder.Code != 200 {
						t.Errorf("status %d", recorder.Code)
					}
				})
			}
			group.Wait()
			return time.Since(start)
		}
		is.Equal(send(), 300*time.Millisecond)
		is.Equal(len(conns), count)
		for _, conn := range conns {
			conn.silent = true
		}
		worst := send()
		t.Logf("%d requests behind silent connections: worst wait %v, timeout %v", count, worst, service.Timeout)
		is.True(worst < 3*time.Second)
	})
}

// The caller's deadline is passed on as the remaining time, and is enforced.
func TestDeadlineIsPassedOnAndEnforced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := &fleet{faults: []fault{closedAfterRun, silent}}
		request := httptest.NewRequest("GET", "/x", nil)
		request.Header.Set(forwarder.DeadlineHeader, "500")
		start := time.Now()
		sender := fleet.forwarder()
		dial := sender.Exchanger.Dial
		sender.Exchanger.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			time.Sleep(100 * time.Millisecond)
			return dial(ctx, network, address)
		}
		answer := fleet.forward(t, sender, request)
		is.Equal(answer.StatusCode, 504)
		is.Equal(time.Since(start), 500*time.Millisecond)
		is.Equal(len(fleet.requests), 2)
		is.Equal(fleet.requests[0].Header.Get(forwarder.DeadlineHeader), "400")
		is.Equal(fleet.requests[1].Header.Get(forwarder.DeadlineHeader), "300")
	})
}

// lossyConn is a connection that drops writes once silent is set.
type lossyConn struct {
	net.Conn
	silent bool
	closed chan struct{}
	once   sync.Once
}

func (conn *lossyConn) Write(data []byte) (int, error) {
	if conn.silent {
		return len(data), nil
	}
	return conn.Conn.Write(data)
}

func (conn *lossyConn) Close() error {
	conn.once.Do(func() { close(conn.closed) })
	return conn.Conn.Close()
}
