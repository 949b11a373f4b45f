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

// stuck is an output whose reader does not read until it is released.
type stuck struct {
	release chan struct{}
	mutex   sync.Mutex
	bytes.Buffer
}

func (stuck *stuck) Write(line []byte) (int, error) {
	<-stuck.release
	stuck.mutex.Lock()
	defer stuck.mutex.Unlock()
	return stuck.Buffer.Write(line)
}

// A reader that stops reading holds up nobody; what is lost is counted.
func TestWriterNeverWaits(t *testing.T) {
	is := is.New(t)
	out := &stuck{release: make(chan struct{})}
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
