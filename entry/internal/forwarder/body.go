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
	heldBodyBytes = 64 << 10
	// maxHeldBytes bounds what all requests of a VM hold together.
	maxHeldBytes = 64 << 20
)

var errHeldFull = errors.New("too many bodies are held")

var heldBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// requestBody is the body of a caller's request.
type requestBody struct {
	held *bytes.Buffer
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
func (run *run) readBody() error {
	request := run.request
	run.body.length = request.ContentLength
	if request.ContentLength == 0 || request.Body == nil || request.Body == http.NoBody {
		run.body.length = 0
		return nil
	}
	if !run.reserve() {
		return errHeldFull
	}
	controller := http.NewResponseController(run.writer)
	deadline, _ := run.ctx.Deadline()
	_ = controller.SetReadDeadline(deadline)
	held := heldBuffers.Get().(*bytes.Buffer)
	held.Reset()
	run.body.held = held
	_, err := io.CopyN(held, request.Body, heldBodyBytes)
	if errors.Is(err, io.EOF) {
		_ = controller.SetReadDeadline(time.Time{})
		run.body.length = int64(held.Len())
		return nil
	}
	if err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	_ = controller.EnableFullDuplex()
	run.body.rest = &notingReader{ReadCloser: request.Body, err: &run.body.err}
	run.body.controller = controller
	return nil
}

// reserve counts the bytes that the request may hold.
func (run *run) reserve() bool {
	run.body.reserved = heldBodyBytes
	if length := run.request.ContentLength; length > 0 {
		run.body.reserved = min(heldBodyBytes, length)
	}
	return run.forwarder.heldBytes.Add(run.body.reserved) <= maxHeldBytes
}

// streamed reports whether part of the body is still to come.
func (body *requestBody) streamed() bool { return body.rest != nil }

// reader returns the body for an attempt, or nil if it is empty.
func (body *requestBody) reader() io.ReadCloser {
	if body.length == 0 {
		return nil
	}
	held := bytes.NewReader(body.held.Bytes())
	if body.rest == nil {
		return io.NopCloser(held)
	}
	return io.NopCloser(io.MultiReader(held, body.rest))
}

// notingReader keeps the error that a body ended with.
type notingReader struct {
	io.ReadCloser
	err *error
}

// Read reads from the caller.
func (reader *notingReader) Read(data []byte) (int, error) {
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
func (run *run) releaseBody() {
	body := &run.body
	run.forwarder.heldBytes.Add(-body.reserved)
	body.reserved = 0
	if body.held != nil {
		heldBuffers.Put(body.held)
		body.held = nil
	}
}

// unreadBodyTimeout is how long the rest of a body may take that nobody wants.
const unreadBodyTimeout = time.Second

// AbandonBody closes the caller's connection after the answer. Without a
// deadline, net/http would wait for the rest of the body for ever.
func AbandonBody(writer http.ResponseWriter) {
	writer.Header().Set("Connection", "close")
	_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
}

func (run *run) refuseBody(err error) {
	outcome := run.outcome()
	var tooLarge *http.MaxBytesError
	AbandonBody(run.writer)
	switch {
	case errors.Is(err, errHeldFull):
		run.refuseOverload()
	case errors.As(err, &tooLarge):
		run.refuse(http.StatusRequestEntityTooLarge, outcome, "body-too-large",
			fmt.Sprintf("the body has more than %d bytes", tooLarge.Limit), 0)
	case errors.Is(err, os.ErrDeadlineExceeded) || run.ctx.Err() != nil:
		run.refuse(http.StatusRequestTimeout, outcome, "body-too-slow", "the body didn't come in time", 0)
	default:
		run.refuse(http.StatusBadRequest, outcome, "body-malformed", "the body can't be read to its end", 0)
	}
}
