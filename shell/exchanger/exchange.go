package exchanger

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"godwitramp.example/shell/detector"
)

// exchange is a request and its answer on one connection.
type exchange struct {
	exchanger  *Exchanger
	connection *connection
	call       Call
	// detachContext prevents the end of the context from closing the
	// connection.
	detachContext func() bool
	// writeDone receives the result of writing a streamed request, once. It is
	// nil if the request isn't streamed or the result has been received.
	writeDone chan error
	writeErr  error
	// answered is true if at least one byte of an answer was received.
	answered  bool
	malformed bool
	trace     Trace
	begunAt   time.Time
	// writtenAt is when writing ended, in nanoseconds since begunAt, 0 until then.
	writtenAt atomic.Int64
}

// maxTimedBody is the size, in bytes, of the longest body for which Exchanger.UnackedTimeout applies. An
// upstream may read a longer one late, and what doesn't fit in its buffers counts as unacknowledged.
const maxTimedBody = 16 << 10

// limitSilence sets how long the upstream may acknowledge nothing of this request.
func (exchange *exchange) limitSilence() error {
	timeout, connection := exchange.exchanger.UnackedTimeout, exchange.connection
	if length := exchange.call.Request.ContentLength; length < 0 || length > maxTimedBody {
		timeout = 0
	}
	if timeout == connection.unackedTimeout || connection.raw == nil {
		return nil
	}
	connection.unackedTimeout = timeout
	return UnackedTimeout(timeout).set(connection.raw)
}

func (exchange *exchange) send() {
	if exchange.writeErr = exchange.limitSilence(); exchange.writeErr != nil {
		return
	}
	if !exchange.call.Streamed {
		exchange.writeErr = exchange.write()
		return
	}
	exchange.writeDone = make(chan error, 1)
	request := exchange.call.Request
	request.Body = &abortingBody{ReadCloser: request.Body, connection: exchange.connection}
	go func() { exchange.writeDone <- exchange.write() }()
}

func (exchange *exchange) write() error {
	writer := exchange.connection.writer
	if err := exchange.call.Request.Write(writer); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	if err := writer.Flush(); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	exchange.writtenAt.Store(int64(time.Since(exchange.begunAt)))
	return nil
}

// traceFirstByte records when an answer began.
func (exchange *exchange) traceFirstByte() {
	if writtenAt := time.Duration(exchange.writtenAt.Load()); writtenAt > 0 {
		exchange.trace.FirstByte = time.Since(exchange.begunAt) - writtenAt
	}
}

// abortingBody closes the connection if reading the body fails, so that the
// upstream can't mistake a partial body for the complete one.
type abortingBody struct {
	io.ReadCloser
	connection *connection
}

// Read reads from the body of the request.
func (body *abortingBody) Read(data []byte) (int, error) {
	n, err := body.ReadCloser.Read(data)
	if err != nil && !errors.Is(err, io.EOF) {
		_ = body.connection.Close()
	}
	return n, err
}

// receive reads the status line and header of the answer. An upstream may
// answer before it has read the whole request, so an answer may arrive even if
// the write failed.
func (exchange *exchange) receive() (*http.Response, error) {
	connection := exchange.connection
	if exchange.writeErr != nil && !connection.mayHaveWritten() {
		return nil, exchange.writeErr
	}
	for range maxAnswersPerCall {
		connection.readBudget = maxHeaderBytes
		if _, err := connection.reader.Peek(1); err != nil {
			return nil, fmt.Errorf("wait for the answer: %w", err)
		}
		exchange.answered = true
		exchange.traceFirstByte()
		response, err := http.ReadResponse(connection.reader, exchange.call.Request)
		if err == nil {
			err = detector.Check(response)
		}
		if err != nil {
			exchange.malformed = !IsConnectionError(err)
			if exchange.malformed && !errors.Is(err, detector.ErrMalformed) {
				err = fmt.Errorf("%w: %w", detector.ErrMalformed, err)
			}
			return nil, fmt.Errorf("read head of the answer: %w", err)
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			exchange.malformed = true
			return nil, detector.ErrUnexpectedUpgrade // header fields that ask for another protocol are never sent
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		connection.readBudget = unlimited
		if exchange.call.Matches == nil || exchange.call.Matches(response) {
			return response, nil
		}
		exchange.trace.Discarded++
		if exchange.call.Request.Method == http.MethodHead {
			err = errMismatchedAnswer // whether it has a body can't be told
		} else {
			err = discardMismatched(response)
		}
		if err != nil {
			exchange.malformed = true
			return nil, err
		}
	}
	exchange.malformed = true
	return nil, errTooManyAnswers
}

// maxMismatchedBytes is the maximum size of the body of an answer to another
// request. If the body is larger, the exchange fails.
const maxMismatchedBytes = 256 << 10

var errMismatchedAnswer = errors.New("the answer is to another request")

// discardMismatched reads the body of an answer to another request to its end.
func discardMismatched(response *http.Response) error {
	if response.Close || response.ContentLength > maxMismatchedBytes {
		return errMismatchedAnswer
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxMismatchedBytes+1))
	if err != nil {
		return fmt.Errorf("read an answer to another request: %w", err)
	}
	if n > maxMismatchedBytes {
		return errMismatchedAnswer
	}
	return nil
}

// IsConnectionError reports whether an error of reading an answer means that its connection has ended or failed, and not
// that the answer violates HTTP.
func IsConnectionError(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, io.ErrClosedPipe) || errors.As(err, &netErr)
}

// fail closes the connection and returns err with the progress of the
// exchange.
func (exchange *exchange) fail(ctx context.Context, err error) *Error {
	exchange.abandon()
	if ctx.Err() != nil {
		err = fmt.Errorf("%w: %w", context.Cause(ctx), err)
	}
	return &Error{
		Written: exchange.connection.mayHaveWritten(), FreshConnection: exchange.connection.fresh,
		Answered: exchange.answered, Malformed: exchange.malformed, Trace: exchange.trace, Err: err,
	}
}

// abandon closes the connection and waits until the body of the request is no
// longer being read.
func (exchange *exchange) abandon() {
	exchange.detachContext()
	_ = exchange.connection.Close()
	if exchange.writeDone == nil {
		return
	}
	select {
	case <-exchange.writeDone:
		return
	default:
	}
	if exchange.call.StopBody != nil {
		exchange.call.StopBody()
	}
	<-exchange.writeDone
}

// requestSent reports whether the request was written completely.
func (exchange *exchange) requestSent() bool {
	if exchange.writeDone != nil {
		select {
		case exchange.writeErr = <-exchange.writeDone:
			exchange.writeDone = nil
		default:
			return false
		}
	}
	return exchange.writeErr == nil
}

// Answer is an upstream's answer. Its body must be read through Response.Body,
// and the caller must call Close.
type Answer struct {
	Response *http.Response
	// FreshConnection is true if the connection was opened for this call.
	FreshConnection bool
	Trace           Trace
	// NoReuse, set before Close, keeps the connection from being used again.
	NoReuse bool
	// Unnamed, set before Close, is counted in Trace.Unnamed of later calls.
	Unnamed bool

	exchange     *exchange
	bodyComplete bool
	closed       bool
}

// RequestSent reports whether the request was written completely.
func (answer *Answer) RequestSent() bool { return answer.exchange.requestSent() }

// Close ends the exchange. The connection goes back to the pool only if the
// request was written and the answer was read completely; otherwise it is
// closed.
func (answer *Answer) Close() {
	if answer.closed {
		return
	}
	answer.closed = true
	exchange := answer.exchange
	response := answer.Response
	complete := answer.bodyComplete || response.Body.(*body).empty()
	reusable := complete && !answer.NoReuse && !response.Close && !exchange.call.Request.Close &&
		exchange.requestSent() && exchange.connection.reader.Buffered() == 0
	if reusable && exchange.detachContext() {
		exchange.connection.keepAliveTimeout = keepAliveTimeout(response.Header)
		if answer.Unnamed {
			exchange.connection.unnamed++
		}
		exchange.exchanger.putIdle(exchange.connection)
		return
	}
	exchange.abandon()
}

// keepAliveMargin is subtracted from the timeout that the upstream sends,
// because a request must arrive before the upstream closes the connection.
const keepAliveMargin = 500 * time.Millisecond

// keepAliveTimeout returns how long the connection may stay idle according to
// the Keep-Alive header, or 0 if there is no valid timeout.
func keepAliveTimeout(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 || seconds > maxKeepAliveSeconds {
			return 0 // only the idle timeout of the pool applies
		}
		return max(time.Nanosecond, time.Duration(seconds)*time.Second-keepAliveMargin)
	}
	return 0
}

const maxKeepAliveSeconds = 24 * 60 * 60

// Discard closes an answer without using it. If the rest of the body is
// already buffered, it is read, so that the connection can be reused.
func (answer *Answer) Discard() {
	response := answer.Response
	if response.ContentLength > 0 && response.ContentLength <= int64(answer.exchange.connection.reader.Buffered()) {
		_, _ = io.Copy(io.Discard, response.Body)
	}
	answer.Close()
}

// body records whether the answer was read to its end.
type body struct {
	io.ReadCloser
	answer *Answer
}

// Read reads from the body of the answer.
func (body *body) Read(data []byte) (int, error) {
	n, err := body.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		body.answer.bodyComplete = true
	}
	return n, err
}

func (body *body) empty() bool { return body.ReadCloser == http.NoBody }
