// Package exchanger sends requests to upstreams over HTTP/1.1 connections that
// it keeps open, and never sends a request by itself again.
//
// The transport of net/http repeats a request whose idle connection turns out
// to be dead if its method is idempotent or if it has an Idempotency-Key. Here
// each call of Do writes at most one copy to one connection, and a failure
// says whether any byte was written. The count is taken below all buffers, so
// that Written is false only if the operating system took no byte.
//
// A connection is used again only if the answer was read to its end, the
// request was written to its end, nothing was cancelled and no further byte
// has come in; so no answer reaches a request that it doesn't belong to.
//
// # Usage
//
//	exchanger := &exchanger.Exchanger{}
//	go exchanger.Run(ctx)
//	answer, err := exchanger.Do(ctx, exchanger.Call{Address: "10.0.0.1:80", Request: request})
//	if err != nil {
//		// An *exchanger.Error.
//	}
//	defer answer.Close()
//	_, err = io.Copy(writer, answer.Response.Body)
package exchanger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 30 * time.Second
	defaultMaxIdle     = 32
	maxInterimAnswers  = 8
)

// Exchanger holds the idle connections to upstreams. The zero value is ready
// to use, and it is safe for concurrent use.
type Exchanger struct {
	// Dial opens a connection; a net.Dialer does if nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout, IdleTimeout and MaxIdle (connections an address) have
	// defaults if zero.
	DialTimeout time.Duration
	IdleTimeout time.Duration
	MaxIdle     int

	mutex  sync.Mutex
	idle   idleConnections
	closed bool
}

// Run closes connections that were idle for too long, and all idle ones when
// the context ends.
func (exchanger *Exchanger) Run(ctx context.Context) error {
	ticker := time.NewTicker(exchanger.idleTimeout())
	defer ticker.Stop()
	defer exchanger.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			exchanger.sweep()
		}
	}
}

func (exchanger *Exchanger) dialTimeout() time.Duration {
	return orDefault(exchanger.DialTimeout, defaultDialTimeout)
}

func (exchanger *Exchanger) idleTimeout() time.Duration {
	return orDefault(exchanger.IdleTimeout, defaultIdleTimeout)
}

func (exchanger *Exchanger) maxIdle() int { return orDefault(exchanger.MaxIdle, defaultMaxIdle) }

func orDefault[T comparable](value, byDefault T) T {
	var zero T
	if value == zero {
		return byDefault
	}
	return value
}

// Call is one request to one upstream.
type Call struct {
	// Address is an IP address and a port.
	Address string
	// Request is written as http.Request.Write does.
	Request *http.Request
	// Streamed is true if the request's body comes from a caller who may be
	// slow. Then it is sent while the answer is awaited.
	Streamed bool
	// StopBody makes a blocked Read of a streamed body return.
	StopBody func()
	// FreshOnly asks for a new connection.
	FreshOnly bool
	// ReuseWithin leaves out connections that were not used for longer, unless
	// it is zero.
	ReuseWithin time.Duration
	// Connected, if set, is called when the connection stands; fresh is true if
	// it was opened for the call.
	Connected func(fresh bool)
	// Belongs, if set, reports whether an answer is to this call. One that isn't
	// is read and dropped, and the next answer on the connection is awaited.
	Belongs func(response *http.Response) bool
	// BeforeWrite is called when the connection stands, right before the first
	// byte is written. An error from it ends the call.
	BeforeWrite func() error
}

// Error says how far a failed call came.
type Error struct {
	// Written is false only if no byte of the request was written.
	Written bool
	// FreshConnection is true if the connection was opened for the call.
	FreshConnection bool
	// Answered is true if a byte of an answer came.
	Answered bool
	// Malformed is true if the answer breaks HTTP.
	Malformed bool
	Err       error
}

// Error describes the failure.
func (err *Error) Error() string { return fmt.Sprintf("exchange with upstream: %v", err.Err) }

// Unwrap returns the cause.
func (err *Error) Unwrap() error { return err.Err }

// Do sends the request and returns the head of the answer. The end of the
// context closes the connection at once, also while the body is read.
func (exchanger *Exchanger) Do(ctx context.Context, call Call) (*Answer, error) {
	connection, err := exchanger.connect(ctx, call)
	if err != nil {
		return nil, &Error{FreshConnection: true, Err: err}
	}
	if call.Connected != nil {
		call.Connected(connection.fresh)
	}
	if call.BeforeWrite != nil {
		if err := call.BeforeWrite(); err != nil {
			exchanger.putUnused(connection)
			return nil, &Error{FreshConnection: connection.fresh, Err: err}
		}
	}
	exchange := &exchange{exchanger: exchanger, connection: connection, call: call}
	exchange.stop = context.AfterFunc(ctx, func() { _ = connection.Close() })
	exchange.send()
	response, err := exchange.receive()
	if err != nil {
		return nil, exchange.fail(ctx, err)
	}
	answer := &Answer{Response: response, FreshConnection: connection.fresh, exchange: exchange}
	response.Body = &body{ReadCloser: response.Body, answer: answer}
	return answer, nil
}

func (exchanger *Exchanger) connect(ctx context.Context, call Call) (*connection, error) {
	if !call.FreshOnly {
		within := exchanger.idleTimeout()
		if call.ReuseWithin > 0 {
			within = min(within, call.ReuseWithin)
		}
		if connection := exchanger.take(call.Address, within); connection != nil {
			connection.reset()
			return connection, nil
		}
	}
	return exchanger.dial(ctx, call.Address)
}

// putUnused keeps a connection on which nothing was written.
func (exchanger *Exchanger) putUnused(connection *connection) {
	if connection.fresh {
		_ = connection.Close() // unproven
		return
	}
	exchanger.put(connection)
}

var errInterim = errors.New("too many interim answers")

var errUpgrade = errors.New("upstream switched protocols unasked")
