package exchanger

import (
	"bufio"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	bufferBytes = 4 << 10
	// maxHeaderBytes bounds the status line and header of an answer.
	maxHeaderBytes = 256 << 10
)

var errHeaderTooLong = errors.New("header of the answer is too long")

// connection is one connection to an upstream. It notes what was written
// below every buffer.
type connection struct {
	net.Conn
	// raw is nil if the operating system's connection can't be reached.
	raw     syscall.RawConn
	address string
	reader  *bufio.Reader
	writer  *bufio.Writer
	fresh   bool
	// lastUsed is when the last answer on it ended.
	lastUsed time.Time
	// keepFor is how long the upstream keeps it open while idle, 0 if unsaid.
	keepFor time.Duration

	// writing counts the calls of Write in progress.
	writing atomic.Int32
	taken   atomic.Bool
	// readBudget bounds what may still be read, unless unlimited.
	readBudget int64
}

// unlimited is the budget of a connection whose answer's body is read.
const unlimited = -1

func newConnection(raw net.Conn, address string) *connection {
	connection := &connection{Conn: raw, address: address, fresh: true, readBudget: unlimited}
	connection.reader = bufio.NewReaderSize(connection, bufferBytes)
	connection.writer = bufio.NewWriterSize(connection, bufferBytes)
	if source, ok := raw.(syscall.Conn); ok {
		connection.raw, _ = source.SyscallConn() // fails only if closed, as all that follows will
	}
	return connection
}

// reset prepares the connection for the next request.
func (connection *connection) reset() {
	connection.taken.Store(false)
	connection.writer.Reset(connection)
}

// Write notes whether the operating system has taken a byte.
func (connection *connection) Write(data []byte) (int, error) {
	connection.writing.Add(1)
	defer connection.writing.Add(-1)
	n, err := connection.Conn.Write(data)
	if n > 0 {
		connection.taken.Store(true)
	}
	return n, err
}

// touched reports whether a byte of the request may have left. It is exact
// once the connection is closed or no Write is in progress: taken is set
// before writing falls, and no Write takes a byte after Close.
func (connection *connection) touched() bool {
	return connection.writing.Load() > 0 || connection.taken.Load()
}

// Read reads no more than the budget.
func (connection *connection) Read(data []byte) (int, error) {
	if connection.readBudget == 0 {
		return 0, errHeaderTooLong
	}
	if connection.readBudget > 0 && int64(len(data)) > connection.readBudget {
		data = data[:connection.readBudget]
	}
	n, err := connection.Conn.Read(data)
	if connection.readBudget > 0 {
		connection.readBudget -= int64(n)
	}
	return n, err
}

// quiet reports whether nothing has come in since the last answer: no byte,
// which would belong to no request, and no end of the connection.
func (connection *connection) quiet() bool {
	if connection.reader.Buffered() > 0 {
		return false
	}
	if connection.raw == nil {
		return true
	}
	var peekErr error
	err := connection.raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, peekErr = syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && (errors.Is(peekErr, syscall.EAGAIN) || errors.Is(peekErr, syscall.EWOULDBLOCK))
}
