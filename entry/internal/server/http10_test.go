package server_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/entry/internal/forwarder"
	"godwitramp.example/entry/internal/server"
	"godwitramp.example/shell/breaker"
	"godwitramp.example/shell/exchanger"
)

// serveOverTCP starts a VM for callers whose only target answers each request with the text and closes the connection. It
// returns the address for callers.
func serveOverTCP(t *testing.T, answer string) string {
	t.Helper()
	address := breaker.Serve(t, func(connection *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(connection, answer) })
	sender := &exchanger.Exchanger{Dial: func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}}
	t.Cleanup(sender.Close)
	tables := tables{table(t)}
	vm := &server.Server{
		Tables: tables, Keys: tables, Limits: tables, Forwarder: &forwarder.Forwarder{Picker: tables, Exchanger: sender},
	}
	callers := vm.HTTP()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = callers.Close() })
	go func() { _ = callers.Serve(&server.Listener{Listener: listener}) }()
	return listener.Addr().String()
}

// To a caller of HTTP/1.0 an answer without a length ends with its connection. One that its target breaks off must not look
// whole.
func TestAnswerThatIsBrokenOffLooksWholeToHTTP10(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	long := strings.Repeat("x", 100_000)
	for name, test := range map[string]struct {
		answer string
		whole  bool
	}{
		"chunks":              {head + "4\r\npart\r\n0\r\n\r\n", true},
		"no length":           {"HTTP/1.1 200 OK\r\n\r\n" + long, true},
		"no last chunk":       {head + "4\r\npart\r\n", false},
		"long, no last chunk": {head + "186A0\r\n" + long + "\r\n", false},
		"chunk cut":           {head + "8\r\npart", false},
		"invalid trailer":     {head + "4\r\npart\r\n0\r\nX Foo: 1\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			caller, err := net.Dial("tcp", serveOverTCP(t, test.answer))
			is.NoErr(err)
			defer func() { _ = caller.Close() }()
			_, err = io.WriteString(caller, "GET /r HTTP/1.0\r\nHost: h\r\nX-Api-Key: "+key+"\r\n\r\n")
			is.NoErr(err)
			answer, err := io.ReadAll(caller)
			is.Equal(strings.Contains(string(answer), "Content-Length"), false)
			is.Equal(errors.Is(err, syscall.ECONNRESET), !test.whole)
			is.Equal(err == nil, test.whole)
		})
	}
}
