package dispatcher_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/gateway/internal/receiver"
)

// An answer whose head or trailer has a name with a blank was passed on with that line, or with a body that wasn't the
// target's. Those with a control byte never were.
func TestInvalidFieldNameIsPassedOn(t *testing.T) {
	for notRun, fields := range notRunFields {
		for _, status := range []int{200, 503} {
			head := fmt.Sprintf("HTTP/1.1 %d X\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\n%s", status, fields)
			for name, answer := range map[string]string{
				"blank in a name":      head + "X Foo: 1\r\nContent-Length: 2\r\n\r\nok",
				"blank behind a name":  head + "X-Foo : 1\r\nContent-Length: 2\r\n\r\nok",
				"behind the length":    head + "Content-Length : 2\r\n\r\nok and more",
				"behind the encoding":  head + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
				"in an interim answer": "HTTP/1.1 103 X\r\nX Foo: 1\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok",
				"in a trailer":         head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Foo: 1\r\n\r\n",
				"control byte":         head + "X\x01Foo: 1\r\nContent-Length: 2\r\n\r\nok",
				"tab":                  head + "X-Foo\t: 1\r\nContent-Length: 2\r\n\r\nok",
			} {
				testInvalid(t, fmt.Sprint(name, " ", status, notRun), answer)
			}
		}
	}
}

// VMs of earlier versions pass such answers of their targets on.
func TestInvalidFieldNameIsPassedOnByAnotherVM(t *testing.T) {
	for _, name := range []string{"X Foo", "X-Foo ", "Content-Length ", "Transfer-Encoding ", "X\x01"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			vm, peers := startIsolated(t, func(int) (receiver.Reply, error) {
				header := http.Header{"X-Attempt-Id": {"a1"}, "X-Response-Signature": {"s"}, name: {"1"}}
				return receiver.Reply{Status: http.StatusOK, Header: header, Body: []byte("ok"), FromTarget: true, Targets: 1}, nil
			})
			reply := vm.book()
			is.Equal(reply.Status, http.StatusBadGateway)
			is.Equal(string(reply.Body), "{\"reason\":\"answer-malformed\"}\n")
			asked, _ := peers.counts()
			is.Equal(asked, 1)
		})
	}
}
