package exchanger_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/net/http/httpguts"

	"godwitramp.example/shell/detector"
	"godwitramp.example/shell/exchanger"
)

// answerOnce makes a call to an upstream that answers with the text and closes the connection, and returns the answer's body.
func answerOnce(t testing.TB, text string) (*http.Response, string, error) {
	t.Helper()
	sender, _ := newExchanger(func(_ int, conn net.Conn) {
		if readRequest(bufio.NewReader(conn)) {
			_, _ = io.WriteString(conn, text)
		}
		_ = conn.Close()
	})
	answer, err := sender.Do(t.Context(), exchanger.Call{Address: "a", Request: request("GET", "")})
	if err != nil {
		return nil, "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer.Response.Body)
	return answer.Response, string(body), err
}

// net/http takes a blank for a part of a field's name, so that the field has no effect, or another one at the caller. An
// answer with such a name, in any of its heads or its trailer, is malformed.
func TestInvalidFieldNameIsPassedOn(t *testing.T) {
	const length = "Content-Length: 2\r\n\r\nok"
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nX Foo: 1\r\n" + length,
		"HTTP/1.1 200 OK\r\nX-Foo : 1\r\n" + length,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Foo : 1\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok and more",
		"HTTP/1.1 200 OK\r\nContent-Length : 5\r\n" + length,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nX Foo: 1\r\n\r\n",
		"HTTP/1.1 500 X\r\nX Foo: 1\r\n" + length,
		"HTTP/1.1 103 Early Hints\r\nX Foo: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + length,
		"HTTP/1.1 103 Early Hints\r\nContent-Length : 4\r\n\r\nHTTP/1.1 200 OK\r\n" + length,
		"HTTP/1.1 100 Continue\r\nX-Foo : 1\r\n\r\nHTTP/1.1 200 OK\r\n" + length,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Foo: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Foo\r\n\r\n2\r\nok\r\n0\r\nX-Foo : 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX\x01Foo: 1\r\n" + length,
		"HTTP/1.1 200 OK\r\nX\x00Foo: 1\r\n" + length,
		"HTTP/1.1 200 OK\r\nX\x0bFoo: 1\r\n" + length,
		"HTTP/1.1 200 OK\r\nX\x7fFoo: 1\r\n" + length,
		"HTTP/1.1 200 OK\r\nX\tFoo: 1\r\n" + length,
		"HTTP/1.1 200 OK\r\nX-Foo\t: 1\r\n" + length,
		"HTTP/1.1 200 OK\r\nX\rFoo: 1\r\n" + length,
		"HTTP/1.1 200 OK\r\nX\xe9Foo: 1\r\n" + length,
		"HTTP/1.1 200 OK\r\nX(Foo): 1\r\n" + length,
		"HTTP/1.1 200 OK\r\n: 1\r\n" + length,
		"HTTP/1.1 200 OK\r\n X-Foo: 1\r\n" + length,
		"HTTP/1.1 200 OK\r\nX-Foo\r\n" + length,
	} {
		t.Run(answer, func(t *testing.T) {
			is := is.New(t)
			_, body, err := answerOnce(t, answer)
			t.Logf("%q, %v", body, err)
			is.True(errors.Is(err, detector.ErrMalformed))
			is.True(!exchanger.IsConnectionError(err))
		})
	}
}

// All names that RFC 9110, section 5.6.2, allows are, and blanks around a value are.
func TestValidFieldNameIsRefused(t *testing.T) {
	const name = "X!#$%&'*+-.^_`|~09Az"
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\n" + name + ":\t a b \t\r\nX-Empty:\r\nContent-Length:2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\n" + name + ": a b\r\n\r\nok",
		"HTTP/1.1 103 Early Hints\r\n" + name + ": 1\r\n\r\nHTTP/1.1 200 OK\r\n" + name + ": a b\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\n" + name + ": a b\r\nTransfer-Encoding: chunked\r\nTrailer: X-Foo\r\n\r\n2\r\nok\r\n0\r\nX-Foo: 1\r\nX-Bar: 2\r\n\r\n",
	} {
		t.Run(answer, func(t *testing.T) {
			is := is.New(t)
			response, body, err := answerOnce(t, answer)
			is.NoErr(err)
			is.Equal(body, "ok")
			is.Equal(response.Header.Get(name), "a b")
		})
	}
}

// Whatever an upstream sends in a head or trailer, no name that isn't a token reaches the caller of Do.
func FuzzFieldName(f *testing.F) {
	for _, name := range []string{"X-Foo", "X Foo", "X-Foo ", "Content-Length ", "Transfer-Encoding ", "X\x00", "X\r\nY ", " X", "", "X\n Y: 1\nZ "} {
		f.Add(name)
	}
	f.Fuzz(func(t *testing.T, name string) {
		for _, answer := range []string{
			"HTTP/1.1 200 OK\r\n" + name + ": 1\r\nContent-Length: 2\r\n\r\nok",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + name + ": 1\r\n\r\n",
		} {
			response, _, err := answerOnce(t, answer)
			if err != nil {
				continue
			}
			for _, header := range []http.Header{response.Header, response.Trailer} {
				for name := range header {
					if !httpguts.ValidHeaderFieldName(name) || strings.ContainsAny(name, " \t") {
						t.Errorf("name %q is passed on", name)
					}
				}
			}
		}
	})
}
