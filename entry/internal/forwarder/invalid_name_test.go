package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"godwitramp.example/core/router"
	"godwitramp.example/entry/internal/forwarder"
	"godwitramp.example/shell/breaker"
)

// An answer whose head has a name with a blank was passed on without that line, or with a body that wasn't the target's.
// Those with a control byte never were. Such an answer is no answer at all: a booking may have run, and a read goes to
// another target.
func TestInvalidFieldNameIsPassedOn(t *testing.T) {
	for notRun, fields := range map[string]string{"": "", " that says not run": forwarder.OutcomeHeader + ": not-run\r\nRetry-After: 1\r\n"} {
		for _, status := range []int{200, 503} {
			head := fmt.Sprintf("HTTP/1.1 %d X\r\n%s", status, fields)
			for name, answer := range map[string]string{
				"blank in a name":      head + "X Foo: 1\r\nContent-Length: 2\r\n\r\nok",
				"blank behind a name":  head + "X-Foo : 1\r\nContent-Length: 2\r\n\r\nok",
				"behind the length":    head + "Content-Length : 2\r\n\r\nok and more",
				"behind the encoding":  head + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
				"in an interim answer": "HTTP/1.1 103 X\r\nX Foo: 1\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok",
				"control byte":         head + "X\x01Foo: 1\r\nContent-Length: 2\r\n\r\nok",
				"tab":                  head + "X-Foo\t: 1\r\nContent-Length: 2\r\n\r\nok",
			} {
				testInvalidAnswer(t, fmt.Sprint(name, " ", status, notRun), answer)
			}
		}
	}
}

// testInvalidAnswer checks that an answer, to which the ID of its request is added, is no answer at all.
func testInvalidAnswer(t *testing.T, name, invalid string) {
	for _, method := range []string{"POST", "GET"} {
		t.Run(name+" "+method, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fleet := &fleet{faults: []fault{healthy, healthy}}
				sender := fleet.play(t, func(delivery delivery) {
					fleet.count(delivery.request, 0)
					if delivery.number > 1 {
						delivery.write(withID(unnamed("whole\n"), delivery.id()))
						return
					}
					delivery.write(withID(invalid, delivery.id()))
					_ = delivery.Close()
				})
				answer := fleet.forward(t, sender, httptest.NewRequest(method, "/x", nil))
				body, err := io.ReadAll(answer.Body)
				is.NoErr(err)
				t.Logf("%d %q %q, %d requests", answer.StatusCode, answer.Header.Get(forwarder.OutcomeHeader), body, fleet.received)
				if method == "POST" {
					is.Equal(answer.StatusCode, 502)
					is.Equal(answer.Header.Get(forwarder.OutcomeHeader), "unknown")
					is.Equal(fleet.received, 1)
				} else {
					is.Equal(answer.StatusCode, 200)
					is.Equal(string(body), "whole\n")
				}
				is.Equal(fleet.results[0].Kind, router.WrongAnswer)
			})
		})
	}
}

// A trailer comes behind a body that has gone to the caller, who must see that the answer is cut.
func TestInvalidFieldNameInATrailerLooksWhole(t *testing.T) {
	for trailer, whole := range map[string]bool{"X Foo: 1": false, "X-Foo : 1": false, "X-Foo: 1": true} {
		t.Run(trailer, func(t *testing.T) {
			is := is.New(t)
			address := breaker.Serve(t, func(connection *net.TCPConn, request *http.Request) {
				_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nGodwitramp-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n%s\r\n\r\n",
					request.Header.Get("Godwitramp-Request-Id"), trailer)
			})
			fleet := &fleet{}
			server := fleet.serveUpstream(t, address)
			response, err := http.Get(server.URL)
			is.NoErr(err)
			_, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
			is.Equal(err == nil, whole)
			server.Close()
			is.Equal(fleet.results[0].Kind, map[bool]router.ResultKind{false: router.WrongAnswer, true: router.Good}[whole])
		})
	}
}
