// Package breaker plays servers that break off their answers, for tests of clients.
//
// # Usage
//
//	address := breaker.Serve(t, func(connection *net.TCPConn, request *http.Request) {
//		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\npart")
//		breaker.Reset(connection)
//	})
package breaker

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// LongUpload is the length in bytes of a body that exceeds what the buffers of a connection hold.
const LongUpload = 8 << 20

// Serve passes each connection, and the head of its first request, to the function until the test ends, and returns the
// address. The connection is closed when the function returns. A body is read through Request.Body.
func Serve(t testing.TB, handle func(connection *net.TCPConn, request *http.Request)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var handlers sync.WaitGroup
	t.Cleanup(handlers.Wait)
	t.Cleanup(func() { _ = listener.Close() })
	handlers.Go(func() {
		for connection, err := listener.Accept(); err == nil; connection, err = listener.Accept() {
			handlers.Go(func() {
				defer func() { _ = connection.Close() }()
				if request, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
					handle(connection.(*net.TCPConn), request)
				}
			})
		}
	})
	return listener.Addr().String()
}

// Reset ends a connection with a reset. Bytes that the system hasn't sent yet are lost.
func Reset(connection *net.TCPConn) {
	_ = connection.SetLinger(0)
	_ = connection.Close()
}

// CloseUnread closes a connection once bytes have come over it that haven't been read, which makes the system reset it.
func CloseUnread(connection *net.TCPConn) {
	raw, err := connection.SyscallConn()
	for unread := 0; err == nil && unread == 0; time.Sleep(100 * time.Microsecond) {
		err = raw.Control(func(descriptor uintptr) { unread, _ = unix.IoctlGetInt(int(descriptor), unix.SIOCINQ) })
	}
	_ = connection.Close()
}
