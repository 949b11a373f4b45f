package relayer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/soak/internal/relayer"
)

// A silent relayer must look like a host that is gone: a dial that succeeds would show that it is there.
func TestSilentRelayerAcceptsConnections(t *testing.T) {
	is := is.New(t)
	server, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = server.Close() }()
	go func() {
		for {
			connection, err := server.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(connection, connection) }()
		}
	}()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	link := &relayer.Relayer{Listener: listener, To: server.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		link.Run(ctx)
		close(done)
	}()
	defer func() {
		cancel()
		<-done
	}()
	echo := func() (net.Conn, error) {
		connection, err := net.DialTimeout("tcp", listener.Addr().String(), 200*time.Millisecond)
		if err != nil {
			return nil, err
		}
		if _, err := io.WriteString(connection, "x"); err != nil {
			return nil, err
		}
		_, err = io.ReadFull(connection, make([]byte, 1))
		return connection, err
	}
	open, err := echo()
	is.NoErr(err)
	for range 2 {
		is.NoErr(link.SetSilent(true))
		_, err = net.DialTimeout("tcp", listener.Addr().String(), 200*time.Millisecond)
		is.True(err != nil)
		_, err = io.WriteString(open, "x")
		is.NoErr(err)
		is.NoErr(open.SetReadDeadline(time.Now().Add(100 * time.Millisecond)))
		_, err = open.Read(make([]byte, 1))
		var netErr net.Error
		is.True(err != nil && errors.As(err, &netErr) && netErr.Timeout()) // open, and silent
		is.NoErr(link.SetSilent(false))
		open, err = echo()
		is.NoErr(err)
	}
}
