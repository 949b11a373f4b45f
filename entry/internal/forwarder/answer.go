package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"godwitramp.example/core/queuer"
	"godwitramp.example/core/router"
	"godwitramp.example/shell/exchanger"
)

const (
	// heldAnswerBytes is the longest answer that is read whole before its
	// first byte goes to the caller.
	heldAnswerBytes = 32 << 10
	copyBytes       = 32 << 10
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// heldAnswer is the body of a short answer.
type heldAnswer struct {
	buffer *bytes.Buffer
}

func (held *heldAnswer) release() {
	if held != nil {
		heldBuffers.Put(held.buffer)
	}
}

// hold reads a short answer to its end, so that a cut one can still be sent
// for again. It returns nil if the answer is long or its length not known.
func (run *run) hold(leg *leg, verdict *verdict) *heldAnswer {
	response := leg.answer.Response
	if response.ContentLength < 0 || response.ContentLength > heldAnswerBytes {
		return nil
	}
	held := &heldAnswer{buffer: heldBuffers.Get().(*bytes.Buffer)}
	held.buffer.Reset()
	if _, err := held.buffer.ReadFrom(response.Body); err != nil {
		held.release()
		leg.err = fmt.Errorf("read answer: %w", err)
		verdict.kind = run.brokenAnswer(leg)
		return nil
	}
	return held
}

// brokenAnswer says why the body of an answer could not be read.
func (run *run) brokenAnswer(leg *leg) router.ResultKind {
	switch {
	case errors.Is(run.request.Context().Err(), context.Canceled):
		return router.Cancelled
	case leg.ctx.Err() != nil:
		return router.TimedOut
	default:
		return router.Truncated
	}
}

// end passes the leg's answer on, or refuses for want of one.
func (run *run) end(leg *leg, verdict verdict, held *heldAnswer) {
	defer held.release()
	if !leg.deliverable(verdict) {
		run.settle(leg, verdict)
		run.refuseFor(verdict, errors.Is(leg.err, errWithdrawn))
		return
	}
	response := leg.answer.Response
	run.record.Target = leg.target.Path
	run.record.Status = response.StatusCode
	if held != nil {
		run.writeHead(leg, verdict)
		leg.answer.Close()
		run.done(leg, verdict)
		run.leave(loadOf(verdict))
		_, err := run.writer.Write(held.buffer.Bytes())
		run.record.Whole = err == nil || errors.Is(err, http.ErrBodyNotAllowed)
		return
	}
	run.writeHead(leg, verdict)
	err := run.stream(response)
	leg.answer.Close()
	if err != nil {
		verdict.kind = run.brokenAnswer(leg)
	}
	run.done(leg, verdict)
	run.leave(loadOf(verdict))
	if err != nil {
		panic(http.ErrAbortHandler) // ends the caller's connection in error
	}
	run.record.Whole = true
	copyTrailer(run.writer.Header(), response.Trailer)
}

// loadOf tells what an answer says of the upstreams' load.
func loadOf(verdict verdict) queuer.Feedback {
	switch verdict.kind {
	case router.Good:
		return queuer.Good
	case router.Shed:
		return queuer.Shed
	default:
		return queuer.Unknown
	}
}

func (run *run) writeHead(leg *leg, verdict verdict) {
	response := leg.answer.Response
	exchanger.RemoveHopByHop(response.Header)
	removeOwn(response.Header)
	header := run.writer.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // keeps net/http from guessing one
	}
	if response.StatusCode == http.StatusNoContent {
		header.Del("Content-Length")
	}
	if verdict.attempt.SaidNotRun {
		run.record.Outcome = run.outcome()
		header.Set(OutcomeHeader, string(run.record.Outcome))
	}
	if verdict.kind == router.Shed && verdict.retryAfter == 0 && run.mayComeBack() {
		header.Set("Retry-After", "1")
	}
	if run.body.streamed() && !leg.answer.RequestSent() {
		header.Set("Connection", "close")
	}
	run.writer.WriteHeader(response.StatusCode)
}

// stream copies a long answer in bounded memory. Bytes of an answer without a
// length are passed on as they come.
func (run *run) stream(response *http.Response) error {
	controller := http.NewResponseController(run.writer)
	if deadline, ok := run.ctx.Deadline(); ok {
		_ = controller.SetWriteDeadline(deadline)
		defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	}
	buffer := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := response.Body.Read(buffer[:])
		if n > 0 {
			if _, err := run.writer.Write(buffer[:n]); err != nil {
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
	removeOwn(trailer)
	for name, values := range trailer {
		header[http.TrailerPrefix+name] = values
	}
}
