package relayer_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/soak/internal/relayer"
)

// echo sends back what comes.
func echo(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			_, _ = io.Copy(connection, connection)
			_ = connection.Close()
		}()
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// roundTrip sends a byte and reports whether it came back in time.
func roundTrip(connection net.Conn, patience time.Duration) bool {
	if _, err := connection.Write([]byte("x")); err != nil {
		return false
	}
	_ = connection.SetReadDeadline(time.Now().Add(patience))
	_, err := io.ReadFull(connection, make([]byte, 1))
	return err == nil
}

const (
	long  = 10 * time.Second // only guards against hanging
	short = 100 * time.Millisecond
)

func TestTrouble(t *testing.T) {
	is := is.New(t)
	back := listen(t)
	go echo(back)
	relayer := &relayer.Relayer{Listener: listen(t), To: back.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		relayer.Run(ctx)
		close(ended)
	}()
	dial := func() net.Conn {
		connection, err := net.Dial("tcp", relayer.Listener.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = connection.Close() })
		return connection
	}
	connection := dial()
	is.True(roundTrip(connection, long))
	relayer.Set(troubleOf("delay"))
	began := time.Now()
	is.True(roundTrip(connection, long))
	is.True(time.Since(began) >= 2*short) // there and back
	for _, kind := range []string{"requests", "answers"} {
		cut := dial()
		is.True(roundTrip(cut, long))
		relayer.Set(troubleOf(kind))
		is.True(!roundTrip(cut, short))
		relayer.Set(troubleOf(""))
		_ = cut.SetReadDeadline(time.Now().Add(long))
		_, err := io.ReadFull(cut, make([]byte, 1))
		is.NoErr(err) // what was held back comes
	}
	relayer.Set(troubleOf("reset"))
	is.True(!roundTrip(connection, long))
	is.True(!roundTrip(dial(), long))
	cancel()
	<-ended
}

func troubleOf(kind string) relayer.Trouble {
	switch kind {
	case "delay":
		return relayer.Trouble{Delay: short}
	case "requests":
		return relayer.Trouble{CutRequests: true}
	case "answers":
		return relayer.Trouble{CutAnswers: true}
	case "reset":
		return relayer.Trouble{Reset: true}
	default:
		return relayer.Trouble{}
	}
}
