package exchanger_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/shell/exchanger"
)

var errReset = errors.New("connection reset")

// faultyConn is a connection whose Write is a function that gets all bytes of one call.
type faultyConn struct {
	net.Conn
	write  func(conn *faultyConn, data []byte) (int, error)
	closed chan struct{}
	once   sync.Once
	// taken is the number of bytes that reached the upstream.
	taken int
}

func (conn *faultyConn) Write(data []byte) (int, error) { return conn.write(conn, data) }

func (conn *faultyConn) Read([]byte) (int, error) {
	<-conn.closed
	return 0, net.ErrClosed
}

func (conn *faultyConn) Close() error {
	conn.once.Do(func() { close(conn.closed) })
	return nil
}

// take lets n bytes reach the upstream.
func (conn *faultyConn) take(n int, err error) (int, error) {
	conn.taken += n
	return n, err
}

// A call whose write fails or ends with its context must not say that nothing was written if the upstream got
// anything: a booking would be refused and run.
func TestWriteThatFailsLateCountsAsNotWritten(t *testing.T) {
	afterClose := func(n func(data []byte) int, err error) func(conn *faultyConn, data []byte) (int, error) {
		return func(conn *faultyConn, data []byte) (int, error) {
			<-conn.closed
			time.Sleep(time.Second)
			return conn.take(n(data), err)
		}
	}
	none, one, all := func([]byte) int { return 0 }, func([]byte) int { return 1 }, func(data []byte) int { return len(data) }
	for name, write := range map[string]func(conn *faultyConn, data []byte) (int, error){
		"takes nothing":               func(conn *faultyConn, _ []byte) (int, error) { return conn.take(0, errReset) },
		"takes a byte":                func(conn *faultyConn, _ []byte) (int, error) { return conn.take(1, errReset) },
		"takes all and fails":         func(conn *faultyConn, data []byte) (int, error) { return conn.take(len(data), errReset) },
		"takes all":                   func(conn *faultyConn, data []byte) (int, error) { return conn.take(len(data), nil) },
		"closed, takes nothing":       afterClose(none, net.ErrClosed),
		"closed, takes a byte":        afterClose(one, net.ErrClosed),
		"closed, takes all and fails": afterClose(all, net.ErrClosed),
		"closed, takes all":           afterClose(all, nil),
	} {
		for _, streamed := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					conn := &faultyConn{write: write, closed: make(chan struct{})}
					sender := &exchanger.Exchanger{Dial: func(context.Context, string, string) (net.Conn, error) { return conn, nil }}
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					_, err := sender.Do(ctx, exchanger.Call{Address: "a", Request: request(http.MethodPost, "job"), Streamed: streamed})
					var failure *exchanger.Error
					is.True(errors.As(err, &failure))
					is.Equal(failure.Written, conn.taken > 0)
				})
			})
		}
	}
}

// A stopped process goes on after its deadline: between the last check and the write, nothing may be written that
// counts as not written.
func TestWriteAfterTheDeadlineCountsAsNotWritten(t *testing.T) {
	for _, stop := range []time.Duration{0, time.Second - 1, time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			got := make(chan int, 1)
			sender, _ := newExchanger(func(_ int, conn net.Conn) {
				data, _ := io.ReadAll(conn)
				got <- len(data)
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := sender.Do(ctx, exchanger.Call{Address: "a", Request: request(http.MethodPost, "job"), BeforeWrite: func() error {
				time.Sleep(stop)
				return nil
			}})
			var failure *exchanger.Error
			is.True(errors.As(err, &failure))
			is.Equal(failure.Written, <-got > 0)
		})
	}
}
