package server

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"godwitramp.example/entry/internal/forwarder"
)

const (
	defaultMaxConnections = 10_000
	// maxRefusing bounds the connections that are being told that there are too
	// many.
	maxRefusing    = 64
	refusalTimeout = time.Second
)

// outcomeLine is what net/http's own refusals of malformed requests lack.
var outcomeLine = []byte(forwarder.OutcomeHeader + ": " + string(forwarder.NotRun) + "\r\n")

// refusalPrefix is how those refusals begin.
var refusalPrefix = []byte("HTTP/1.1 ")

// Listener bounds the connections of callers and puts the outcome on the
// answers that net/http gives before a request reaches the handler.
type Listener struct {
	net.Listener
	// Max is the most connections; it has a default if zero.
	Max int

	open     atomic.Int64
	refusing atomic.Int64
}

// Accept returns the next connection within the bound. Others get an answer
// that says so.
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
		if listener.refusing.Add(1) > maxRefusing {
			listener.refusing.Add(-1)
			_ = raw.Close()
			continue
		}
		go listener.refuse(raw)
	}
}

func (listener *Listener) max() int {
	if listener.Max == 0 {
		return defaultMaxConnections
	}
	return listener.Max
}

// refuse answers without reading a request, and then reads until the other end
// closes, since unread bytes would reset the connection under the answer.
func (listener *Listener) refuse(raw net.Conn) {
	defer listener.refusing.Add(-1)
	defer func() { _ = raw.Close() }()
	_ = raw.SetDeadline(time.Now().Add(refusalTimeout))
	body := fmt.Sprintf("{%q:%q,%q:%q,%q:%q}\n", "outcome", forwarder.NotRun, "reason", "too-many-connections",
		"message", "the VM has too many connections")
	_, err := fmt.Fprintf(raw, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n%sRetry-After: 1\r\n"+
		"Connection: close\r\nContent-Length: %d\r\n\r\n%s", outcomeLine, len(body), body)
	if err != nil {
		return
	}
	if closer, ok := raw.(interface{ CloseWrite() error }); ok {
		_ = closer.CloseWrite()
		_, _ = io.Copy(io.Discard, io.LimitReader(raw, maxHeaderBytes))
	}
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	listener *Listener
	// handled is true from when a request reaches the handler until its answer
	// has been sent.
	handled atomic.Bool
	closed  atomic.Bool
}

// Write adds the outcome to what net/http writes while no request is in the
// handler's hands.
func (conn *callerConn) Write(data []byte) (int, error) {
	if conn.handled.Load() || !bytes.HasPrefix(data, refusalPrefix) || bytes.HasPrefix(data, []byte("HTTP/1.1 1")) {
		return conn.Conn.Write(data)
	}
	end := bytes.Index(data, []byte("\r\n"))
	if end < 0 {
		return conn.Conn.Write(data)
	}
	end += len("\r\n")
	marked := bytes.Join([][]byte{data[:end], outcomeLine, data[end:]}, nil)
	n, err := conn.Conn.Write(marked)
	return min(n, len(data)), err
}

// Close frees the connection's place.
func (conn *callerConn) Close() error {
	if !conn.closed.Swap(true) {
		conn.listener.open.Add(-1)
	}
	return conn.Conn.Close()
}

// CloseWrite ends what the caller reads.
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

// handling notes that a request has reached the handler.
func handling(ctx context.Context) {
	if conn, ok := ctx.Value(connKey{}).(*callerConn); ok {
		conn.handled.Store(true)
	}
}

// stateChanged notes that an answer has been sent.
func stateChanged(conn net.Conn, state http.ConnState) {
	if conn, ok := conn.(*callerConn); ok && state == http.StateIdle {
		conn.handled.Store(false)
	}
}
