package logger

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// maxWaitingLines bounds the lines that wait to be written.
const maxWaitingLines = 4096

// Writer writes lines in the background, so that a reader which stops reading
// never holds up who logs. Lines beyond the bound are dropped and counted; the
// count is written before the next line. Use NewWriter.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewWriter returns a writer to out that writes nothing before Run.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, maxWaitingLines)}
}

// Write takes a line. It never fails and never waits.
func (writer *Writer) Write(line []byte) (int, error) {
	select {
	case writer.lines <- append([]byte(nil), line...):
	default:
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes until the context ends, and then what is waiting.
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

// flush writes the batch and the lines that are waiting, all at once.
func (writer *Writer) flush(batch *bytes.Buffer) {
	defer batch.Reset()
	for waiting := len(writer.lines); waiting > 0; waiting-- {
		batch.Write(<-writer.lines)
	}
	if dropped := writer.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(writer.out, "level=warning event=lines-dropped count=%d\n", dropped) // as below
	}
	_, _ = writer.out.Write(batch.Bytes()) // there is nowhere else to tell of a failure
}
