package dispatcher_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/placer"
	"godwitramp.example/gateway/internal/receiver"
	"godwitramp.example/shell/breaker"
)

// rawTarget is a target that handles each connection as a test says.
type rawTarget struct {
	*targetServer
	mutex sync.Mutex
	// problems are violations of the protocol that it has seen.
	problems []string
}

func serveRaw(t *testing.T, handle func(target *rawTarget, connection net.Conn, reader *bufio.Reader)) *rawTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	target := &rawTarget{targetServer: &targetServer{address: listener.Addr().String()}}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				handle(target, connection, bufio.NewReader(connection))
			}()
		}
	}()
	return target
}

func (rawTarget *rawTarget) report(problem string) {
	rawTarget.mutex.Lock()
	defer rawTarget.mutex.Unlock()
	rawTarget.problems = append(rawTarget.problems, problem)
}

func (rawTarget *rawTarget) reported() []string {
	rawTarget.mutex.Lock()
	defer rawTarget.mutex.Unlock()
	return append([]string(nil), rawTarget.problems...)
}

// readHead reads a request without its body. It returns nil at the end of the connection.
func readHead(reader *bufio.Reader) *http.Request {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil
	}
	return request
}

func writeAnswer(connection net.Conn, request *http.Request) {
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\nContent-Length: 4\r\n\r\ndone",
		request.Header.Get("X-Attempt-Id"))
}

func (vm *vm) upload(ctx context.Context, id string) receiver.Reply {
	return vm.uploadTo(ctx, "/book/1", id, breaker.LongUpload)
}

func (vm *vm) uploadTo(ctx context.Context, path, id string, length int) receiver.Reply {
	request := call(http.MethodPost, path, "key")
	request.Request.Header["X-Attempt-Id"] = []string{id}
	request.Body = []byte(strings.Repeat("u", length))
	return vm.Serve(ctx, request)
}

// A target may answer before it has read the body, keep the connection and read on. It must
// get the rest of that body or the end of the connection there, never the next request.
func TestEarlyAnswerDoesNotMixBodyAndNextRequest(t *testing.T) {
	is := is.New(t)
	target := serveRaw(t, func(target *rawTarget, connection net.Conn, reader *bufio.Reader) {
		for request := readHead(reader); request != nil; request = readHead(reader) {
			writeAnswer(connection, request)
			time.Sleep(20 * time.Millisecond) // the next request may come meanwhile
			body, err := io.ReadAll(request.Body)
			if strings.Trim(string(body), "u") != "" {
				target.report("other bytes in the body")
			}
			if err != nil {
				return // the connection has ended
			}
		}
	})
	vm := start(t, target.targetServer)
	for i := range 5 {
		reply := vm.upload(context.Background(), fmt.Sprint("a", i))
		is.Equal(reply.Status, http.StatusOK)
		is.Equal(string(reply.Body), "done")
	}
	is.Equal(target.reported(), nil)
}

// An upload that a target resets half way may have run: the answer must not promise that it
// hasn't, and it must not be sent again.
func TestUploadResetHalfWayIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	var mutex sync.Mutex
	requests := 0
	handle := func(_ *rawTarget, connection net.Conn, reader *bufio.Reader) {
		if request := readHead(reader); request != nil {
			mutex.Lock()
			requests++
			mutex.Unlock()
			_, _ = io.CopyN(io.Discard, request.Body, breaker.LongUpload/2)
		}
		_ = connection.(*net.TCPConn).SetLinger(0)
	}
	vm := start(t, serveRaw(t, handle).targetServer, serveRaw(t, handle).targetServer)
	is.Equal(vm.upload(context.Background(), "a").Status, http.StatusBadGateway)
	mutex.Lock()
	defer mutex.Unlock()
	is.Equal(requests, 1)
}

// When the caller of an upload leaves half way, its target must see the end at once.
func TestUploadOfACallerThatLeavesEndsAtTheTarget(t *testing.T) {
	is := is.New(t)
	started, ended := make(chan struct{}), make(chan error, 1)
	target := serveRaw(t, func(_ *rawTarget, _ net.Conn, reader *bufio.Reader) {
		request := readHead(reader)
		if request == nil {
			return
		}
		close(started)
		_, err := io.Copy(io.Discard, request.Body) // ends early, or waits for the end after it
		if err == nil {
			_, err = reader.ReadByte()
		}
		ended <- err
	})
	vm := start(t, target.targetServer)
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		<-started
		leave()
	}()
	is.True(vm.upload(ctx, "a").Abort)
	is.True(<-ended != nil)
}

// serveWithoutLength starts a target that answers at once with 1,000 bytes without a length and then ends the connection as
// the function does. It returns the number of requests as well.
func serveWithoutLength(t *testing.T, end func(connection *net.TCPConn, request *http.Request)) (*targetServer, *atomic.Int32) {
	requests := &atomic.Int32{}
	address := breaker.Serve(t, func(connection *net.TCPConn, request *http.Request) {
		requests.Add(1)
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\n\r\n%s",
			request.Header.Get("X-Attempt-Id"), strings.Repeat("x", 1000))
		end(connection, request)
	})
	return &targetServer{address: address}, requests
}

// A target that answers a long upload at once without a length, and resets the connection in the middle of its body, has
// not answered: its part must not reach the caller. The request may have run; a read goes to another target.
func TestPartOfAnAnswerToAnUploadIsPassedOn(t *testing.T) {
	const runs = 10
	for name, end := range map[string]func(connection *net.TCPConn){"reset": breaker.Reset, "close": breaker.CloseUnread} {
		for _, length := range []int{0, 300_000, 2 << 20, breaker.LongUpload} {
			if length == 0 && name == "close" {
				continue // there is nothing to leave unread
			}
			for _, path := range []string{"/book/1", "/read/1"} {
				t.Run(fmt.Sprintf("%s %s, %d bytes", name, path, length), func(t *testing.T) {
					is := is.New(t)
					cutting, requests := serveWithoutLength(t, func(connection *net.TCPConn, _ *http.Request) {
						_ = connection.SetReadBuffer(4 << 10)
						time.Sleep(3 * time.Millisecond)
						end(connection)
					})
					sound := serve(t, func(writer http.ResponseWriter, request *http.Request) {
						_, _ = io.Copy(io.Discard, request.Body)
						answerWith(http.StatusOK, "whole")(writer, request)
					})
					for range runs {
						vm := start(t)
						vm.SetTargets([]placer.Target{
							{ID: "near", Service: "s", Address: cutting.address, DataCentre: "d", Slots: 4},
							{ID: "far", Service: "s", Address: sound.address, DataCentre: "e", Slots: 4},
						})
						reply := vm.uploadTo(context.Background(), path, "a", length)
						if path == "/read/1" {
							is.Equal(reply.Status, http.StatusOK)
							is.True(string(reply.Body) == "whole")
							continue
						}
						is.Equal(reply.Status, http.StatusBadGateway)
						is.Equal(string(reply.Body), "{\"reason\":\"answer-cut\"}\n")
					}
					is.Equal(requests.Load(), int32(runs))
					if path == "/book/1" {
						is.Equal(len(sound.arrivals()), 0)
					}
				})
			}
		}
	}
}

// An answer without a length is whole once its target has ended its side, however little of the upload it reads.
func TestWholeAnswerToAnUploadIsCut(t *testing.T) {
	for name, end := range map[string]func(request *http.Request){
		"reads the upload": func(request *http.Request) { _, _ = io.Copy(io.Discard, request.Body) },
		"closes":           func(*http.Request) {},
		"closes later":     func(*http.Request) { time.Sleep(3 * time.Millisecond) },
	} {
		for _, length := range []int{0, 300_000, breaker.LongUpload} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, length), func(t *testing.T) {
				is := is.New(t)
				target, _ := serveWithoutLength(t, func(connection *net.TCPConn, request *http.Request) {
					_ = connection.CloseWrite()
					end(request)
				})
				vm := start(t, target)
				for i := range 10 {
					reply := vm.uploadTo(context.Background(), "/book/1", fmt.Sprint("a", i), length)
					is.Equal(reply.Status, http.StatusOK)
					is.Equal(len(reply.Body), 1000)
				}
			})
		}
	}
}
