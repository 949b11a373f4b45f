// Package lingerer closes connections without losing what was written to them.
//
// The system takes an answer long before its reader has all of it. If the connection is closed meanwhile and the
// reader sends anything more, the system resets the connection and drops the rest. A server must read on until it
// knows that its answers have arrived (RFC 9112, section 9.6). Undelivered tells that for connections that stay open,
// and Linger waits for it before a connection is closed.
//
// # Usage
//
//	defer conn.Close()
//	_, err := conn.Write(lastAnswer)
//	lingerer := &lingerer.Lingerer{QuietTimeout: 500 * time.Millisecond, StallTimeout: 10 * time.Second}
//	if !lingerer.Linger(conn) {
//		log.Printf("reader stalled, %d bytes undelivered", lingerer.Undelivered(conn))
//	}
package lingerer

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Undelivered returns the number of bytes written to a connection that its peer's system has not acknowledged. It is 0 if
// the connection is closed or has neither a socket nor a method Undelivered() int.
func Undelivered(conn net.Conn) int {
	if counter, ok := conn.(interface{ Undelivered() int }); ok {
		return counter.Undelivered()
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	undelivered := 0
	_ = raw.Control(func(descriptor uintptr) { // fails if the connection is closed
		if n, err := unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ); err == nil {
			undelivered = n
		}
	})
	return undelivered
}

// Progress tells whether a peer still takes what was written to its connection. The zero value is ready for use.
type Progress struct {
	undelivered int
	changed     time.Time
}

// Stalled records the number of undelivered bytes at a time, and reports whether it is the same, and not 0, since timeout
// or longer.
func (progress *Progress) Stalled(undelivered int, now time.Time, timeout time.Duration) bool {
	if undelivered == 0 || undelivered != progress.undelivered {
		progress.undelivered, progress.changed = undelivered, now
	}
	return undelivered != 0 && now.Sub(progress.changed) >= timeout
}

// Lingerer waits at the end of connections. Fields are set before use.
type Lingerer struct {
	// QuietTimeout is how long a peer that has got everything must send nothing before it is left.
	QuietTimeout time.Duration
	// StallTimeout is how long a peer may take nothing of what was written to it, or go on sending once it has got
	// everything.
	StallTimeout time.Duration
}

// Linger closes the connection for writing, and reads and discards what the peer sends until the peer closes the
// connection, has got everything or takes nothing for StallTimeout. In the last case it returns false. The caller closes the
// connection.
func (lingerer *Lingerer) Linger(conn net.Conn) bool {
	if closer, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = closer.CloseWrite()
	}
	var progress Progress
	var deliveredAt time.Time
	for {
		_ = conn.SetReadDeadline(time.Now().Add(lingerer.QuietTimeout))
		read, err := io.Copy(io.Discard, conn)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return true // nothing more can come that would reset the connection
		}
		now, undelivered := time.Now(), Undelivered(conn)
		if progress.Stalled(undelivered, now, lingerer.StallTimeout) {
			return false
		}
		if undelivered > 0 {
			continue
		}
		if deliveredAt.IsZero() {
			deliveredAt = now
		}
		if read == 0 || now.Sub(deliveredAt) >= lingerer.StallTimeout {
			return true
		}
	}
}
