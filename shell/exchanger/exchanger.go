// Package exchanger sends requests to upstreams over pooled HTTP/1.1
// connections and never retries.
//
// The transport of net/http retries a request whose idle connection turns out to
// be dead if the method is idempotent or the request has an Idempotency-Key.
// Here each call of Do writes the request at most once, to one connection, and
// an error says whether any byte was written. Writes are tracked below all
// buffers, so Written is false only if the operating system accepted no byte. Over
// TLS it may have accepted a part of a record, which the upstream can't read.
//
// A connection is reused only if the request was written and the answer read
// completely, the context had not ended, and no further bytes were received. An
// answer that has come by then never reaches a request that it doesn't belong to. One that comes
// later on a reused connection can only be told by Call.Matches, or avoided by Call.FreshOnly.
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
	"sync/atomic"
	"time"
)

const (
	defaultDialTimeout       = time.Second
	defaultIdleTimeout       = 30 * time.Second
	defaultMaxIdlePerAddress = 32
	maxAnswersPerCall        = 8
)

// Exchanger sends requests and holds the idle connections to upstreams. The
// zero value is ready to use. An Exchanger is safe for concurrent use.
type Exchanger struct {
	// Dial opens a connection. If nil, a net.Dialer is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout, IdleTimeout and MaxIdlePerAddress (connections) have
	// defaults if zero: 1 s, 30 s and 32.
	DialTimeout       time.Duration
	IdleTimeout       time.Duration
	MaxIdlePerAddress int
	// UnackedTimeout, unless zero, ends connections whose peer acknowledges nothing for so long after
	// a request was sent that has no long body.
	UnackedTimeout time.Duration

	mutex  sync.Mutex
	idle   idleConnections
	closed bool
	// dialed is the number of connections opened so far.
	dialed atomic.Uint64
}

// Run closes connections that exceed the idle timeout, and closes the
// exchanger when the context ends.
func (exchanger *Exchanger) Run(ctx context.Context) error {
	ticker := time.NewTicker(exchanger.idleTimeout())
	defer ticker.Stop()
	defer exchanger.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			exchanger.closeExpired()
		}
	}
}

func (exchanger *Exchanger) dialTimeout() time.Duration {
	return orDefault(exchanger.DialTimeout, defaultDialTimeout)
}

func (exchanger *Exchanger) idleTimeout() time.Duration {
	return orDefault(exchanger.IdleTimeout, defaultIdleTimeout)
}

func (exchanger *Exchanger) maxIdlePerAddress() int {
	return orDefault(exchanger.MaxIdlePerAddress, defaultMaxIdlePerAddress)
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// Call is one request to one upstream.
type Call struct {
	// Address is an IP address and a port.
	Address string
	// Request is written as http.Request.Write does.
	Request *http.Request
	// Streamed is true if the body comes from a caller that may be slow. It is
	// then sent while Do waits for the answer.
	Streamed bool
	// StopBody unblocks a Read of a streamed body.
	StopBody func()
	// FreshOnly requires a new connection.
	FreshOnly bool
	// Tag, unless empty, excludes connections that have carried a call with the same tag. It is what Matches
	// knows the answers by: a late copy of one to the earlier call could not be told.
	Tag string
	// MaxIdleTime, unless zero, excludes connections that have been idle for
	// longer.
	MaxIdleTime time.Duration
	// Connected, if set, is called once a connection is available; fresh is
	// true if it was opened for this call.
	Connected func(fresh bool)
	// Matches, if set, reports whether an answer belongs to this call. Other
	// answers are discarded, and the next answer on the connection is read.
	Matches func(response *http.Response) bool
	// BeforeWrite, if set, is called after Connected, right before the first
	// byte is written. If it returns an error, nothing is written and Do
	// fails.
	BeforeWrite func() error
}

// Trace says over which connection a call went and when its answer began. It is what tells an answer to the
// call from one to an earlier call on the connection.
type Trace struct {
	// Connection is the number of the connection among those of the exchanger, 0 if none was opened.
	Connection uint64
	// Earlier is the number of earlier calls on the connection.
	Earlier int
	// Unnamed is the number of these whose answer didn't name them, by Answer.Unnamed: a late one could be to any
	// call of the connection.
	Unnamed int
	// Discarded is the number of answers that Call.Matches rejected.
	Discarded int
	// FirstByte is the time from the end of writing the request to the first byte of the last answer that was
	// read. It is 0 without an answer, or if that began before.
	FirstByte time.Duration
}

// Error is the error of a failed call, with its progress.
type Error struct {
	// Written is false only if no byte of the request was written, or over TLS, no whole record.
	Written bool
	// FreshConnection is true if the connection was opened for this call, or
	// no connection could be opened.
	FreshConnection bool
	// Answered is true if at least one byte of an answer was received.
	Answered bool
	// Malformed is true if the answer violates HTTP or can't be used: it
	// switches protocols, follows too many other answers, or belongs to
	// another request and can't be discarded.
	Malformed bool
	Trace     Trace
	Err       error
}

// Error describes the failure.
func (err *Error) Error() string { return fmt.Sprintf("exchange with upstream: %v", err.Err) }

// Unwrap returns the cause.
func (err *Error) Unwrap() error { return err.Err }

// Do sends the request and returns the answer once its header has been
// received. Its error is an *Error. If the context ends, also while the body
// is read, the connection is closed at once.
func (exchanger *Exchanger) Do(ctx context.Context, call Call) (*Answer, error) {
	connection, err := exchanger.connect(ctx, call)
	if err != nil {
		return nil, &Error{FreshConnection: true, Err: err}
	}
	if call.Connected != nil {
		call.Connected(connection.fresh)
	}
	trace := Trace{Connection: connection.number, Earlier: connection.calls, Unnamed: connection.unnamed}
	if call.BeforeWrite != nil {
		if err := call.BeforeWrite(); err != nil {
			exchanger.putUnused(connection)
			return nil, &Error{FreshConnection: connection.fresh, Trace: trace, Err: err}
		}
	}
	if !connection.quiet() {
		_ = connection.Close()
		return nil, &Error{FreshConnection: connection.fresh, Trace: trace, Err: errNotQuiet}
	}
	exchange := &exchange{exchanger: exchanger, connection: connection, call: call, trace: trace, begunAt: time.Now()}
	connection.addTag(call.Tag)
	connection.calls++
	exchange.detachContext = context.AfterFunc(ctx, func() { _ = connection.Close() })
	exchange.send()
	response, err := exchange.receive()
	if err != nil {
		return nil, exchange.fail(ctx, err)
	}
	answer := &Answer{Response: response, FreshConnection: connection.fresh, Trace: exchange.trace, exchange: exchange}
	response.Body = &body{ReadCloser: response.Body, answer: answer}
	return answer, nil
}

func (exchanger *Exchanger) connect(ctx context.Context, call Call) (*connection, error) {
	if !call.FreshOnly {
		maxIdleTime := exchanger.idleTimeout()
		if call.MaxIdleTime > 0 {
			maxIdleTime = min(maxIdleTime, call.MaxIdleTime)
		}
		if connection := exchanger.takeIdle(call.Address, call.Tag, maxIdleTime); connection != nil {
			connection.reset()
			return connection, nil
		}
	}
	return exchanger.dial(ctx, call.Address)
}

// Reachable reports whether a connection to the address can be opened within the timeout. It opens a
// second one after a third of that, as the first packet may be lost.
func (exchanger *Exchanger) Reachable(ctx context.Context, address string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make(chan bool, 2)
	dial := func() {
		connection, err := exchanger.dial(ctx, address)
		if err == nil {
			_ = connection.Close()
		}
		results <- err == nil
	}
	go dial()
	second := time.NewTimer(timeout / 3)
	defer second.Stop()
	for running := 1; running > 0; {
		select {
		case <-second.C:
			running++
			go dial()
		case reachable := <-results:
			if running--; reachable {
				return true
			}
		}
	}
	return false
}

// putUnused returns a reused connection to which nothing was written to the
// pool, and closes a new one.
func (exchanger *Exchanger) putUnused(connection *connection) {
	if connection.fresh {
		_ = connection.Close() // it has not carried an answer yet
		return
	}
	exchanger.putIdle(connection)
}

var errNotQuiet = errors.New("upstream has closed the connection, or sent bytes, before the request")

var errTooManyAnswers = errors.New("too many interim (1xx) or mismatched answers")
