package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// heldBodyBytes is how much of a body is read before a target is picked,
	// so that slow callers hold no slots and short bodies can be sent again.
	maxBufferedBodyBytes = 64 << 10
	// maxHeldBytes bounds what all requests of a VM hold together.
	maxTotalBufferedBytes = 64 << 20
)

var errBuffersFull = errors.New("too many bodies are held")

var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// requestBody is the body of a caller's request.
type requestBody struct {
	buffered *bytes.Buffer
	// rest is nil if the whole body is held.
	rest io.ReadCloser
	// length is negative if it is not known.
	length int64
	// reserved is counted among the bytes that all requests hold.
	reserved int64
	// err is why the rest can't be read. It is settled once no attempt runs.
	err        error
	controller *http.ResponseController
	stopped    bool
}

// readBody holds the beginning of the body.
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
	deadline, _ := handler.ctx.Deadline()
	_ = controller.SetReadDeadline(deadline)
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
		return fmt.Errorf("read body: %w", err)
	}
	_ = controller.EnableFullDuplex()
	handler.body.rest = &errorRecordingReader{ReadCloser: request.Body, err: &handler.body.err}
	handler.body.controller = controller
	return nil
}

// reserve counts the bytes that the request may hold.
func (handler *handler) reserve() bool {
	handler.body.reserved = maxBufferedBodyBytes
	if length := handler.request.ContentLength; length > 0 {
		handler.body.reserved = min(maxBufferedBodyBytes, length)
	}
	return handler.forwarder.bufferedBytes.Add(handler.body.reserved) <= maxTotalBufferedBytes
}

// streamed reports whether part of the body is still to come.
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

// notingReader keeps the error that a body ended with.
type errorRecordingReader struct {
	io.ReadCloser
	err *error
}

// Read reads from the caller.
func (reader *errorRecordingReader) Read(data []byte) (int, error) {
	n, err := reader.ReadCloser.Read(data)
	if err != nil && !errors.Is(err, io.EOF) {
		*reader.err = err
	}
	return n, err
}

// stopReading makes a blocked read of the caller's connection return.
func (body *requestBody) stopReading() {
	if body.controller != nil && !body.stopped {
		body.stopped = true
		_ = body.controller.SetReadDeadline(time.Unix(1, 0))
	}
}

// releaseBody lets go of the memory. No attempt may use the body any more.
func (handler *handler) releaseBody() {
	body := &handler.body
	handler.forwarder.bufferedBytes.Add(-body.reserved)
	body.reserved = 0
	if body.buffered != nil {
		bufferPool.Put(body.buffered)
		body.buffered = nil
	}
}

// unreadBodyTimeout is how long the rest of a body may take that nobody wants.
const unreadBodyTimeout = time.Second

// CloseAfterAnswer closes the caller's connection after the answer. Without a
// deadline, net/http would wait for the rest of the body for ever.
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
