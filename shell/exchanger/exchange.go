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
	"time"
)

// exchange is one request and its answer on one connection.
type exchange struct {
	exchanger  *Exchanger
	connection *connection
	call       Call
	// stop keeps the end of the context from closing the connection.
	stop func() bool
	// sent gives the result of sending a streamed request once.
	sent    chan error
	sentErr error
	// answered is true if a byte of an answer came.
	answered  bool
	malformed bool
}

func (exchange *exchange) send() {
	if !exchange.call.Streamed {
		exchange.sentErr = exchange.write()
		return
	}
	exchange.sent = make(chan error, 1)
	request := exchange.call.Request
	request.Body = &abortingBody{ReadCloser: request.Body, connection: exchange.connection}
	go func() { exchange.sent <- exchange.write() }()
}

func (exchange *exchange) write() error {
	writer := exchange.connection.writer
	if err := exchange.call.Request.Write(writer); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	if err := writer.Flush(); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	return nil
}

// abortingBody closes the connection if the body can't be read to its end, so
// that the upstream never takes a part for the whole.
type abortingBody struct {
	io.ReadCloser
	connection *connection
}

// Read reads from the caller.
func (body *abortingBody) Read(data []byte) (int, error) {
	n, err := body.ReadCloser.Read(data)
	if err != nil && !errors.Is(err, io.EOF) {
		_ = body.connection.Close()
	}
	return n, err
}

// receive reads the head of the answer. Upstreams may answer before they have
// read the request, so a failed write doesn't rule an answer out.
func (exchange *exchange) receive() (*http.Response, error) {
	connection := exchange.connection
	if exchange.sentErr != nil && !connection.touched() {
		return nil, exchange.sentErr
	}
	for range maxInterimAnswers {
		connection.readBudget = maxHeaderBytes
		if _, err := connection.reader.Peek(1); err != nil {
			return nil, fmt.Errorf("await answer: %w", err)
		}
		exchange.answered = true
		response, err := http.ReadResponse(connection.reader, exchange.call.Request)
		if err != nil {
			exchange.malformed = !isConnectionError(err)
			return nil, fmt.Errorf("read head of the answer: %w", err)
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			exchange.malformed = true
			return nil, errUpgrade
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		connection.readBudget = unlimited
		if exchange.call.Belongs == nil || exchange.call.Belongs(response) {
			return response, nil
		}
		if err := dropAnswer(response); err != nil {
			exchange.malformed = true
			return nil, err
		}
	}
	exchange.malformed = true
	return nil, errInterim
}

// maxDroppedBytes bounds the body of an answer to another request.
const maxDroppedBytes = 256 << 10

var errNotOurs = errors.New("the answer is to another request")

// dropAnswer reads an answer to another request to its end.
func dropAnswer(response *http.Response) error {
	if response.Close || response.ContentLength > maxDroppedBytes {
		return errNotOurs
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDroppedBytes+1))
	if err != nil {
		return fmt.Errorf("read an answer to another request: %w", err)
	}
	if n > maxDroppedBytes {
		return errNotOurs
	}
	return nil
}

func isConnectionError(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, io.ErrClosedPipe) || errors.As(err, &netErr)
}

// fail closes the connection and says how far the exchange came.
func (exchange *exchange) fail(ctx context.Context, err error) *Error {
	exchange.abandon()
	if ctx.Err() != nil {
		err = fmt.Errorf("%w: %w", context.Cause(ctx), err)
	}
	return &Error{
		Written: exchange.connection.touched(), FreshConnection: exchange.connection.fresh,
		Answered: exchange.answered, Malformed: exchange.malformed, Err: err,
	}
}

// abandon closes the connection and waits until nothing reads the body of the
// request any more.
func (exchange *exchange) abandon() {
	exchange.stop()
	_ = exchange.connection.Close()
	if exchange.sent == nil {
		return
	}
	select {
	case <-exchange.sent:
		return
	default:
	}
	if exchange.call.StopBody != nil {
		exchange.call.StopBody()
	}
	<-exchange.sent
}

// wholeRequestSent reports whether the request was written to its end.
func (exchange *exchange) wholeRequestSent() bool {
	if exchange.sent != nil {
		select {
		case exchange.sentErr = <-exchange.sent:
			exchange.sent = nil
		default:
			return false
		}
	}
	return exchange.sentErr == nil
}

// Answer is an upstream's answer. Its body must be read through
// Response.Body.
type Answer struct {
	Response *http.Response
	// FreshConnection is true if the connection was opened for the call.
	FreshConnection bool

	exchange *exchange
	whole    bool
	ended    bool
}

// RequestSent reports whether the request had been written to its end.
func (answer *Answer) RequestSent() bool { return answer.exchange.wholeRequestSent() }

// Close ends the exchange. The connection is kept only if the request and the
// answer have both come to their end.
func (answer *Answer) Close() {
	if answer.ended {
		return
	}
	answer.ended = true
	exchange := answer.exchange
	response := answer.Response
	whole := answer.whole || response.Body.(*body).empty()
	reusable := whole && !response.Close && !exchange.call.Request.Close &&
		exchange.wholeRequestSent() && exchange.connection.reader.Buffered() == 0
	if reusable && exchange.stop() {
		exchange.connection.keepFor = keepAlive(response.Header)
		exchange.exchanger.put(exchange.connection)
		return
	}
	exchange.abandon()
}

// keepAliveMargin is how much sooner than the upstream says a connection is
// left, since the request has to arrive before the upstream closes it.
const keepAliveMargin = 500 * time.Millisecond

// keepAlive returns how long the upstream keeps the idle connection open, 0 if
// it doesn't say.
func keepAlive(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 || seconds > maxKeepAliveSeconds {
			return 0 // the pool's own limit holds
		}
		return max(time.Nanosecond, time.Duration(seconds)*time.Second-keepAliveMargin)
	}
	return 0
}

const maxKeepAliveSeconds = 24 * 60 * 60

// Discard closes an answer that isn't wanted. A short body that has come
// already is read, so that the connection can be kept.
func (answer *Answer) Discard() {
	response := answer.Response
	if response.ContentLength > 0 && response.ContentLength <= int64(answer.exchange.connection.reader.Buffered()) {
		_, _ = io.Copy(io.Discard, response.Body)
	}
	answer.Close()
}

// body notes that the answer was read to its end.
type body struct {
	io.ReadCloser
	answer *Answer
}

// Read reads from the upstream.
func (body *body) Read(data []byte) (int, error) {
	n, err := body.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		body.answer.whole = true
	}
	return n, err
}

func (body *body) empty() bool { return body.ReadCloser == http.NoBody }
