package forwarder

import (
	"bytes"
	"context"
	"errors"
	"regexp"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/gateway/internal/receiver"
	"godwitramp.example/shell/exchanger"
)

// lines is a log that several goroutines write to.
type lines struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (lines *lines) Write(data []byte) (int, error) {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	return lines.buffer.Write(data)
}

func (lines *lines) match(expression string) bool {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	return regexp.MustCompile(expression).Match(lines.buffer.Bytes())
}

// A booking of another VM on which the code fails may have run, and a line has to say so.
func TestPanicOnARequestOfAnotherVMLeavesNoLine(t *testing.T) {
	is := is.New(t)
	handler := &served{serve: func(context.Context, *receiver.Call) receiver.Reply { panic("booking") }}
	var written lines
	from, to := startPair(t, handler, &written)
	reply, err := from.Forward(context.Background(), to.Address, booking("b1"), Conditions{Targets: 1, Remaining: time.Minute})
	var failure *exchanger.Error
	is.True(errors.As(err, &failure) && failure.Written || err == nil && reply.Abort)
	is.Equal(handler.count.Load(), int64(1))
	is.True(written.match(`panic-recovered from=from .*request=b1 `))
}
