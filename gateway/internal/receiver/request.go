package receiver

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"strings"
	"time"

	"godwitramp.example/core/indexer"
)

// requestError is the status and reason with which a request is refused.
type requestError struct {
	status int
	reason string
}

// Error returns the reason.
func (err *requestError) Error() string { return err.reason }

func malformed(reason string) error {
	return &requestError{status: http.StatusBadRequest, reason: reason}
}

// limits returns the current limits, with defaults for those not set.
func (receiver *Receiver) limits() indexer.Limits {
	limits := receiver.Limits()
	if limits.HeaderBytes <= 0 {
		limits.HeaderBytes = defaultHeaderBytes
	}
	if limits.BodyBytes <= 0 {
		limits.BodyBytes = defaultBodyBytes
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultHeaderTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = defaultIdleTimeout
	}
	return limits
}

var headTerminator = []byte("\r\n\r\n")

// readerSize returns the buffer size with which heads up to the limit can be read.
func readerSize(headerBytes int) int { return headerBytes + len(headTerminator) }

// errClosing is the error of a request that begins while the closing answer is being written.
var errClosing = errors.New("connection is closing")

// read reads one request. An error is a *requestError if the caller can be answered. The call is then not nil
// if the head was read.
func (connection *connection) read(ctx context.Context, turn <-chan struct{}) (*Call, error) {
	connection.mutex.Lock()
	connection.setIdleDeadline()
	connection.mutex.Unlock()
	if err := connection.awaitRequest(); err != nil {
		return nil, err
	}
	limits := connection.receiver.limits()
	if !connection.beginRead(limits.HeaderTimeout) {
		return nil, errClosing
	}
	if size := readerSize(limits.HeaderBytes); connection.reader.Size() < size { // the limit has grown
		connection.reader = bufio.NewReaderSize(connection.reader, size)
	}
	head, err := connection.readHead(limits.HeaderBytes)
	if err != nil {
		return nil, err
	}
	request, err := parseHead(head)
	if err != nil {
		return nil, err
	}
	call := &Call{Request: request, Target: request.RequestURI, Received: time.Now()}
	deadline := call.Received.Add(connection.receiver.bodyTimeout(request.Header))
	connection.extendReadDeadline(deadline)
	if call.Body, err = connection.readBody(ctx, turn, request, limits.BodyBytes, deadline); err != nil {
		return call, err
	}
	request.Body = http.NoBody
	return call, nil
}

// awaitRequest waits for the first byte of a request and skips empty lines before it.
func (connection *connection) awaitRequest() error {
	for {
		first, err := connection.reader.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) && connection.stayIdle() {
			continue
		}
		if err != nil {
			return fmt.Errorf("wait for request: %w", err)
		}
		if first[0] != '\r' && first[0] != '\n' {
			return nil
		}
		_, _ = connection.reader.Discard(1) // was peeked
	}
}

// beginRead sets the read deadline for the head. It returns false if the connection is
// closing.
func (connection *connection) beginRead(timeout time.Duration) bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if connection.closing {
		return false
	}
	connection.reading, connection.evicted = true, false
	_ = connection.raw.SetReadDeadline(time.Now().Add(timeout))
	return true
}

// extendReadDeadline sets the read deadline unless the connection is closing.
func (connection *connection) extendReadDeadline(deadline time.Time) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if !connection.closing {
		_ = connection.raw.SetReadDeadline(deadline)
	}
}

// readHead returns a copy of the request line and the headers.
func (connection *connection) readHead(limit int) ([]byte, error) {
	for minBuffered := 1; ; {
		if _, err := connection.reader.Peek(minBuffered); err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				return nil, &requestError{status: http.StatusRequestTimeout, reason: "header-timeout"}
			}
			return nil, fmt.Errorf("read head: %w", err)
		}
		buffered, _ := connection.reader.Peek(connection.reader.Buffered())
		if end := bytes.Index(buffered, headTerminator); end >= 0 && end+len(headTerminator) <= limit {
			head := bytes.Clone(buffered[:end+len(headTerminator)])
			_, _ = connection.reader.Discard(len(head)) // was peeked
			return head, nil
		}
		if len(buffered) >= limit {
			return nil, &requestError{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header-too-large"}
		}
		minBuffered = len(buffered) + 1
	}
}

// parseHead parses a head. It rejects heads that targets might parse in another way than
// net/http, as that would allow request smuggling.
func parseHead(head []byte) (*http.Request, error) {
	if err := checkHead(head); err != nil {
		return nil, err
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return nil, malformed("head-malformed")
	}
	if !strings.HasPrefix(request.RequestURI, "/") || strings.ContainsAny(request.RequestURI, "#\\") {
		return nil, malformed("target-malformed")
	}
	if request.Host == "" {
		return nil, malformed("host-missing")
	}
	return request, nil
}

func checkHead(head []byte) error {
	lines := bytes.Split(head[:len(head)-len(headTerminator)], []byte("\r\n"))
	var lengths, encodings, hosts int
	for i, line := range lines {
		if bytes.ContainsAny(line, "\r\n\x00") || len(line) == 0 {
			return malformed("line-malformed")
		}
		if i == 0 {
			continue
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
			return malformed("header-malformed")
		}
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
			if !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
				return malformed("transfer-encoding-unknown")
			}
		case bytes.EqualFold(name, []byte("Host")):
			hosts++
		}
	}
	if lengths+encodings > 1 || hosts > 1 {
		return malformed("framing-ambiguous")
	}
	return nil
}

// continueLine asks the caller for the body, which it withholds because of the header
// "Expect: 100-continue".
const continueLine = "HTTP/1.1 100 Continue\r\n\r\n"

// readBody reads the whole body. turn is closed once the earlier requests are answered.
func (connection *connection) readBody(
	ctx context.Context, turn <-chan struct{}, request *http.Request, limit int64, deadline time.Time,
) ([]byte, error) {
	chunked := len(request.TransferEncoding) > 0
	if !chunked && request.ContentLength <= 0 {
		return nil, nil
	}
	if request.ContentLength > limit {
		return nil, &requestError{status: http.StatusRequestEntityTooLarge, reason: "body-too-large"}
	}
	if strings.EqualFold(request.Header.Get("Expect"), "100-continue") {
		if err := connection.awaitTurn(ctx, turn); err != nil { // an interim answer must not precede earlier answers
			return nil, err
		}
		connection.extendReadDeadline(deadline)
		_ = connection.raw.SetWriteDeadline(time.Now().Add(writeTimeout)) // that of the last answer may have passed
		if _, err := io.WriteString(connection.raw, continueLine); err != nil {
			return nil, fmt.Errorf("write 100 Continue: %w", err)
		}
	}
	return connection.readCountedBody(request.ContentLength, chunked, limit)
}

// maxLoggedBytes limits the text of a caller in a line of the log.
const maxLoggedBytes = 256

func bounded(text string) string { return text[:min(len(text), maxLoggedBytes)] }

// requestID returns the ID of a request for logs, "" if it has none.
func (receiver *Receiver) requestID(call *Call) string {
	if receiver.RequestID == nil {
		return ""
	}
	return bounded(receiver.RequestID(call.Request.Header))
}

// bodyTimeout returns the time within which the body of a request has to be complete.
func (receiver *Receiver) bodyTimeout(header http.Header) time.Duration {
	if receiver.Patience != nil {
		if patience := receiver.Patience(header); patience > 0 {
			return min(patience, bodyTimeout)
		}
	}
	return bodyTimeout
}

// countedReader reads a body whose bytes count towards the limit for all bodies.
type countedReader struct {
	receiver *Receiver
	reader   io.Reader
	held     int64
}

var errBodiesTooLarge = &requestError{status: http.StatusServiceUnavailable, reason: "bodies-too-large"}

// Read returns errBodiesTooLarge if the body exceeds its share of the limit.
func (countedReader *countedReader) Read(buffer []byte) (int, error) {
	n, err := countedReader.reader.Read(buffer)
	if !countedReader.receiver.growBody(countedReader.held, int64(n)) {
		err = errBodiesTooLarge
	}
	countedReader.held += int64(n)
	return n, err
}

// readCountedBody reads a body of the given length or in chunks. The bytes that it returns
// count until dropBody. A body of no bytes is not nil.
func (connection *connection) readCountedBody(length int64, chunked bool, limit int64) ([]byte, error) {
	receiver := connection.receiver
	counted := &countedReader{receiver: receiver, reader: connection.reader}
	receiver.beginBody()
	var body []byte
	var err error
	if chunked {
		counted.reader = httputil.NewChunkedReader(connection.reader)
		body, err = connection.readChunkedBody(counted, limit)
	} else {
		body, err = readFixedBody(counted, length)
	}
	if err != nil {
		receiver.endBody(counted.held)
		return nil, err
	}
	receiver.finishBody(counted.held)
	return body, nil
}

// readFixedBody reads a body of known length. The memory grows with what arrives, not with
// what the caller announces.
func readFixedBody(reader io.Reader, length int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(reader, length))
	if err == nil && int64(len(body)) < length {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, bodyError(err)
	}
	return body, nil
}

// bodyError returns the error of a body that could not be read. A caller that was too slow
// is answered, as its request has not run.
func bodyError(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return &requestError{status: http.StatusRequestTimeout, reason: "body-timeout"}
	}
	return fmt.Errorf("read body: %w", err)
}

// maxTrailerLines limits the lines after the last chunk.
const maxTrailerLines = 32

func (connection *connection) readChunkedBody(reader io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(reader, limit+1))
	var failure net.Error
	switch {
	case errors.Is(err, errBodiesTooLarge), errors.As(err, &failure), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return nil, bodyError(err)
	case err != nil:
		return nil, malformed("chunk-malformed")
	case int64(len(body)) > limit:
		return nil, &requestError{status: http.StatusRequestEntityTooLarge, reason: "body-too-large"}
	}
	for range maxTrailerLines {
		line, err := connection.reader.ReadSlice('\n')
		if err != nil {
			return nil, fmt.Errorf("read trailer: %w", err)
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return body, nil
		}
	}
	return nil, malformed("trailer-too-long")
}
