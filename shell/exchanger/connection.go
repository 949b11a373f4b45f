package exchanger

import (
	"bufio"
	"errors"
	"hash/maphash"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"godwitramp.example/shell/detector"
)

const (
	bufferBytes = 4 << 10
	// maxHeaderBytes bounds the status line and header of an answer.
	maxHeaderBytes = 64 << 10
)

var errHeaderTooLong = errors.New("status line and header of the answer exceed 64 KiB")

// connection is a connection to an upstream. It records, below all buffers,
// whether bytes of a request were written.
type connection struct {
	net.Conn
	// raw is nil if the connection has no file descriptor.
	raw     syscall.RawConn
	address string
	// number is the connection's among those of the exchanger, and calls how many it has carried.
	number uint64
	calls  int
	// tags are hashes of the tags of the calls.
	tags []uint64
	// unnamed is the number of calls whose answer didn't name them.
	unnamed int
	reader  *bufio.Reader
	writer  *bufio.Writer
	fresh   bool
	// tls is true if the connection is one of TLS.
	tls bool
	// lastUsed is the time when the connection was put into the pool.
	lastUsed time.Time
	// keepAliveTimeout is how long the connection may stay idle according to
	// the upstream, or 0 if the upstream didn't say.
	keepAliveTimeout time.Duration
	// unackedTimeout is how long the upstream may acknowledge nothing, 0 if there is no limit.
	unackedTimeout time.Duration

	// pendingWrites is the number of calls of Write in progress.
	pendingWrites atomic.Int32
	wroteBytes    atomic.Bool
	// readBudget is the number of bytes that may still be read, or unlimited.
	readBudget int64
}

// maxTags is the number of calls with a tag that a connection carries.
const maxTags = 256

var tagSeed = maphash.MakeSeed()

func (connection *connection) addTag(tag string) {
	if tag != "" {
		connection.tags = append(connection.tags, maphash.String(tagSeed, tag))
	}
}

// carried reports whether a call with the tag may have gone over the connection.
func (connection *connection) carried(tag string) bool {
	return tag != "" && slices.Contains(connection.tags, maphash.String(tagSeed, tag))
}

// unlimited is the read budget while the body of an answer is read.
const unlimited = -1

func newConnection(raw net.Conn, address string) *connection {
	connection := &connection{Conn: &detector.Conn{Conn: raw}, address: address, fresh: true, readBudget: unlimited}
	connection.reader = bufio.NewReaderSize(connection, bufferBytes)
	connection.writer = bufio.NewWriterSize(connection, bufferBytes)
	socket := raw
	if layered, ok := raw.(interface{ NetConn() net.Conn }); ok { // TLS
		connection.tls = true
		socket = layered.NetConn()
	}
	if syscallConn, ok := socket.(syscall.Conn); ok {
		connection.raw, _ = syscallConn.SyscallConn() // fails only if closed, and then every later call fails too
	}
	return connection
}

// reset prepares the connection for the next request.
func (connection *connection) reset() {
	connection.wroteBytes.Store(false)
	connection.writer.Reset(connection)
}

// Write records whether the operating system accepted any bytes.
func (connection *connection) Write(data []byte) (int, error) {
	connection.pendingWrites.Add(1)
	defer connection.pendingWrites.Add(-1)
	n, err := connection.Conn.Write(data)
	if n > 0 {
		connection.wroteBytes.Store(true)
	}
	return n, err
}

// mayHaveWritten reports whether bytes of the request may have been written.
// The result is exact once the connection is closed or no Write is in
// progress: wroteBytes is set before pendingWrites is decremented, and Write
// accepts no bytes after Close.
func (connection *connection) mayHaveWritten() bool {
	return connection.pendingWrites.Load() > 0 || connection.wroteBytes.Load()
}

// Read reads at most readBudget bytes.
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

// quiet reports whether the connection is still open and nothing has come over it that would pass for the
// answer to a request which isn't written yet. Over TLS records of the protocol may have come.
func (connection *connection) quiet() bool { return connection.tls || connection.healthy() }

// healthy reports whether an idle connection is still open and has no unread
// bytes. Unread bytes would belong to no request.
func (connection *connection) healthy() bool {
	if connection.reader.Buffered() > 0 {
		return false
	}
	if connection.raw == nil {
		return true
	}
	var peekErr error
	err := connection.raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, _, peekErr = syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && (errors.Is(peekErr, syscall.EAGAIN) || errors.Is(peekErr, syscall.EWOULDBLOCK))
}
