// Package receiver takes requests from callers over HTTP/1.1.
//
// Requests that a caller sends before the first is answered are read at once
// and handled side by side, and are answered in the order in which they came;
// net/http's server, which reads the next request only after an answer, would
// make them wait. A caller that goes away is noticed at once, also with
// unanswered requests, and the context of its requests ends.
//
// # Usage
//
//	receiver := &receiver.Receiver{Handler: dispatcher, Limits: limits, Log: log}
//	go receiver.Run(ctx, listener)
//	receiver.Leave() // answers now tell callers to close their connections
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
)

// Call is one request of a caller.
type Call struct {
	// Request has the head only; its Body is empty.
	Request *http.Request
	// Target is the path and query as the caller wrote them.
	Target string
	Body   []byte
	// Received is when the head had been read.
	Received time.Time
	// Turn is closed when every earlier request of the connection has been
	// answered.
	Turn <-chan struct{}
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
}

// Handler answers calls. Serve is called from several goroutines. Its context
// ends when the caller is gone.
type Handler interface {
	Serve(ctx context.Context, call *Call) Reply
	// Refuse returns the answer to a request that can't be handled.
	Refuse(status int, reason string) Reply
}

// Receiver serves callers. Fields are set before Run.
type Receiver struct {
	Handler Handler
	// Limits returns those in force.
	Limits func() indexer.Limits
	// MaxConnections bounds the open connections; others are refused.
	MaxConnections int
	// MaxBodyBytes bounds the bodies that are held at once.
	MaxBodyBytes int64
	Log          *logrus.Entry

	leaving   atomic.Bool
	bodyBytes atomic.Int64
	inFlight  atomic.Int64

	mutex       sync.Mutex
	connections map[*connection]struct{}
}

// acceptBackoff is the wait after a failed Accept, for instance for want of
// descriptors.
const acceptBackoff = 20 * time.Millisecond

// Run accepts connections until the context ends, and returns when all have
// been closed.
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
			return fmt.Errorf("accept callers: %w", err)
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
	connection := newConnection(receiver, raw)
	connection.overLimit = receiver.MaxConnections > 0 && len(receiver.connections) >= receiver.MaxConnections
	receiver.connections[connection] = struct{}{}
	return connection
}

func (receiver *Receiver) remove(connection *connection) {
	receiver.mutex.Lock()
	defer receiver.mutex.Unlock()
	delete(receiver.connections, connection)
}

// Leave makes each further answer tell the caller to close its connection.
func (receiver *Receiver) Leave() { receiver.leaving.Store(true) }

// CloseIdle closes the connections on which no request is in progress.
func (receiver *Receiver) CloseIdle() {
	receiver.mutex.Lock()
	defer receiver.mutex.Unlock()
	for connection := range receiver.connections {
		connection.closeIdle()
	}
}

// InFlight returns the number of requests in progress.
func (receiver *Receiver) InFlight() int { return int(receiver.inFlight.Load()) }

// OpenConnections returns the number of open connections.
func (receiver *Receiver) OpenConnections() int {
	receiver.mutex.Lock()
	defer receiver.mutex.Unlock()
	return len(receiver.connections)
}
