package server

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"godwitramp.example/entry/internal/forwarder"
	"godwitramp.example/shell/lingerer"
)

const (
	defaultMaxConnections = 10_000
	// maxRefusals limits the connections over the limit that are answered at the same
	// time. Further ones are closed without an answer.
	maxRefusals    = 64
	refusalTimeout = time.Second
	// quietTimeout and stallTimeout are those of callers whose connection is closed before they have got all answers.
	quietTimeout = 500 * time.Millisecond
	stallTimeout = 10 * time.Second
)

// outcomeHeaderLine is added to the answers that net/http itself gives to malformed
// requests.
var outcomeHeaderLine = []byte(forwarder.OutcomeHeader + ": " + string(forwarder.NotRun) + "\r\n")

// statusLinePrefix is the beginning of the answers that net/http writes.
var statusLinePrefix = []byte("HTTP/1.1 ")

// Listener limits the number of callers' connections and adds the outcome header to the
// answers that net/http gives before a request reaches the handler. A connection that net/http closes
// stays open until its caller has got all answers.
type Listener struct {
	net.Listener
	// MaxConnections limits the open connections. Zero means 10 000.
	MaxConnections int

	open     atomic.Int64
	refusals atomic.Int64
	// lingering are the closed connections whose callers haven't got all answers.
	lingering      sync.WaitGroup
	lingeringCount atomic.Int64
}

// Accept returns the next connection within the limit. Connections over the limit are
// answered with status 503 and closed.
func (listener *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := listener.Listener.Accept()
		if err != nil {
			return nil, fmt.Errorf("accept caller: %w", err)
		}
		if listener.open.Add(1) <= int64(listener.max()) {
			return &callerConn{Conn: raw, listener: listener}, nil
		}
		listener.open.Add(-1)
		if listener.refusals.Add(1) > maxRefusals {
			listener.refusals.Add(-1)
			_ = raw.Close()
			continue
		}
		go listener.refuse(raw)
	}
}

// Drain waits until the callers of all closed connections have got their answers or the context ends. It returns the
// number of those that haven't. Call it after the server's Shutdown.
func (listener *Listener) Drain(ctx context.Context) int {
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		listener.lingering.Wait()
	}()
	select {
	case <-drained:
	case <-ctx.Done():
	}
	return int(listener.lingeringCount.Load())
}

func (listener *Listener) max() int {
	if listener.MaxConnections == 0 {
		return defaultMaxConnections
	}
	return listener.MaxConnections
}

// refuse answers without reading a request. It then reads until the caller closes the
// connection, but at most maxHeaderBytes and for refusalTimeout, since unread bytes would
// make the kernel reset the connection before the caller has read the answer.
func (listener *Listener) refuse(raw net.Conn) {
	defer listener.refusals.Add(-1)
	defer func() { _ = raw.Close() }()
	_ = raw.SetDeadline(time.Now().Add(refusalTimeout))
	body := fmt.Sprintf("{%q:%q,%q:%q,%q:%q}\n", "outcome", forwarder.NotRun, "reason", "too-many-connections",
		"message", "the VM has too many connections")
	_, err := fmt.Fprintf(raw, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n%sRetry-After: 1\r\n"+
		"Connection: close\r\nContent-Length: %d\r\n\r\n%s", outcomeHeaderLine, len(body), body)
	if err != nil {
		return
	}
	if closer, ok := raw.(interface{ CloseWrite() error }); ok {
		_ = closer.CloseWrite()
		_, _ = io.Copy(io.Discard, io.LimitReader(raw, maxHeaderBytes))
	}
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	listener *Listener
	// inHandler is true from when a request reaches the handler until its answer has
	// been sent.
	inHandler atomic.Bool
	closed    atomic.Bool
	// resetOnClose is true if the caller must see that its answer is cut.
	resetOnClose atomic.Bool
}

// Write adds the outcome header to answers that net/http writes while no request is in
// the handler, except interim ones (status 1xx).
func (conn *callerConn) Write(data []byte) (int, error) {
	if conn.inHandler.Load() || !bytes.HasPrefix(data, statusLinePrefix) || bytes.HasPrefix(data, []byte("HTTP/1.1 1")) {
		return conn.Conn.Write(data)
	}
	end := bytes.Index(data, []byte("\r\n"))
	if end < 0 {
		return conn.Conn.Write(data)
	}
	end += len("\r\n")
	withOutcome := bytes.Join([][]byte{data[:end], outcomeHeaderLine, data[end:]}, nil)
	n, err := conn.Conn.Write(withOutcome)
	return min(n, len(data)), err
}

// Read reads from the connection unless it is closed. What comes over it then must not be taken for a request.
func (conn *callerConn) Read(data []byte) (int, error) {
	n, err := conn.Conn.Read(data)
	if conn.closed.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Close closes the connection once its caller has got all answers, or at once if the last one is cut, and then stops
// counting it against the limit. It returns at once.
func (conn *callerConn) Close() error {
	if conn.closed.Swap(true) {
		return nil
	}
	if conn.resetOnClose.Load() {
		if socket, ok := conn.Conn.(interface{ SetLinger(seconds int) error }); ok {
			_ = socket.SetLinger(0)
		}
		return conn.end()
	}
	if lingerer.Undelivered(conn.Conn) == 0 {
		return conn.end()
	}
	conn.listener.lingeringCount.Add(1)
	conn.listener.lingering.Go(func() {
		defer conn.listener.lingeringCount.Add(-1)
		lingerer := &lingerer.Lingerer{QuietTimeout: quietTimeout, StallTimeout: stallTimeout}
		lingerer.Linger(conn.Conn)
		_ = conn.end()
	})
	return nil
}

func (conn *callerConn) end() error {
	conn.listener.open.Add(-1)
	return conn.Conn.Close()
}

// CloseWrite closes the writing side of the connection.
func (conn *callerConn) CloseWrite() error {
	if closer, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// markInHandler records that a request has reached the handler.
func markInHandler(ctx context.Context) {
	if conn, ok := ctx.Value(connKey{}).(*callerConn); ok {
		conn.inHandler.Store(true)
	}
}

// resetOnClose makes closing the connection of a request reset it.
func resetOnClose(ctx context.Context) {
	if conn, ok := ctx.Value(connKey{}).(*callerConn); ok {
		conn.resetOnClose.Store(true)
	}
}

// clearInHandlerWhenIdle records that an answer has been sent.
func clearInHandlerWhenIdle(conn net.Conn, state http.ConnState) {
	if conn, ok := conn.(*callerConn); ok && state == http.StateIdle {
		conn.inHandler.Store(false)
	}
}
