package dispatcher_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/core/placer"
)

// smuggled is an answer in the body of another one, with the ID of the request.
const smuggled = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\nContent-Length: 8\r\n\r\nsmuggled"

// invalidStatuses are those that net/http reads as a number but for the last three, and some between.
var invalidStatuses = []string{"000", "099", "+20", "+99", "600", "999", "0200", "20", "2x0", "101"}

// startInvalid returns a VM with two targets. The first request is answered with the text, all others are answered well.
func startInvalid(t *testing.T, answer string) (*vm, *atomic.Int32) {
	vm, requests := start(t), &atomic.Int32{}
	vm.SetTargets([]placer.Target{
		{ID: "near", Service: "s", Address: "near:1", DataCentre: "d", Slots: 4},
		{ID: "far", Service: "s", Address: "far:1", DataCentre: "e", Slots: 4},
	})
	vm.dialTo(func(connection net.Conn) {
		reader := bufio.NewReader(connection)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if requests.Add(1) == 1 {
				_, _ = io.WriteString(connection, answer)
				if !strings.Contains(answer, "\r\nContent-Length: ") {
					return
				}
				continue
			}
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\nContent-Length: 4\r\n\r\ngood")
		}
	})
	return vm, requests
}

// testInvalid checks that an answer is no answer at all: a booking may have run and is sent once, and a read goes to another
// target.
func testInvalid(t *testing.T, name, answer string) {
	t.Run(name+" POST", func(t *testing.T) {
		is := is.New(t)
		vm, requests := startInvalid(t, answer)
		reply := vm.book()
		t.Logf("%d %q, %d requests", reply.Status, reply.Body, requests.Load())
		is.Equal(reply.Status, http.StatusBadGateway)
		is.Equal(string(reply.Body), "{\"reason\":\"answer-malformed\"}\n")
		is.Equal(requests.Load(), int32(1))
		is.Equal(reply.Header.Get("Retry-After"), "")
	})
	t.Run(name+" GET", func(t *testing.T) {
		is := is.New(t)
		vm, requests := startInvalid(t, answer)
		reply := vm.read()
		t.Logf("%d %q, %d requests", reply.Status, reply.Body, requests.Load())
		is.Equal(reply.Status, http.StatusOK)
		is.Equal(string(reply.Body), "good")
	})
}

// notRunFields maps what a name of a test says of an answer to its fields.
var notRunFields = map[string]string{"": "", " that says not run": "X-Not-Executed: 1\r\nRetry-After: 1\r\n"}

// The body of an answer with a status that isn't three digits from 100 to 599 was read as the next answer, and statuses
// above 599 were passed on. Such an answer is no answer at all: a booking may have run, and a read goes to another target.
func TestInvalidStatusIsPassedOn(t *testing.T) {
	for _, status := range invalidStatuses {
		for name, fields := range notRunFields {
			testInvalid(t, status+name, fmt.Sprintf("HTTP/1.1 %s X\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\n%sContent-Length: %d\r\n\r\n%s",
				status, fields, len(smuggled), smuggled))
		}
	}
}
