package logger_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/shell/logger"
)

// blockedWriter is an output that blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	mutex   sync.Mutex
	bytes.Buffer
}

func (writer *blockedWriter) Write(line []byte) (int, error) {
	<-writer.release
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	return writer.Buffer.Write(line)
}

// An output whose reader stops reading must not block logging. Dropped lines
// are counted.
func TestWriterNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	writer := logger.NewWriter(out)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		writer.Run(ctx)
		close(done)
	}()
	const lines = 10_000
	for range lines {
		_, err := writer.Write([]byte("line\n"))
		is.NoErr(err)
	}
	close(out.release)
	cancel()
	<-done
	written := strings.Count(out.String(), "line\n")
	is.True(written > 1000 && written < lines)
	is.True(strings.Contains(out.String(), "event=lines-dropped"))
}
