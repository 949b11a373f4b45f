package lingerer_test

import (
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/shell/lingerer"
)

// acceptOne returns both ends of a connection over the loopback interface. The peer's receive buffer is small.
func acceptOne(t *testing.T) (accepted, peer *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	raw, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = raw.Close() })
	other, err := listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = other.Close() })
	accepted, peer = other.(*net.TCPConn), raw.(*net.TCPConn)
	is.NoErr(accepted.SetWriteBuffer(400 << 10))
	is.NoErr(peer.SetReadBuffer(8 << 10))
	return accepted, peer
}

// What was written before Linger must arrive, whatever the peer sends meanwhile.
func TestLingerCutsWhatAPeerReadsSlowly(t *testing.T) {
	is := is.New(t)
	accepted, peer := acceptOne(t)
	const length = 150 << 10
	_, err := accepted.Write(make([]byte, length))
	is.NoErr(err)
	is.True(lingerer.Undelivered(accepted) > 0)
	var group sync.WaitGroup
	group.Go(func() {
		lingerer := &lingerer.Lingerer{QuietTimeout: 20 * time.Millisecond, StallTimeout: 10 * time.Second}
		is.True(lingerer.Linger(accepted))
		is.Equal(0, undelivered(accepted))
		_ = accepted.Close()
	})
	read := 0
	for buffer := make([]byte, 8<<10); err == nil; {
		_, _ = io.WriteString(peer, "more") // fails at the end
		time.Sleep(10 * time.Millisecond)
		var n int
		n, err = peer.Read(buffer)
		read += n
	}
	is.Equal(read, length)
	group.Wait()
}

// undelivered is lingerer.Undelivered where a Lingerer hides the package.
func undelivered(conn net.Conn) int { return lingerer.Undelivered(conn) }

// A peer that closes its writing side sends nothing more that could reset the connection.
func TestLingerWaitsForAPeerThatCantSend(t *testing.T) {
	is := is.New(t)
	accepted, peer := acceptOne(t)
	_, err := accepted.Write(make([]byte, 150<<10))
	is.NoErr(err)
	is.NoErr(peer.CloseWrite())
	lingerer := &lingerer.Lingerer{QuietTimeout: time.Hour, StallTimeout: time.Hour}
	is.True(lingerer.Linger(accepted))
	_ = accepted.Close()
	data, err := io.ReadAll(peer)
	is.NoErr(err)
	is.Equal(len(data), 150<<10)
}

// countedConn is a connection of which so many bytes are undelivered.
type countedConn struct {
	net.Conn
	undelivered func() int
}

func (conn countedConn) Undelivered() int { return conn.undelivered() }

func TestLingerEnds(t *testing.T) {
	for _, test := range []struct {
		name string
		// undelivered is the number of undelivered bytes after a time.
		undelivered func(elapsed time.Duration) int
		// sends is how long the peer sends a byte every 100 ms.
		sends     time.Duration
		delivered bool
		took      time.Duration
	}{
		{"quiet peer", func(time.Duration) int { return 0 }, 0, true, 500 * time.Millisecond},
		{"peer that sends for a while", func(time.Duration) int { return 0 }, 1900 * time.Millisecond, true, 2500 * time.Millisecond},
		{"peer that sends for ever", func(time.Duration) int { return 0 }, time.Hour, true, 10500 * time.Millisecond},
		{"peer that reads slowly", func(elapsed time.Duration) int { return max(0, 2000-int(elapsed/time.Millisecond)/10) }, time.Hour, true, 30 * time.Second},
		{"peer that stalls", func(elapsed time.Duration) int { return max(1000, 2000-int(elapsed/time.Millisecond)) }, time.Hour, false, 11 * time.Second},
		{"peer that takes nothing", func(time.Duration) int { return 1000 }, 0, false, 10500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				near, far := net.Pipe()
				var sending sync.WaitGroup
				defer sending.Wait()
				defer func() { _ = near.Close() }()
				started := time.Now()
				sending.Go(func() {
					for time.Since(started) < test.sends {
						if _, err := io.WriteString(far, "x"); err != nil {
							return
						}
						time.Sleep(100 * time.Millisecond)
					}
				})
				conn := countedConn{near, func() int { return test.undelivered(time.Since(started)) }}
				lingerer := &lingerer.Lingerer{QuietTimeout: 500 * time.Millisecond, StallTimeout: 10 * time.Second}
				is.Equal(lingerer.Linger(conn), test.delivered)
				is.Equal(time.Since(started), test.took)
			})
		})
	}
}

func TestUndeliveredOfOtherConnections(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	is.Equal(lingerer.Undelivered(near), 0) // no socket
	accepted, _ := acceptOne(t)
	_, err := accepted.Write(make([]byte, 100<<10))
	is.NoErr(err)
	_ = accepted.Close()
	is.Equal(lingerer.Undelivered(accepted), 0) // closed
}
