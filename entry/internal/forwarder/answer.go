package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"godwitramp.example/core/queuer"
	"godwitramp.example/core/router"
	"godwitramp.example/shell/detector"
	"godwitramp.example/shell/exchanger"
)

const (
	// maxBufferedAnswerBytes is the length of the longest answer that is read to its end
	// before its first byte goes to the caller.
	maxBufferedAnswerBytes = 32 << 10
	copyBufferBytes        = 32 << 10
)

var copyBufferPool = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// bufferedAnswer is the body of a short answer.
type bufferedAnswer struct {
	buffer *bytes.Buffer
}

func (buffered *bufferedAnswer) release() {
	if buffered != nil {
		bufferPool.Put(buffered.buffer)
	}
}

// bufferAnswer reads a short answer to its end, so that the request can still be
// retried if the answer is truncated. It returns nil if the answer is long, if its
// length isn't known, and if the read failed; then it sets the attempt's error.
func (handler *handler) bufferAnswer(attempt *attempt, result *result) *bufferedAnswer {
	response := attempt.answer.Response
	if response.ContentLength < 0 || response.ContentLength > maxBufferedAnswerBytes {
		return nil
	}
	buffered := &bufferedAnswer{buffer: bufferPool.Get().(*bytes.Buffer)}
	buffered.buffer.Reset()
	if _, err := buffered.buffer.ReadFrom(response.Body); err != nil {
		buffered.release()
		attempt.answer.Close()
		attempt.err = fmt.Errorf("read answer: %w", err)
		result.kind = handler.classifyBodyError(attempt, err)
		return nil
	}
	return buffered
}

// classifyBodyError classifies a failure to read the body of an answer that is closed.
func (handler *handler) classifyBodyError(attempt *attempt, err error) router.ResultKind {
	switch {
	case handler.callerGone():
		return router.Cancelled
	case attempt.contextEnded():
		return router.TimedOut
	case errors.Is(err, detector.ErrMalformed):
		return router.WrongAnswer
	default:
		return router.Truncated
	}
}

// finish passes the attempt's answer on, or refuses the request if there is none.
func (handler *handler) finish(attempt *attempt, result result, buffered *bufferedAnswer) {
	defer buffered.release()
	if !attempt.deliverable(result) {
		handler.discardAttempt(attempt, result)
		handler.refuseUnanswered(result, errors.Is(attempt.err, errKeyWithdrawn))
		return
	}
	response := attempt.answer.Response
	handler.record.Target = attempt.target.Path
	handler.record.Status = response.StatusCode
	if buffered != nil {
		handler.writeHeader(attempt, result)
		attempt.answer.Close()
		handler.reportAttempt(attempt, result)
		handler.leaveQueue(feedbackOf(result))
		_, err := handler.writer.Write(buffered.buffer.Bytes())
		handler.record.Complete = err == nil || errors.Is(err, http.ErrBodyNotAllowed)
		return
	}
	handler.writeHeader(attempt, result)
	err := handler.stream(response)
	attempt.answer.Close()
	if err != nil {
		result.kind = handler.classifyBodyError(attempt, err)
	}
	handler.reportAttempt(attempt, result)
	handler.leaveQueue(feedbackOf(result))
	if err != nil {
		panic(http.ErrAbortHandler) // aborts the caller's connection
	}
	handler.record.Complete = true
	copyTrailer(handler.writer.Header(), response.Trailer)
}

// feedbackOf returns what a result says about the load of the service.
func feedbackOf(result result) queuer.Feedback {
	switch result.kind {
	case router.Good:
		return queuer.Good
	case router.Shed:
		return queuer.Shed
	default:
		return queuer.Unknown
	}
}

func (handler *handler) writeHeader(attempt *attempt, result result) {
	response := attempt.answer.Response
	exchanger.RemoveHopByHop(response.Header)
	removeReservedFields(response.Header)
	header := handler.writer.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // keeps net/http from detecting one
	}
	if response.StatusCode == http.StatusNoContent {
		header.Del("Content-Length")
	}
	if result.saidNotRun {
		handler.record.Outcome = handler.outcome()
		header.Set(OutcomeHeader, string(handler.record.Outcome))
		if !handler.mayRetry() {
			header.Del("Retry-After")
		}
	}
	if result.kind == router.Shed && result.retryAfter == 0 && handler.mayRetry() {
		header.Set("Retry-After", "1")
	}
	if handler.body.streamed() && !attempt.answer.RequestSent() {
		header.Set("Connection", "close")
	}
	handler.writer.WriteHeader(response.StatusCode)
}

// stream copies a long answer through a fixed buffer. An answer without a length is
// flushed after each read.
func (handler *handler) stream(response *http.Response) error {
	controller := http.NewResponseController(handler.writer)
	if deadline, ok := handler.ctx.Deadline(); ok {
		_ = controller.SetWriteDeadline(deadline)
		defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	}
	buffer := copyBufferPool.Get().(*[copyBufferBytes]byte)
	defer copyBufferPool.Put(buffer)
	for {
		n, err := response.Body.Read(buffer[:])
		if n > 0 {
			if _, err := handler.writer.Write(buffer[:n]); err != nil {
				return fmt.Errorf("write answer: %w", err)
			}
			if response.ContentLength < 0 {
				_ = controller.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read answer: %w", err)
		}
	}
}

func copyTrailer(header, trailer http.Header) {
	exchanger.RemoveHopByHop(trailer)
	removeReservedFields(trailer)
	for name, values := range trailer {
		header[http.TrailerPrefix+name] = values
	}
}
