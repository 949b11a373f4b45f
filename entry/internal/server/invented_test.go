package server_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// halfClosedConn is the connection of a caller that sends no more and waits for the answer.
type halfClosedConn struct {
	net.Conn
	sent io.Reader
}

func (conn halfClosedConn) Read(data []byte) (int, error) {
	n, err := conn.sent.Read(data)
	if err != nil {
		time.Sleep(time.Second)
	}
	return n, err
}

// net/http answers 200 for a handler that returns without an answer.
func TestCallerThatSendsNoMoreGetsAnInventedAnswer(t *testing.T) {
	upstream := func(_ net.Conn, reader *bufio.Reader) { _, _ = reader.WriteTo(io.Discard) }
	withFixture(t, upstream, func(is *is.I, fixture *fixture) {
		clientConn, serverConn := net.Pipe()
		request := "POST /r HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nX-Api-Key: " + key + "\r\n\r\nx"
		fixture.callers <- halfClosedConn{Conn: serverConn, sent: strings.NewReader(request)}
		answer, _ := io.ReadAll(clientConn)
		_ = clientConn.Close()
		is.True(fixture.upstreamReceived() != "")
		is.Equal(string(answer), "")
	})
}

// What a target says of itself in a trailer is no word of the system's.
func TestOutcomeInATrailerReachesTheCaller(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum, Godwitramp-Outcome\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 7\r\nGodwitramp-Outcome: not-run\r\n\r\n"
	withFixture(t, answerWith(answer), func(is *is.I, fixture *fixture) {
		got := fixture.exchange(get("/r", "X-Api-Key: "+key))
		is.True(strings.HasSuffix(got, "X-Sum: 7\r\n\r\n"))
		is.True(!strings.Contains(got, "not-run"))
	})
}
