// Package detector finds out which answers of an HTTP/1.1 server are broken, though net/http takes them for whole: those
// whose head violates HTTP, and those whose connection did not end in order.
//
// The body of an answer without a length ends with its connection, and is whole only if the server ended its side in
// order. The system reports the error that ended a connection once, to whichever of a write and a read asks first. If
// that is the write of a request which is still being sent, the read that follows returns the same as after an orderly
// end. A Conn returns the error of the write there.
//
// # Usage
//
//	client := &http.Client{Transport: detector.Transport{Transport: &http.Transport{
//		DialContext: detector.Dial((&net.Dialer{}).DialContext),
//	}}}
package detector

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a client's connection whose Read returns io.EOF only if the server has ended its side in order. What is still
// being written then is given up. One goroutine may read while another one writes.
type Conn struct {
	net.Conn
	// writing is held during a Write, and guards failure.
	writing sync.Mutex
	// failure is the error that ended the connection, if a Write has returned it.
	failure error
}

// Write writes to the connection.
func (conn *Conn) Write(data []byte) (int, error) {
	conn.writing.Lock()
	defer conn.writing.Unlock()
	n, err := conn.Conn.Write(data)
	if conn.failure == nil && !afterOrderlyEnd(err) {
		conn.failure = err
	}
	return n, err
}

// Read reads from the connection.
func (conn *Conn) Read(data []byte) (int, error) {
	n, err := conn.Conn.Read(data)
	if errors.Is(err, io.EOF) {
		if failure := conn.writeFailure(); failure != nil {
			return n, fmt.Errorf("the connection did not end in order: %w", failure)
		}
	}
	return n, err
}

// writeFailure returns the error that ended the connection if a Write got it. One in progress may have got it, and is
// ended so that it returns.
func (conn *Conn) writeFailure() error {
	if !conn.writing.TryLock() {
		_ = conn.SetWriteDeadline(time.Unix(0, 0)) // fails only if the connection is closed, which ends the Write too
		conn.writing.Lock()
	}
	defer conn.writing.Unlock()
	return conn.failure
}

// afterOrderlyEnd reports whether the result of a Write is possible on a connection whose server has ended its side in
// order: after that, Linux reports every reset as a broken pipe.
func afterOrderlyEnd(err error) bool {
	return err == nil || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.ErrClosedPipe) || // of net.Pipe
		errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded)
}
