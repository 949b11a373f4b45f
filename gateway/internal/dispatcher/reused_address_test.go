package dispatcher_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/placer"
)

// A target that has started again behind its address, under another ID, sends its 421 to a request for the
// former one twice: the copy must not be taken for its answer to the same request under its own ID.
func TestCopyOfMisdirectedAnswerRefusesARunningBooking(t *testing.T) {
	is := is.New(t)
	vm := start(t)
	vm.SetTargets([]placer.Target{
		{ID: "former", Service: "s", Address: "reused:1", DataCentre: "d", Slots: 4},
		{ID: "present", Service: "s", Address: "reused:1", DataCentre: "e", Slots: 4},
	})
	var ran atomic.Int64
	vm.dialTo(func(connection net.Conn) {
		reader := bufio.NewReader(connection)
		for earlier := ""; ; {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id := request.Header.Get("X-Attempt-Id")
			answer := fmt.Sprintf("HTTP/1.1 421 X\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			if request.Header.Get("X-Expected-Instance") == "present" {
				ran.Add(1)
				if _, err := io.WriteString(connection, earlier); err != nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
				answer = fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			}
			earlier += answer
			if _, err := io.WriteString(connection, answer); err != nil {
				return
			}
		}
	})
	status := vm.book().Status
	is.Equal(ran.Load(), int64(1))
	is.Equal(status, http.StatusOK)
}
