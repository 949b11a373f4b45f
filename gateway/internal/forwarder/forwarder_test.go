package forwarder_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"godwitramp.example/gateway/internal/forwarder"
	"godwitramp.example/gateway/internal/receiver"
	"godwitramp.example/shell/exchanger"
)

// handler serves calls with a function.
type handler func(ctx context.Context, call *receiver.Call) receiver.Reply

func (handler handler) Serve(ctx context.Context, call *receiver.Call) receiver.Reply {
	return handler(ctx, call)
}

// Refuse returns an answer without a body.
func (handler handler) Refuse(status int, _ string) receiver.Reply {
	return receiver.Reply{Status: status}
}

// start runs the forwarder of one VM.
func start(t *testing.T, key string, serve handler) *forwarder.Forwarder {
	t.Helper()
	return startWith(t, key, serve, net.Listen)
}

// startWith runs the forwarder of one VM on the listener that listen returns.
func startWith(t *testing.T, key string, serve handler, listen func(network, address string) (net.Listener, error)) *forwarder.Forwarder {
	t.Helper()
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := reserved.Addr().String()
	_ = reserved.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	vm := &forwarder.Forwarder{
		Name: "vm-" + key, Address: address, Key: func() []byte { return []byte(key) }, Handler: serve, MaxBytes: 8 << 20, Log: logrus.NewEntry(log),
	}
	vm.Open()
	vm.SetListen(listen)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- vm.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	for { // until it listens
		connection, err := net.Dial("tcp", address)
		if err == nil {
			_ = connection.Close()
			return vm
		}
		time.Sleep(time.Millisecond)
	}
}

func call(body []byte) *receiver.Call {
	request := httptest.NewRequest(http.MethodPost, "http://a.example/jobs/a%2Fb?x=1", nil)
	request.Header = http.Header{"X-Attempt-Id": {"a1"}, "X-Credential": {"key"}, "X-Remaining-Milliseconds": {"5000"}}
	return &receiver.Call{Request: request, Target: "/jobs/a%2Fb?x=1", Body: body, Received: time.Now()}
}

func unused(context.Context, *receiver.Call) receiver.Reply { return receiver.Reply{} }

func TestRequestAndAnswerArriveWhole(t *testing.T) {
	is := is.New(t)
	body := bytes.Repeat([]byte("body"), 1<<18)
	var served *receiver.Call
	other := start(t, "key", func(_ context.Context, call *receiver.Call) receiver.Reply {
		served = call
		return receiver.Reply{
			Status: http.StatusCreated, Header: http.Header{"X-Response-Signature": {"s"}, "Empty": {""}}, Body: call.Body, FromTarget: true, NotRun: true,
		}
	})
	vm := start(t, "key", unused)
	for range 2 { // the second on the kept connection
		reply, err := vm.Forward(context.Background(), other.Address, call(body), forwarder.Conditions{Configuration: 7, Targets: 2, Remaining: 1500 * time.Millisecond})
		is.NoErr(err)
		is.Equal(reply.Status, http.StatusCreated)
		is.Equal(reply.Header, http.Header{"X-Response-Signature": {"s"}, "Empty": {""}})
		is.True(bytes.Equal(reply.Body, body))
		is.True(reply.FromTarget)
		is.True(reply.NotRun)
		is.Equal(served.Target, "/jobs/a%2Fb?x=1")
		is.Equal(served.Request.URL.Path, "/jobs/a/b")
		is.Equal(served.Request.Host, "a.example")
		is.Equal(served.Request.Method, http.MethodPost)
		is.Equal(served.Request.Header["X-Credential"], []string{"key"})
		is.Equal(served.Request.Header["X-Remaining-Milliseconds"], []string{"1500"})
		is.Equal(served.From, vm.Name)
		is.Equal(served.Targets, 2)
		is.Equal(served.Configuration, uint64(7))
	}
}

// Nobody without the fleet's key may get a request past the checks of the VM that passes it on, nor
// take one over.
func TestStrangersCanForwardRequests(t *testing.T) {
	is := is.New(t)
	served := false
	other := start(t, "key", func(context.Context, *receiver.Call) receiver.Reply {
		served = true
		return receiver.Reply{Status: http.StatusOK}
	})
	stranger := start(t, "another key", unused)
	for range 2 {
		_, err := stranger.Forward(context.Background(), other.Address, call(nil), forwarder.Conditions{Targets: 1, Remaining: time.Second})
		is.True(err != nil)
		_, err = other.Forward(context.Background(), stranger.Address, call(nil), forwarder.Conditions{Targets: 1, Remaining: time.Second})
		var failure *exchanger.Error
		is.True(errors.As(err, &failure))
		is.True(!failure.Written) // the key of the caller has not left the VM
	}
	for _, client := range []*http.Client{
		{Timeout: time.Second, Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}, {Timeout: time.Second},
	} {
		for _, scheme := range []string{"https", "http"} {
			response, err := client.Post(fmt.Sprintf("%s://%s/forward", scheme, other.Address), "", bytes.NewReader([]byte("x")))
			is.True(err != nil || response.StatusCode == http.StatusBadRequest && scheme == "http") // "HTTP request to an HTTPS server"
			if err == nil {
				_ = response.Body.Close()
			}
		}
	}
	is.True(!served)
}

// An answer that gets lost between the VMs may belong to a request that has run.
func TestLostAnswerCountsAsNotRun(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	running := make(chan struct{})
	ended := make(chan error, 1)
	other := start(t, "key", func(ctx context.Context, _ *receiver.Call) receiver.Reply {
		close(running)
		<-ctx.Done()
		ended <- context.Cause(ctx)
		return receiver.Reply{Abort: true}
	})
	vm := start(t, "key", unused)
	go func() {
		<-running
		cancel() // the caller leaves
	}()
	reply, err := vm.Forward(ctx, other.Address, call(nil), forwarder.Conditions{Targets: 1, Remaining: time.Minute})
	var failure *exchanger.Error
	// The other VM may answer that it has given up before the connection is closed on both sides.
	is.True(errors.As(err, &failure) && failure.Written || err == nil && reply.Abort)
	is.Equal(<-ended, context.Canceled)
}

func TestVMThatIsGoneCountsAsNotRun(t *testing.T) {
	is := is.New(t)
	vm := start(t, "key", unused)
	_, err := vm.Forward(context.Background(), "127.0.0.1:1", call(nil), forwarder.Conditions{Targets: 1, Remaining: time.Second})
	var failure *exchanger.Error
	is.True(errors.As(err, &failure))
	is.True(!failure.Written)
}

// A stop ends what runs for other VMs, and its cause says so.
func TestGiveUpLeavesRequestsOfOtherVMs(t *testing.T) {
	is := is.New(t)
	running := make(chan struct{})
	other := start(t, "key", func(ctx context.Context, _ *receiver.Call) receiver.Reply {
		close(running)
		<-ctx.Done()
		return receiver.Reply{Status: http.StatusBadGateway, Abort: !errors.Is(context.Cause(ctx), receiver.ErrGivenUp)}
	})
	vm := start(t, "key", unused)
	go func() {
		<-running
		other.GiveUp()
	}()
	reply, err := vm.Forward(context.Background(), other.Address, call(nil), forwarder.Conditions{Targets: 1, Remaining: time.Minute})
	is.NoErr(err)
	is.Equal(reply.Status, http.StatusBadGateway)
	is.True(!reply.Abort)
	for other.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// A request that doesn't fit in the memory for requests of other VMs is refused, others are served.
func TestLongRequestsOfOtherVMsFillTheMemory(t *testing.T) {
	is := is.New(t)
	other := start(t, "key", func(_ context.Context, call *receiver.Call) receiver.Reply {
		return receiver.Reply{Status: http.StatusOK, FromTarget: true}
	})
	vm := start(t, "key", unused)
	reply, err := vm.Forward(context.Background(), other.Address, call(make([]byte, 12<<20)), forwarder.Conditions{Targets: 1, Remaining: time.Minute})
	is.NoErr(err)
	is.Equal(reply.Status, http.StatusServiceUnavailable)
	reply, err = vm.Forward(context.Background(), other.Address, call(make([]byte, 1<<20)), forwarder.Conditions{Targets: 1, Remaining: time.Minute})
	is.NoErr(err)
	is.Equal(reply.Status, http.StatusOK)
}

// writeListener accepts connections that call beforeWrite.
type writeListener struct {
	net.Listener
	beforeWrite func()
}

func (listener writeListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	return writeConn{conn, listener.beforeWrite}, err
}

type writeConn struct {
	net.Conn
	beforeWrite func()
}

func (conn writeConn) Write(data []byte) (int, error) {
	conn.beforeWrite()
	return conn.Conn.Write(data)
}

// A VM stops once no request of other VMs is in progress: one whose answer isn't written yet must count, or the
// answer is cut.
func TestStopCutsTheLastAnswerToAnotherVM(t *testing.T) {
	is := is.New(t)
	var other *forwarder.Forwarder
	var served, early atomic.Bool
	other = startWith(t, "key", func(context.Context, *receiver.Call) receiver.Reply {
		served.Store(true)
		return receiver.Reply{Status: http.StatusOK, Body: make([]byte, 2000)}
	}, func(network, address string) (net.Listener, error) {
		listener, err := net.Listen(network, address)
		return writeListener{listener, func() {
			if served.Load() && other.InFlight() == 0 {
				early.Store(true)
			}
		}}, err
	})
	vm := start(t, "key", unused)
	reply, err := vm.Forward(t.Context(), other.Address, call(nil), forwarder.Conditions{Targets: 1, Remaining: time.Second})
	is.NoErr(err)
	is.Equal(len(reply.Body), 2000)
	is.True(!early.Load())
	for other.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
}
