package exchanger_test

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/shell/breaker"
	"godwitramp.example/shell/exchanger"
)

const (
	// part is the number of bytes that an upstream sends of its body.
	part = 1000
	// repeats is how often a race between the writer and the reader of a connection is played.
	repeats = 20
)

// answerOf returns an answer without a length whose body has so many bytes.
func answerOf(size int) string { return "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", size) }

// upload sends a body of the size and returns the body of the answer.
func upload(t *testing.T, sender *exchanger.Exchanger, address string, size int, streamed bool) ([]byte, error) {
	t.Helper()
	reader, writer := io.Pipe()
	defer func() { _ = reader.Close() }()
	outgoing := request(http.MethodPost, strings.Repeat("u", size))
	if streamed {
		outgoing.Body = reader
		go func() {
			_, err := io.Copy(writer, strings.NewReader(strings.Repeat("u", size)))
			_ = writer.CloseWithError(err)
		}()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	answer, err := sender.Do(ctx, exchanger.Call{
		Address: address, Request: outgoing, Streamed: streamed, StopBody: func() { _ = reader.Close() },
	})
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	return io.ReadAll(answer.Response.Body)
}

// Write and read of a connection share one report of its reset. An upstream that resets it in the middle of an upload and
// of an answer without a length must not make the part look whole, whoever gets the report.
func TestPartBeforeAResetIsTakenForWhole(t *testing.T) {
	for name, end := range map[string]func(connection *net.TCPConn){
		"reset": breaker.Reset, "close with unread bytes": breaker.CloseUnread,
	} {
		for _, size := range []int{0, 300_000, breaker.LongUpload} {
			for _, streamed := range []bool{false, true} {
				for _, delay := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
					if size == 0 && (streamed || name != "reset") {
						continue // nothing to stream or to leave unread
					}
					t.Run(fmt.Sprintf("%s after %s, %d bytes, streamed %t", name, delay, size, streamed), func(t *testing.T) {
						t.Parallel()
						address := breaker.Serve(t, func(connection *net.TCPConn, _ *http.Request) {
							_, _ = io.WriteString(connection, answerOf(part))
							time.Sleep(delay)
							end(connection)
						})
						whole := 0
						for range repeats {
							if _, err := upload(t, &exchanger.Exchanger{}, address, size, streamed); err == nil {
								whole++
							} else if !exchanger.IsConnectionError(err) {
								t.Errorf("no error of the connection: %v", err)
							}
						}
						if whole > 0 {
							t.Errorf("%d of %d parts taken for whole", whole, repeats)
						}
					})
				}
			}
		}
	}
}

// An answer without a length is whole if the upstream has ended its side in order, whatever it does with the upload.
func TestAnswerThatEndsWithItsSideIsCut(t *testing.T) {
	for name, test := range map[string]struct {
		// handle is called after the upstream has ended its side; received is sent to once the answer is read.
		handle func(connection *net.TCPConn, request *http.Request, received <-chan struct{})
		// streamedOnly is set if writing the upload is never over while the upstream waits.
		streamedOnly bool
	}{
		"reads the upload to its end": {handle: func(_ *net.TCPConn, request *http.Request, _ <-chan struct{}) {
			_, _ = io.Copy(io.Discard, request.Body)
		}},
		"reads the upload and waits": {handle: func(_ *net.TCPConn, request *http.Request, received <-chan struct{}) {
			_, _ = io.Copy(io.Discard, request.Body)
			<-received
		}},
		"reads some of the upload": {handle: func(_ *net.TCPConn, request *http.Request, _ <-chan struct{}) {
			_, _ = io.CopyN(io.Discard, request.Body, 100_000)
			time.Sleep(5 * time.Millisecond)
		}},
		"closes":         {handle: func(*net.TCPConn, *http.Request, <-chan struct{}) { time.Sleep(5 * time.Millisecond) }},
		"closes at once": {handle: func(*net.TCPConn, *http.Request, <-chan struct{}) {}},
		"resets": {handle: func(connection *net.TCPConn, _ *http.Request, _ <-chan struct{}) {
			time.Sleep(5 * time.Millisecond)
			_ = connection.SetLinger(0)
		}},
		"waits": {streamedOnly: true, handle: func(_ *net.TCPConn, _ *http.Request, received <-chan struct{}) { <-received }},
	} {
		for _, size := range []int{0, 300_000, breaker.LongUpload} {
			for _, streamed := range []bool{false, true} {
				if test.streamedOnly && !streamed {
					continue
				}
				t.Run(fmt.Sprintf("%s, %d bytes, streamed %t", name, size, streamed), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					received := make(chan struct{}, repeats)
					address := breaker.Serve(t, func(connection *net.TCPConn, request *http.Request) {
						_, _ = io.WriteString(connection, answerOf(part))
						_ = connection.CloseWrite()
						test.handle(connection, request, received)
					})
					for range repeats {
						body, err := upload(t, &exchanger.Exchanger{}, address, size, streamed)
						received <- struct{}{}
						is.NoErr(err)
						is.Equal(len(body), part)
					}
				})
			}
		}
	}
}

// failingConn is a connection whose writes fail with an error, and whose answer ends like one in order.
type failingConn struct {
	net.Conn
	failure error
	answer  io.Reader
}

func (conn *failingConn) Write(data []byte) (int, error) {
	if conn.failure != nil {
		return len(data) / 2, &net.OpError{Op: "write", Net: "tcp", Err: conn.failure}
	}
	return len(data), nil
}

func (conn *failingConn) Read(data []byte) (int, error) { return conn.answer.Read(data) }
func (*failingConn) Close() error                       { return nil }
func (*failingConn) SetWriteDeadline(time.Time) error   { return nil }

// Whatever ends a connection may be reported to its writer alone. A broken pipe is the one report that means the upstream
// had ended its side.
func TestErrorOfTheWriteIsNotSeenByTheRead(t *testing.T) {
	for _, test := range []struct {
		failure error
		whole   bool
	}{
		{nil, true}, {syscall.EPIPE, true},
		{syscall.ECONNRESET, false}, {syscall.ETIMEDOUT, false}, {syscall.EHOSTUNREACH, false}, {syscall.ENETUNREACH, false},
	} {
		t.Run(fmt.Sprint(test.failure), func(t *testing.T) {
			is := is.New(t)
			conn := &failingConn{failure: test.failure, answer: strings.NewReader(answerOf(part))}
			sender := &exchanger.Exchanger{Dial: func(context.Context, string, string) (net.Conn, error) { return conn, nil }}
			_, err := upload(t, sender, "a", breaker.LongUpload, false)
			is.Equal(err == nil, test.whole)
			if !test.whole {
				is.True(errors.Is(err, test.failure))
			}
		})
	}
}

// TLS has a message for the end, but crypto/tls accepts the end of a connection between two of its records as well.
func TestPartOverTLSIsTakenForWhole(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		raw, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		connection := raw.(*tls.Conn)
		_, _ = io.WriteString(connection, answerOf(part))
		_ = connection.NetConn().(*net.TCPConn).SetLinger(0)
		_ = connection.NetConn().Close()
	}))
	server.StartTLS()
	defer server.Close()
	dialer := &tls.Dialer{Config: server.Client().Transport.(*http.Transport).TLSClientConfig}
	sender := &exchanger.Exchanger{Dial: dialer.DialContext}
	for _, size := range []int{0, breaker.LongUpload} {
		for _, streamed := range []bool{false, true} {
			whole := 0
			for range repeats {
				if _, err := upload(t, sender, server.Listener.Addr().String(), size, streamed); err == nil {
					whole++
				}
			}
			if whole > 0 {
				t.Errorf("%d of %d parts taken for whole, upload of %d bytes, streamed %t", whole, repeats, size, streamed)
			}
		}
	}
}
