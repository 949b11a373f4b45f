// Package receiver is an HTTP/1.1 server for callers.
//
// Pipelined requests of a connection are handled concurrently and answered in the order
// in which they arrived. The server of net/http would delay them, as it reads the next
// request only after an answer. When a caller disconnects, the context of its unanswered
// requests ends at once.
//
// # Usage
//
//	receiver := &receiver.Receiver{Handler: dispatcher, Limits: limits, Log: log}
//	go receiver.Run(ctx, listener)
//	receiver.Leave() // answers now have the header "Connection: close"
package receiver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/indexer"
	"godwitramp.example/core/rationer"
)

// Call is one request of a caller.
type Call struct {
	// Request has the request line and the headers; its Body is empty.
	Request *http.Request
	// Target is the request target, path and query, exactly as received.
	Target string
	Body   []byte
	// Received is the time at which the head was complete.
	Received time.Time
	// Connection is the number of the connection, from 1 in the order in which connections
	// were accepted, and Accepted the time of that.
	Connection uint64
	Accepted   time.Time
	// Ahead is the number of earlier requests of the connection that were unanswered when
	// this one was read.
	Ahead int
	// Turn is closed when every earlier request of the connection has been
	// answered.
	Turn <-chan struct{}
	// From is the name of the VM that has passed the request on, empty if it came from a caller.
	From string
	// Configuration is the version of the configuration by which that VM has taken the request.
	Configuration uint64
	// Targets, unless zero, limits the targets that the request may be sent to further than its route
	// does.
	Targets int
}

// Reply is the answer to a Call.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Close ends the connection after the answer.
	Close bool
	// Abort ends the connection without an answer.
	Abort bool
	// FromTarget is true if the answer is that of a target.
	FromTarget bool
	// NotRun is true if the request did not and will not run.
	NotRun bool
	// Targets is the number of targets that the request was sent to.
	Targets int
	// OutOfReach is true if another VM had passed the request on, and this one can't reach the targets
	// either.
	OutOfReach bool
}

// ErrGivenUp is the cause of the end of a call's context after GiveUp.
var ErrGivenUp = errors.New("the VM stops before the request is answered")

// Handler answers calls. Serve is called concurrently. Its context ends when the caller
// disconnects, or with the cause ErrGivenUp. In the latter case the answer is still written.
type Handler interface {
	Serve(ctx context.Context, call *Call) Reply
	// Refuse returns the answer to a request that the receiver rejects.
	Refuse(status int, reason string) Reply
}

// Receiver serves callers. Fields are set before Run.
type Receiver struct {
	Handler Handler
	// Limits returns the current limits. Zero values stand for defaults.
	Limits func() indexer.Limits
	// MaxConnections limits the open connections; further ones are refused. Zero means no
	// limit.
	MaxConnections int
	// MaxBodyBytes limits the total size of the request bodies in memory, from their first
	// byte until they are answered. While they exceed it, a body that exceeds its share of
	// what bodies that have arrived leave of it is refused, so that long or slow uploads leave room for others.
	MaxBodyBytes int64
	// Patience, if set, returns how long a caller waits for its answer by the headers of its
	// request, or 0 if they don't say so. A body that isn't complete by then is refused.
	Patience func(header http.Header) time.Duration
	// RequestID, if set, returns the ID of a request by its headers, for logs.
	RequestID func(header http.Header) string
	Log       *logrus.Entry

	leaving  atomic.Bool
	inFlight atomic.Int64

	mutex       sync.Mutex
	connections map[*connection]struct{}
	// accepted is the number of connections accepted so far.
	accepted uint64
	bodies   rationer.Rationer
}

// acceptBackoff is the wait after a failed Accept, for instance if no file descriptors are
// left.
const acceptBackoff = 20 * time.Millisecond

// Run accepts connections until the context ends, and returns when all are closed.
func (receiver *Receiver) Run(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		raw, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("accept connection: %w", err)
		}
		if err != nil {
			receiver.Log.WithError(err).Warn("accept-failed")
			time.Sleep(acceptBackoff)
			continue
		}
		connection := receiver.add(raw)
		group.Go(func() {
			defer receiver.remove(connection)
			connection.serve(ctx)
		})
	}
}

func (receiver *Receiver) add(raw net.Conn) *connection {
	receiver.mutex.Lock()
	defer receiver.mutex.Unlock()
	if receiver.connections == nil {
		receiver.connections = make(map[*connection]struct{})
	}
	receiver.accepted++
	connection := newConnection(receiver, raw, receiver.accepted)
	connection.overLimit = receiver.MaxConnections > 0 && len(receiver.connections) >= receiver.MaxConnections
	receiver.connections[connection] = struct{}{}
	return connection
}

func (receiver *Receiver) remove(connection *connection) {
	receiver.mutex.Lock()
	defer receiver.mutex.Unlock()
	delete(receiver.connections, connection)
}

// beginBody adds a request body.
func (receiver *Receiver) beginBody() {
	receiver.mutex.Lock()
	defer receiver.mutex.Unlock()
	receiver.bodies.Limit = receiver.MaxBodyBytes
	receiver.bodies.Begin()
}

// growBody counts n more bytes of a body of which held bytes have been read. It returns
// false if the body has to be refused.
func (receiver *Receiver) growBody(held, n int64) bool {
	receiver.mutex.Lock()
	defer receiver.mutex.Unlock()
	return receiver.bodies.Grow(held, n)
}

// endBody removes a body that has not arrived whole.
func (receiver *Receiver) endBody(held int64) {
	receiver.mutex.Lock()
	defer receiver.mutex.Unlock()
	receiver.bodies.End(held)
}

// finishBody records that a body has arrived whole. It stays in memory until dropBody.
func (receiver *Receiver) finishBody(held int64) {
	receiver.mutex.Lock()
	defer receiver.mutex.Unlock()
	receiver.bodies.Finish(held)
}

// dropBody removes the body of a call.
func (receiver *Receiver) dropBody(call *Call) {
	if call.Body == nil {
		return
	}
	receiver.mutex.Lock()
	defer receiver.mutex.Unlock()
	receiver.bodies.Release(int64(len(call.Body)))
}

// Leave makes each connection close after the answers to the requests read so far, or after
// that to its next request if there are none.
func (receiver *Receiver) Leave() { receiver.leaving.Store(true) }

// CloseIdle closes the connections on which no request is being read or handled.
func (receiver *Receiver) CloseIdle() {
	receiver.mutex.Lock()
	defer receiver.mutex.Unlock()
	for connection := range receiver.connections {
		connection.closeIdle()
	}
}

// GiveUp ends the contexts of all calls with the cause ErrGivenUp.
func (receiver *Receiver) GiveUp() {
	receiver.mutex.Lock()
	defer receiver.mutex.Unlock()
	for connection := range receiver.connections {
		connection.giveUp(ErrGivenUp)
	}
}

// InFlight returns the number of requests that have been read but not answered.
func (receiver *Receiver) InFlight() int { return int(receiver.inFlight.Load()) }

// OpenConnections returns the number of open connections.
func (receiver *Receiver) OpenConnections() int {
	receiver.mutex.Lock()
	defer receiver.mutex.Unlock()
	return len(receiver.connections)
}
