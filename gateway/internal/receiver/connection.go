package receiver

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/shell/lingerer"
	"godwitramp.example/shell/recoverer"
)

const (
	// maxPipelined limits the unanswered requests of one connection. While it is
	// reached nothing is read, so that a disconnect of the caller is detected later.
	maxPipelined = 64
	// writeTimeout is how long a caller may take nothing of its answers. It also limits, in addition to the time that
	// the answer takes at minWriteRate, the writing of one answer to a caller that waits no longer. That rate, in bytes
	// per second, is a quarter of the slowest link of a VM.
	writeTimeout = 10 * time.Second
	minWriteRate = 10e6 / 8 / 4
	// lingerTimeout is how long a closing connection is still read once the caller has got everything and sends
	// nothing more. Unread bytes would reset the connection.
	lingerTimeout = 500 * time.Millisecond
	// idleChecks is how often per idle timeout an idle connection is checked for undelivered answers.
	idleChecks = 8
	// The defaults apply to limits that the configuration doesn't set, or while none is
	// known.
	defaultIdleTimeout   = 15 * time.Second
	defaultHeaderTimeout = 3 * time.Second
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 1 << 20
	// bodyTimeout limits the reading of a body if the caller waits longer.
	bodyTimeout = 30 * time.Second
)

// connection is one connection of a caller.
type connection struct {
	receiver *Receiver
	raw      net.Conn
	reader   *bufio.Reader
	number   uint64
	accepted time.Time
	// calls is the context of the handler's calls, and giveUp ends it.
	calls  context.Context
	giveUp context.CancelCauseFunc
	// overLimit is true if the connection exceeds MaxConnections and must be refused.
	overLimit bool

	mutex sync.Mutex
	// pending is the number of requests read but not answered.
	pending int
	// newest is the last request handed to the handler, nil once its answer leaves the
	// connection open.
	newest *Call
	// previous is the ID of the last request handed to the handler, for logs.
	previous string
	// reading is true while a request is being read.
	reading bool
	// idleSince is when the connection became idle, or when its last answer was last seen undelivered.
	idleSince time.Time
	// evicted is true once closeIdle has ended the wait for a request.
	evicted bool
	// progress is that of the delivery while the connection is idle.
	progress lingerer.Progress
	// closing is true once the answer that closes the connection is about to be written. No
	// request is handled from then on.
	closing bool
	// closed is true once that answer has been written, or has turned out to be missing.
	closed bool
}

func newConnection(receiver *Receiver, raw net.Conn, number uint64) *connection {
	reader := bufio.NewReaderSize(raw, readerSize(receiver.limits().HeaderBytes))
	connection := &connection{receiver: receiver, raw: raw, reader: reader, number: number, accepted: time.Now()}
	connection.calls, connection.giveUp = context.WithCancelCause(context.Background())
	return connection
}

// serve reads and handles requests until the caller disconnects, a request can't be read
// or an answer closes the connection.
func (connection *connection) serve(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	defer context.AfterFunc(ctx, func() { connection.giveUp(context.Canceled) })()
	// The end of the parent context also ends a blocked read of the next request.
	defer context.AfterFunc(parent, connection.end)()
	var group sync.WaitGroup
	defer func() { _ = connection.raw.Close() }()
	defer group.Wait()
	defer cancel()
	if connection.overLimit {
		connection.receiver.Log.WithFields(logrus.Fields{
			"connection": connection.number, "status": http.StatusServiceUnavailable, "reason": "too-many-connections",
		}).Info("connection-refused")
		connection.write(connection.receiver.Handler.Refuse(http.StatusServiceUnavailable, "too-many-connections"), nil, true)
		connection.linger(lingerTimeout) // it takes a descriptor beyond the limit
		return
	}
	turn := make(chan struct{})
	close(turn)
	slots := make(chan struct{}, maxPipelined)
	for {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			connection.lingerIfClosed()
			return
		}
		call, err := connection.read(ctx, turn)
		if errors.Is(err, errClosing) {
			connection.awaitClose(ctx)
			return
		}
		if err != nil {
			connection.refuse(ctx, turn, call, err)
			return
		}
		call.Turn = turn
		next := make(chan struct{})
		if !connection.beginRequest(call) {
			connection.receiver.dropBody(call)
			connection.awaitClose(ctx)
			return
		}
		group.Go(func() {
			defer func() { <-slots }()
			connection.answer(ctx, cancel, call, next)
		})
		turn = next
		if call.Request.Close {
			connection.awaitClose(ctx)
			return
		}
	}
}

// end closes the connection, whatever happens on it.
func (connection *connection) end() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.logCut("vm-stopped", 0)
	_ = connection.raw.Close()
}

// beginRequest counts a request that has been read, and removes the read deadline. It returns
// false if the request must not be handled, as its answer could not be written: an answer
// before it closes the connection.
func (connection *connection) beginRequest(call *Call) bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.reading = false
	if !connection.closing {
		_ = connection.raw.SetReadDeadline(time.Time{})
	}
	if connection.closing || connection.newest != nil && connection.receiver.leaving.Load() {
		return false
	}
	call.Connection, call.Accepted, call.Ahead = connection.number, connection.accepted, connection.pending
	connection.newest, connection.previous = call, connection.receiver.requestID(call)
	connection.pending++
	connection.receiver.inFlight.Add(1)
	return true
}

// closes reports whether the answer to the call, or its absence, closes the connection. While the VM stops,
// the answer to the newest call does.
func (connection *connection) closes(reply Reply, call *Call) bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	newest := connection.newest == call
	stops := newest && connection.receiver.leaving.Load()
	connection.closing = connection.closing || reply.Close || reply.Abort || call.Request.Close || stops
	if newest && !connection.closing {
		connection.newest = nil
	}
	return connection.closing
}

// finishRequest removes an answered request from the counts, and starts the idle timeout
// if it was the last.
func (connection *connection) finishRequest(call *Call) {
	connection.receiver.dropBody(call)
	connection.receiver.inFlight.Add(-1)
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.pending--
	connection.setIdleDeadline()
}

// idle reports whether no request is being read or handled and the connection isn't closing.
func (connection *connection) idle() bool {
	return connection.pending == 0 && !connection.reading && !connection.closing
}

func (connection *connection) setIdleDeadline() {
	if connection.idle() {
		connection.idleSince, connection.evicted, connection.progress = time.Now(), false, lingerer.Progress{}
		_ = connection.raw.SetReadDeadline(connection.idleSince.Add(connection.receiver.limits().IdleTimeout / idleChecks))
	}
}

// stayIdle reports whether the connection goes on waiting for a request after a read deadline has passed, and sets
// the next one. The idle timeout starts when the caller has got its answers: if the connection was closed earlier, its
// next request would reset it, and drop the rest of them.
func (connection *connection) stayIdle() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if !connection.idle() || connection.evicted {
		return false
	}
	now, timeout := time.Now(), connection.receiver.limits().IdleTimeout
	if connection.delivering(now) {
		connection.idleSince = now
		_ = connection.raw.SetReadDeadline(now.Add(timeout / idleChecks))
		return true
	}
	if end := connection.idleSince.Add(timeout); now.Before(end) {
		_ = connection.raw.SetReadDeadline(end)
		return true
	}
	connection.logCut("caller-stalled", 0)
	return false
}

// delivering reports whether the caller hasn't got all that was written, and takes some of it within writeTimeout.
func (connection *connection) delivering(now time.Time) bool {
	undelivered := lingerer.Undelivered(connection.raw)
	return !connection.progress.Stalled(undelivered, now, writeTimeout) && undelivered > 0
}

// closeIdle closes the connection unless a request is being read or handled, answers are being delivered, or it is
// closing.
func (connection *connection) closeIdle() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if connection.idle() && !connection.delivering(time.Now()) {
		connection.evicted = true
		_ = connection.raw.SetReadDeadline(time.Unix(1, 0))
	}
}

// answer handles the call, and writes its answer once the earlier ones are written.
func (connection *connection) answer(ctx context.Context, cancel context.CancelFunc, call *Call, next chan struct{}) {
	defer connection.finishRequest(call)
	reply := connection.handle(call)
	ready := time.Now()
	select {
	case <-call.Turn:
	case <-ctx.Done():
	}
	if ctx.Err() != nil {
		if !reply.Abort {
			connection.log(call).WithFields(logrus.Fields{
				"ahead": call.Ahead, "status": reply.Status,
				"ready-for": time.Since(ready).Round(time.Millisecond), "leaving": connection.receiver.leaving.Load(),
			}).Info("answer-undelivered")
		}
		return
	}
	closes := connection.closes(reply, call)
	if !reply.Abort && !connection.write(reply, call, closes) {
		cancel()
		_ = connection.raw.Close()
		return
	}
	if closes {
		// By HTTP/1.1, requests after this one count as not processed: they must not run.
		connection.stopReading()
		cancel()
		return
	}
	close(next)
}

// handle returns the answer to a call. If the handler panics, the request may have run: the
// connection ends without an answer.
func (connection *connection) handle(call *Call) Reply {
	reply := Reply{Abort: true}
	recoverer.Do(connection.log(call), func() {
		reply = connection.receiver.Handler.Serve(connection.calls, call)
	})
	return reply
}

// stopReading makes serve stop reading requests and linger. Lingering earlier would cut the
// closing answer.
func (connection *connection) stopReading() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.closed = true
	_ = connection.raw.SetReadDeadline(time.Unix(1, 0))
}

// awaitClose waits until the last request is answered or the caller disconnects.
func (connection *connection) awaitClose(ctx context.Context) {
	for ctx.Err() == nil {
		if _, err := connection.reader.Discard(1); err != nil {
			break
		}
	}
	connection.lingerIfClosed()
}

// lingerIfClosed lingers if an answer has closed the connection.
func (connection *connection) lingerIfClosed() {
	connection.mutex.Lock()
	closed := connection.closed
	connection.mutex.Unlock()
	if closed {
		connection.linger(writeTimeout)
	}
}

// linger closes the connection for writing, and reads until the caller closes it, has got all answers or takes nothing
// for stallTimeout.
func (connection *connection) linger(stallTimeout time.Duration) {
	connection.mutex.Lock()
	connection.closing = true // closeIdle leaves it lingering
	connection.mutex.Unlock()
	lingerer := &lingerer.Lingerer{QuietTimeout: lingerTimeout, StallTimeout: stallTimeout}
	if delivered := lingerer.Linger(connection.raw); !delivered {
		connection.mutex.Lock()
		defer connection.mutex.Unlock()
		connection.logCut("caller-stalled", 0)
	}
}

// logCut logs if the connection is closed before the caller has got all answers, of which so many bytes could not be
// written. The mutex is held.
func (connection *connection) logCut(reason string, unwritten int) {
	if undelivered := unwritten + lingerer.Undelivered(connection.raw); undelivered > 0 {
		connection.log(nil).WithFields(logrus.Fields{
			"reason": reason, "undelivered": undelivered, "previous": connection.previous, "leaving": connection.receiver.leaving.Load(),
		}).Info("delivery-cut")
	}
}

// log returns the log with the fields that name a request. The call is nil if its head was not read.
func (connection *connection) log(call *Call) *logrus.Entry {
	fields := logrus.Fields{"connection": connection.number}
	if call != nil {
		path, _, _ := strings.Cut(call.Target, "?") // the query may contain secrets
		fields["request"], fields["path"] = connection.receiver.requestID(call), bounded(path)
	}
	return connection.receiver.Log.WithFields(fields)
}

// refuse answers a request that could not be read, once the earlier ones are answered. The call is nil if the
// head was not read either.
func (connection *connection) refuse(ctx context.Context, turn <-chan struct{}, call *Call, err error) {
	var malformed *requestError
	if !errors.As(err, &malformed) {
		connection.lingerIfClosed()
		return
	}
	connection.mutex.Lock()
	ahead, previous := connection.pending, connection.previous
	connection.mutex.Unlock()
	if connection.awaitTurn(ctx, turn) != nil {
		connection.lingerIfClosed() // an answer may have closed the connection meanwhile
		return
	}
	connection.log(call).WithFields(logrus.Fields{
		"status": malformed.status, "reason": malformed.reason, "ahead": ahead, "previous": previous,
	}).Info("request-malformed")
	if connection.write(connection.receiver.Handler.Refuse(malformed.status, malformed.reason), nil, true) {
		connection.linger(writeTimeout)
	}
}

// awaitTurn waits until the earlier requests are answered. Meanwhile it reads what its buffer
// holds, so that a disconnect of the caller is detected. It removes the read deadline.
func (connection *connection) awaitTurn(ctx context.Context, turn <-chan struct{}) error {
	_ = connection.raw.SetReadDeadline(time.Time{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-turn:
		case <-ctx.Done():
		}
		_ = connection.raw.SetReadDeadline(time.Unix(1, 0))
	}()
	for {
		_, err := connection.reader.Peek(connection.reader.Buffered() + 1)
		if err == nil {
			continue
		}
		if !errors.Is(err, bufio.ErrBufferFull) && !errors.Is(err, os.ErrDeadlineExceeded) {
			return fmt.Errorf("wait for earlier answers: %w", err)
		}
		<-ended
		_ = connection.raw.SetReadDeadline(time.Time{})
		select {
		case <-turn:
			return nil
		default:
			return fmt.Errorf("wait for earlier answers: %w", ctx.Err())
		}
	}
}

// write writes the answer to a call, nil if its request was not read. It returns false if that failed.
func (connection *connection) write(reply Reply, call *Call, closes bool) bool {
	var buffer bytes.Buffer
	fmt.Fprintf(&buffer, "HTTP/1.1 %d %s\r\n", reply.Status, http.StatusText(reply.Status))
	bodyless := reply.Status == http.StatusNoContent || reply.Status == http.StatusNotModified
	head := call != nil && call.Request.Method == http.MethodHead
	for name, values := range reply.Header {
		if name == "Content-Length" && !head && !bodyless {
			continue
		}
		for _, value := range values {
			fmt.Fprintf(&buffer, "%s: %s\r\n", name, value)
		}
	}
	if closes {
		buffer.WriteString("Connection: close\r\n")
	}
	if !head && !bodyless {
		fmt.Fprintf(&buffer, "Content-Length: %d\r\n\r\n", len(reply.Body))
		buffer.Write(reply.Body)
	} else {
		buffer.WriteString("\r\n")
	}
	return connection.writeAll(buffer.Bytes(), connection.writeTime(buffer.Len(), call))
}

// writeTime returns how long the writing of an answer may take: as long as its caller waits, at least writeTimeout and
// the time that it takes at minWriteRate.
func (connection *connection) writeTime(length int, call *Call) time.Duration {
	least := writeTimeout + time.Duration(float64(length)/minWriteRate*float64(time.Second))
	if call == nil || connection.receiver.Patience == nil {
		return least
	}
	return max(least, time.Until(call.Received.Add(connection.receiver.Patience(call.Request.Header))))
}

// writeAll writes an answer within a time, while the caller takes some of it every writeTimeout. It returns false if
// that failed.
func (connection *connection) writeAll(answer []byte, limit time.Duration) bool {
	for end := time.Now().Add(limit); ; {
		_ = connection.raw.SetWriteDeadline(time.Now().Add(min(writeTimeout, time.Until(end))))
		n, err := connection.raw.Write(answer)
		if err == nil {
			return true
		}
		answer = answer[n:]
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false // the caller has left
		}
		if n == 0 || !time.Now().Before(end) {
			connection.mutex.Lock()
			defer connection.mutex.Unlock()
			connection.logCut("caller-stalled", len(answer))
			return false
		}
	}
}
