package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedBodyBytes is how much of a body is read before a target is picked, so
	// that slow callers occupy no slots and short bodies can be sent again.
	maxBufferedBodyBytes = 64 << 10
	// maxTotalBufferedBytes limits the bytes that all requests of a VM buffer together.
	maxTotalBufferedBytes = 64 << 20
)

var errBuffersFull = errors.New("too many request bodies are buffered")

var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// requestBody is the body of a caller's request.
type requestBody struct {
	buffered *bytes.Buffer
	// rest is the part that isn't buffered, or nil if the whole body is.
	rest io.ReadCloser
	// length is negative if it is not known.
	length int64
	// reserved is this body's part of the bytes that all requests buffer.
	reserved int64
	// failure is what reading the rest failed with. It is nil if reading was only stopped before the deadline.
	failure atomic.Pointer[error]
	// interrupted is true if a read ran into a deadline. The request's context then ends, though the caller may
	// still be there.
	interrupted atomic.Bool
	stopped     atomic.Bool
	controller  *http.ResponseController
	deadline    time.Time
}

// readBody buffers the body up to maxBufferedBodyBytes.
func (handler *handler) readBody() error {
	request := handler.request
	handler.body.length = request.ContentLength
	if request.ContentLength == 0 || request.Body == nil || request.Body == http.NoBody {
		handler.body.length = 0
		return nil
	}
	if !handler.reserve() {
		return errBuffersFull
	}
	controller := http.NewResponseController(handler.writer)
	handler.body.deadline, _ = handler.ctx.Deadline()
	_ = controller.SetReadDeadline(handler.body.deadline)
	buffered := bufferPool.Get().(*bytes.Buffer)
	buffered.Reset()
	handler.body.buffered = buffered
	_, err := io.CopyN(buffered, request.Body, maxBufferedBodyBytes)
	if errors.Is(err, io.EOF) {
		_ = controller.SetReadDeadline(time.Time{})
		handler.body.length = int64(buffered.Len())
		return nil
	}
	if err != nil {
		handler.body.interrupted.Store(errors.Is(err, os.ErrDeadlineExceeded))
		return fmt.Errorf("read body: %w", err)
	}
	_ = controller.EnableFullDuplex()
	handler.body.rest = &errorRecordingReader{ReadCloser: request.Body, body: &handler.body}
	handler.body.controller = controller
	return nil
}

// reserve reserves the bytes that the request may buffer. It reports false if all
// requests together then exceed the limit.
func (handler *handler) reserve() bool {
	handler.body.reserved = maxBufferedBodyBytes
	if length := handler.request.ContentLength; length > 0 {
		handler.body.reserved = min(maxBufferedBodyBytes, length)
	}
	return handler.forwarder.bufferedBytes.Add(handler.body.reserved) <= maxTotalBufferedBytes
}

// streamed reports whether a part of the body isn't buffered.
func (body *requestBody) streamed() bool { return body.rest != nil }

// reader returns the body for an attempt, or nil if it is empty.
func (body *requestBody) reader() io.ReadCloser {
	if body.length == 0 {
		return nil
	}
	buffered := bytes.NewReader(body.buffered.Bytes())
	if body.rest == nil {
		return io.NopCloser(buffered)
	}
	return io.NopCloser(io.MultiReader(buffered, body.rest))
}

// errorRecordingReader records the error, other than io.EOF, that a body ended with.
type errorRecordingReader struct {
	io.ReadCloser
	body *requestBody
}

// Read reads from the caller's body.
func (reader *errorRecordingReader) Read(data []byte) (int, error) {
	n, err := reader.ReadCloser.Read(data)
	if err != nil && !errors.Is(err, io.EOF) {
		reader.body.recordFailure(err)
	}
	return n, err
}

func (body *requestBody) recordFailure(err error) {
	interrupted := errors.Is(err, os.ErrDeadlineExceeded)
	if interrupted {
		body.interrupted.Store(true)
	}
	if !interrupted || !body.stopped.Load() || !time.Now().Before(body.deadline) {
		body.failure.Store(&err)
	}
}

// stopReading makes a blocked read from the caller's connection return.
func (body *requestBody) stopReading() {
	if body.controller != nil && !body.stopped.Swap(true) {
		_ = body.controller.SetReadDeadline(time.Unix(1, 0))
	}
}

// resumeReading lets a further attempt read the caller's body, which the one before hasn't begun to read.
func (body *requestBody) resumeReading() {
	if !body.interrupted.Load() && body.stopped.Swap(false) {
		_ = body.controller.SetReadDeadline(body.deadline)
	}
}

// releaseBody releases the buffer. No attempt may use the body afterwards.
func (handler *handler) releaseBody() {
	body := &handler.body
	handler.forwarder.bufferedBytes.Add(-body.reserved)
	body.reserved = 0
	if body.buffered != nil {
		bufferPool.Put(body.buffered)
		body.buffered = nil
	}
}

// unreadBodyTimeout limits how long net/http reads the unused rest of a body.
const unreadBodyTimeout = time.Second

// CloseAfterAnswer makes the server close the caller's connection after the answer. It
// also sets a read deadline, without which net/http would wait for the rest of the body
// forever.
func CloseAfterAnswer(writer http.ResponseWriter) {
	writer.Header().Set("Connection", "close")
	_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
}

func (handler *handler) refuseBody(err error) {
	outcome := handler.outcome()
	var tooLarge *http.MaxBytesError
	CloseAfterAnswer(handler.writer)
	switch {
	case errors.Is(err, errBuffersFull):
		handler.refuseOverload()
	case errors.As(err, &tooLarge):
		handler.refuse(http.StatusRequestEntityTooLarge, outcome, "body-too-large",
			fmt.Sprintf("the body has more than %d bytes", tooLarge.Limit), 0)
	case errors.Is(err, os.ErrDeadlineExceeded) || handler.ctx.Err() != nil:
		handler.refuse(http.StatusRequestTimeout, outcome, "body-too-slow", "the body didn't come in time", 0)
	default:
		handler.refuse(http.StatusBadRequest, outcome, "body-malformed", "the body can't be read to its end", 0)
	}
}
