package dispatcher_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/gateway/internal/receiver"
)

// dialTo makes the VM's connections end at a function that is called for each.
func (vm *vm) dialTo(handle func(connection net.Conn)) {
	vm.Exchanger.Dial = func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			handle(far)
		}()
		return near, nil
	}
}

// bookAs sends a booking with an ID.
func (vm *vm) bookAs(id string) receiver.Reply {
	request := call(http.MethodPost, "/book/1", "key")
	request.Request.Header["X-Attempt-Id"] = []string{id}
	return vm.Serve(context.Background(), request)
}

// A refusal without an ID that a target repeats on a kept connection says nothing about the next
// request, which may run there.
func TestRepeatedRefusalIsNoPromise(t *testing.T) {
	for _, refusal := range []string{
		"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 429 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(refusal[len("HTTP/1.1 "):len("HTTP/1.1 503")], func(t *testing.T) {
			is := is.New(t)
			vm := start(t, &targetServer{address: "target:1"}, &targetServer{address: "target:2"})
			var ran atomic.Int64
			vm.dialTo(func(connection net.Conn) {
				reader := bufio.NewReader(connection)
				for earlier := ""; ; earlier = refusal {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					id := request.Header.Get("X-Attempt-Id")
					if id == "second" {
						ran.Add(1)
					}
					answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
					if _, err := io.WriteString(connection, earlier+answer); err != nil {
						return
					}
				}
			})
			is.Equal(vm.bookAs("first").Status, http.StatusOK)
			status := vm.bookAs("second").Status
			is.Equal(ran.Load(), int64(1))
			is.True(status == http.StatusOK || status == http.StatusBadGateway)
		})
	}
}

// A target that closes the connection in the middle of its answer must not make it look whole.
func TestAnswerThatIsCutAnywhereIsNoSuccess(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\n"
	for _, test := range []struct {
		name, answer string
		// least is the number of bytes from which the answer can't be told from a whole one.
		least int
	}{
		{"length", head + "Content-Length: 8\r\n\r\n12345678", len(head) + len("Content-Length: 8\r\n\r\n12345678")},
		{"length first", "HTTP/1.1 200 OK\r\nContent-Length: 8\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\n\r\n12345678", len(head) + len("Content-Length: 8\r\n\r\n12345678")},
		{"empty", head + "Content-Length: 0\r\n\r\n", len(head) + len("Content-Length: 0\r\n\r\n")},
		{"chunked", head + "Transfer-Encoding: chunked\r\n\r\n8\r\n12345678\r\n0\r\n\r\n", len(head) + len("Transfer-Encoding: chunked\r\n\r\n8\r\n12345678\r\n0\r\n\r\n")},
		{"no length", head + "Connection: close\r\n\r\n12345678", len(head) + len("Connection: close\r\n\r\n")},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			for cut := range test.least {
				vm := start(t, &targetServer{address: "target:1"})
				vm.dialTo(func(connection net.Conn) {
					if _, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
						_, _ = io.WriteString(connection, test.answer[:cut])
					}
				})
				is.Equal(vm.book().Status, http.StatusBadGateway) // it may have run
			}
		})
	}
}

// answerInTurn returns a function that sends one answer to each request of a connection and then closes it.
func answerInTurn(answers ...string) func(connection net.Conn) {
	return func(connection net.Conn) {
		reader := bufio.NewReader(connection)
		for _, answer := range answers {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			if _, err := io.WriteString(connection, answer); err != nil {
				return
			}
		}
	}
}
