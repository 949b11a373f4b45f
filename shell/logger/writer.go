package logger

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// maxQueuedLines is the maximum number of lines that wait to be written.
const maxQueuedLines = 4096

// Writer writes lines in the background, so that logging never blocks if the
// reader of the output stops reading. Lines beyond maxQueuedLines are dropped;
// their number is written before the next lines. Use NewWriter. Write is safe
// for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewWriter returns a writer to out. It writes nothing before Run is called.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, maxQueuedLines)}
}

// Write queues a copy of the line, or drops the line if the queue is full. It
// never blocks and never fails.
func (writer *Writer) Write(line []byte) (int, error) {
	select {
	case writer.lines <- append([]byte(nil), line...):
	default:
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes queued lines until the context ends, then writes the rest and
// returns.
func (writer *Writer) Run(ctx context.Context) {
	var batch bytes.Buffer
	for {
		select {
		case line := <-writer.lines:
			batch.Write(line)
		case <-ctx.Done():
			writer.flush(&batch)
			return
		}
		writer.flush(&batch)
	}
}

// flush writes the batch and all queued lines in one call.
func (writer *Writer) flush(batch *bytes.Buffer) {
	defer batch.Reset()
	for waiting := len(writer.lines); waiting > 0; waiting-- {
		batch.Write(<-writer.lines)
	}
	if dropped := writer.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(writer.out, "level=warning event=lines-dropped count=%d\n", dropped) // see below
	}
	_, _ = writer.out.Write(batch.Bytes()) // a failure can't be logged anywhere else
}
