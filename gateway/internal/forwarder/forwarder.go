// Package forwarder passes requests on to other VMs of the fleet, and serves those that others pass
// on.
//
// VMs authenticate each other by the fleet's key, over TLS. A request is passed on whole, with the
// caller's key, and checked again by the VM that serves it, whose configuration may differ. If the
// VM that has passed it on ends the connection, the request is given up at its target too.
//
// # Usage
//
//	forwarder := &forwarder.Forwarder{Name: name, Address: address, Key: key, Handler: dispatcher, Log: log}
//	forwarder.Open()
//	go forwarder.Run(ctx)
//	reply, err := forwarder.Forward(ctx, peerAddress, call, conditions)
package forwarder

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"godwitramp.example/gateway/internal/receiver"
	"godwitramp.example/platform"
	"godwitramp.example/shell/bufferer"
	"godwitramp.example/shell/certifier"
	"godwitramp.example/shell/exchanger"
	"godwitramp.example/shell/recoverer"
)

const (
	path = "/forward"
	// dialTimeout bounds the connection to another VM, including the exchange of certificates.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout ends a connection to a VM that acknowledges nothing.
	unackedTimeout = time.Second
	// maxMessageBytes limits one request or answer: the longest answer of a target, with its header.
	maxMessageBytes   = 48 << 20
	readHeaderTimeout = 2 * time.Second
	idleTimeout       = 40 * time.Second // longer than that of the exchanger
)

// Forwarder exchanges requests with other VMs. Fields are set before Open.
type Forwarder struct {
	// Name is the name of this VM.
	Name string
	// Address is the IP address and TCP port on which the VM accepts requests of other VMs.
	Address string
	// Key returns the fleet's key, nil while it isn't known.
	Key func() []byte
	// Handler serves the requests of other VMs.
	Handler receiver.Handler
	// MaxBytes limits the total size of the requests and answers in memory. Zero means no limit.
	MaxBytes int64
	Log      *logrus.Entry

	// listen is net.Listen but in tests.
	listen func(network, address string) (net.Listener, error)
	// sent is the number of requests that were passed on.
	sent atomic.Uint64
	// peers sends requests to other VMs.
	peers exchanger.Exchanger
	// messages reads requests and answers of other VMs.
	messages bufferer.Bufferer

	mutex sync.Mutex
	// config is the TLS configuration for configKey.
	config    *tls.Config
	configKey []byte
	// running are the functions that give up the requests of other VMs that are in progress.
	running map[int64]context.CancelCauseFunc
	next    int64
	// active are the connections of other VMs with a request whose answer the system hasn't got yet.
	active map[net.Conn]struct{}
}

// request is a request that is passed on.
type request struct {
	// ID is another one for each request of a forwarder, never 0. VMs of the first versions don't set it.
	ID                         uint64
	From, Method, Target, Host string
	Header                     http.Header
	Body                       []byte
	// Remaining is how much longer the VM that has passed it on waits.
	Remaining time.Duration
	// Configuration is the version of the configuration by which that VM has taken it. It is 0 if the request has
	// home regions, and RestrictedConfiguration is that version: VMs up to f78941f don't know home regions, and
	// refuse any version but the one that they have in force.
	Configuration, RestrictedConfiguration uint64
	// Targets is the number of targets that it may be sent to.
	Targets int
}

// Conditions are those on which another VM serves a request.
type Conditions struct {
	// Configuration is the version of the configuration that it must have in force.
	Configuration uint64
	// Restricted is true if the request has home regions.
	Restricted bool
	// Targets is the number of targets that it may send the request to.
	Targets int
	// Remaining is how much longer this VM waits.
	Remaining time.Duration
	// BeforeWrite, if set, is called right before the request is written, which is not if it returns an error.
	BeforeWrite func() error
}

// reply is the answer to a request.
type reply struct {
	// ID is that of the request. VMs of the first versions don't repeat it.
	ID         uint64
	Status     int
	Header     http.Header
	Body       []byte
	Abort      bool
	FromTarget bool
	// NotRun is true if the request did not and will not run. VMs up to f78941f don't say so.
	NotRun bool
	// Targets is the number of targets that the request was sent to.
	Targets int
	// OutOfReach is true if the VM can't reach the targets.
	OutOfReach bool
}

// Run serves requests of other VMs until the context ends.
func (forwarder *Forwarder) Run(ctx context.Context) error {
	listener, err := forwarder.listen("tcp", forwarder.Address)
	if err != nil {
		return fmt.Errorf("listen for requests of other VMs: %w", err)
	}
	router := echo.New()
	router.POST(path, forwarder.handle)
	errorLog := forwarder.Log.WriterLevel(logrus.DebugLevel)
	defer func() { _ = errorLog.Close() }()
	server := &http.Server{
		Handler: router, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, ErrorLog: stdlog.New(errorLog, "", 0),
		ConnState: forwarder.setState,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { _ = forwarder.peers.Run(ctx) })
	config := &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return forwarder.tlsConfig() },
	}
	if err := server.Serve(tls.NewListener(listener, config)); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve requests of other VMs: %w", err)
	}
	return nil
}

var errNoKey = errors.New("the fleet's key is not known")

// tlsConfig returns the TLS configuration for the fleet's present key.
func (forwarder *Forwarder) tlsConfig() (*tls.Config, error) {
	key := forwarder.Key()
	if len(key) == 0 {
		return nil, errNoKey
	}
	forwarder.mutex.Lock()
	defer forwarder.mutex.Unlock()
	if forwarder.config == nil || !bytes.Equal(key, forwarder.configKey) {
		config, err := certifier.FromKey(key)
		if err != nil {
			return nil, fmt.Errorf("prepare TLS between VMs: %w", err)
		}
		forwarder.config, forwarder.configKey = config, bytes.Clone(key)
	}
	return forwarder.config, nil
}

// Open prepares the forwarder. Call it before all other methods.
func (forwarder *Forwarder) Open() {
	forwarder.listen = net.Listen
	forwarder.messages.Limit = forwarder.MaxBytes
	dialer := &net.Dialer{Control: exchanger.UnackedTimeout(unackedTimeout).Control}
	forwarder.peers.DialTimeout = dialTimeout
	forwarder.peers.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		config, err := forwarder.tlsConfig()
		if err != nil {
			return nil, err
		}
		raw, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("connect to VM: %w", err)
		}
		connection := tls.Client(raw, config)
		if err := connection.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, fmt.Errorf("authenticate VM: %w", err)
		}
		return connection, nil
	}
}

var errOtherAnswer = errors.New("the answer is to another request")

// Forward passes a request on to the VM at an address, and returns its answer. An error is an
// *exchanger.Error; the request may have run if that says that something was written.
func (forwarder *Forwarder) Forward(ctx context.Context, address string, call *receiver.Call, conditions Conditions) (receiver.Reply, error) {
	message := forwarder.request(call, conditions)
	encoded, err := msgpack.Marshal(&message)
	if err != nil {
		return receiver.Reply{}, &exchanger.Error{Err: fmt.Errorf("encode request: %w", err)}
	}
	httpRequest := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Path: path}, Host: address, Header: http.Header{"User-Agent": {""}},
		ContentLength: int64(len(encoded)), Body: io.NopCloser(bytes.NewReader(encoded)),
	}
	answer, err := forwarder.peers.Do(ctx, exchanger.Call{Address: address, Request: httpRequest, BeforeWrite: conditions.BeforeWrite})
	if err != nil {
		return receiver.Reply{}, err
	}
	defer answer.Close()
	body, release, err := forwarder.messages.ReadAll(io.LimitReader(answer.Response.Body, maxMessageBytes))
	defer release()
	var received reply
	if err == nil && answer.Response.StatusCode != http.StatusOK {
		err = fmt.Errorf("VM answered %d", answer.Response.StatusCode)
	}
	if err == nil {
		err = msgpack.Unmarshal(body, &received)
	}
	if err == nil && received.ID != 0 && received.ID != message.ID {
		err = errOtherAnswer
	}
	if err != nil {
		return receiver.Reply{}, &exchanger.Error{
			Written: true, FreshConnection: answer.FreshConnection, Answered: true, Malformed: true, Err: fmt.Errorf("read answer of VM: %w", err),
		}
	}
	return receiver.Reply{
		Status: received.Status, Header: received.Header, Body: received.Body, Abort: received.Abort, FromTarget: received.FromTarget,
		NotRun: received.NotRun, Targets: received.Targets, OutOfReach: received.OutOfReach,
	}, nil
}

// request returns the message that passes a request on.
func (forwarder *Forwarder) request(call *receiver.Call, conditions Conditions) request {
	message := request{
		ID: forwarder.sent.Add(1), From: forwarder.Name, Method: call.Request.Method, Target: call.Target, Host: call.Request.Host, Header: call.Request.Header,
		Body: call.Body, Remaining: conditions.Remaining, Configuration: conditions.Configuration, Targets: conditions.Targets,
	}
	if conditions.Restricted {
		message.Configuration, message.RestrictedConfiguration = 0, conditions.Configuration
	}
	return message
}

// handle serves a request of another VM.
func (forwarder *Forwarder) handle(context echo.Context) error {
	body, release, err := forwarder.messages.ReadAll(io.LimitReader(context.Request().Body, maxMessageBytes))
	defer release()
	if errors.Is(err, bufferer.ErrTooLarge) {
		return forwarder.answer(context, 0, forwarder.Handler.Refuse(http.StatusServiceUnavailable, "bodies-too-large"))
	}
	if err != nil {
		forwarder.Log.WithError(err).WithField("bytes", len(body)).Warn("forwarded-request-cut")
		return context.NoContent(http.StatusBadRequest)
	}
	var received request
	if err := msgpack.Unmarshal(body, &received); err != nil {
		forwarder.Log.WithError(err).Warn("forwarded-request-malformed")
		return context.NoContent(http.StatusBadRequest)
	}
	call, err := received.call()
	if err != nil {
		forwarder.Log.WithError(err).WithField("from", received.From).Warn("forwarded-request-malformed")
		return context.NoContent(http.StatusBadRequest)
	}
	ctx, done := forwarder.begin(context.Request().Context())
	defer done()
	return forwarder.answer(context, received.ID, forwarder.serve(ctx, call))
}

// serve returns the answer to a call. If the handler panics, the request may have run.
func (forwarder *Forwarder) serve(ctx context.Context, call *receiver.Call) receiver.Reply {
	answer := receiver.Reply{Abort: true}
	log := forwarder.Log.WithField("from", call.From)
	if metadata, err := platform.ReadRequest(call.Request.Header); err == nil {
		log = log.WithField("request", metadata.ID)
	}
	recoverer.Do(log, func() { answer = forwarder.Handler.Serve(ctx, call) })
	return answer
}

// call returns the request as if it had come from a caller.
func (request *request) call() (*receiver.Call, error) {
	target, err := url.ParseRequestURI(request.Target)
	if err != nil {
		return nil, fmt.Errorf("read target: %w", err)
	}
	header := request.Header
	if header == nil {
		header = make(http.Header)
	}
	platform.SetRemaining(header, request.Remaining)
	turn := make(chan struct{})
	close(turn)
	now := time.Now()
	return &receiver.Call{
		Request: &http.Request{Method: request.Method, URL: target, Host: request.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1},
		Target:  request.Target, Body: request.Body, Received: now, Accepted: now, Turn: turn,
		From: request.From, Configuration: max(request.Configuration, request.RestrictedConfiguration), Targets: max(1, request.Targets),
	}, nil
}

// answer sends the answer to a request with an ID, 0 if that could not be read.
func (forwarder *Forwarder) answer(context echo.Context, id uint64, answer receiver.Reply) error {
	encoded, err := msgpack.Marshal(&reply{
		ID: id, Status: answer.Status, Header: answer.Header, Body: answer.Body, Abort: answer.Abort, FromTarget: answer.FromTarget,
		NotRun: answer.NotRun, Targets: answer.Targets, OutOfReach: answer.OutOfReach,
	})
	if err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	return context.Blob(http.StatusOK, "application/msgpack", encoded)
}

// begin registers a request of another VM for GiveUp. The context that it returns ends with the given one, and
// by GiveUp.
func (forwarder *Forwarder) begin(parent context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	forwarder.mutex.Lock()
	defer forwarder.mutex.Unlock()
	if forwarder.running == nil {
		forwarder.running = make(map[int64]context.CancelCauseFunc)
	}
	id := forwarder.next
	forwarder.next++
	forwarder.running[id] = cancel
	return ctx, func() {
		forwarder.mutex.Lock()
		delete(forwarder.running, id)
		forwarder.mutex.Unlock()
		cancel(nil)
	}
}

// setState records whether a connection of another VM has a request in progress. net/http sends the end of an answer
// only after the handler has returned.
func (forwarder *Forwarder) setState(connection net.Conn, state http.ConnState) {
	forwarder.mutex.Lock()
	defer forwarder.mutex.Unlock()
	if state != http.StateActive {
		delete(forwarder.active, connection)
		return
	}
	if forwarder.active == nil {
		forwarder.active = make(map[net.Conn]struct{})
	}
	forwarder.active[connection] = struct{}{}
}

// InFlight returns the number of requests of other VMs in progress, until their answers have been sent.
func (forwarder *Forwarder) InFlight() int {
	forwarder.mutex.Lock()
	defer forwarder.mutex.Unlock()
	return len(forwarder.active)
}

// GiveUp ends the contexts of the requests of other VMs with the cause receiver.ErrGivenUp.
func (forwarder *Forwarder) GiveUp() {
	forwarder.mutex.Lock()
	defer forwarder.mutex.Unlock()
	for _, cancel := range forwarder.running {
		cancel(receiver.ErrGivenUp)
	}
}
