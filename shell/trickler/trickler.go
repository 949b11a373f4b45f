// Package trickler plays callers that read slowly, for tests of servers.
//
// A long answer waits in the buffers of the system on the side of its sender, while the caller reads.
//
// # Usage
//
//	go server.Serve(trickler.Listener{Listener: listener})
//	caller, err := trickler.Dial(listener.Addr().String())
package trickler

import (
	"fmt"
	"net"
	"time"
)

const (
	// LongAnswer is the length in bytes of an answer that the system takes at once on a connection of a
	// Listener, and that a Caller reads for some 300 ms.
	LongAnswer    = 150 << 10
	sendBuffer    = 200 << 10
	receiveBuffer = 8 << 10
	readPause     = 30 * time.Millisecond
	maxRead       = 16 << 10
)

// Listener accepts TCP connections whose buffers take a LongAnswer.
type Listener struct{ net.Listener }

// Accept returns the next connection.
func (listener Listener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept caller: %w", err)
	}
	if err := conn.(*net.TCPConn).SetWriteBuffer(sendBuffer); err != nil {
		return nil, fmt.Errorf("set size of buffer: %w", err)
	}
	return conn, nil
}

// Caller is a TCP connection that is read slowly and has a small receive buffer, so that a long answer waits on the side of
// its sender.
type Caller struct{ *net.TCPConn }

// Dial connects to a TCP address.
func Dial(address string) (Caller, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return Caller{}, fmt.Errorf("connect slow caller: %w", err)
	}
	caller := Caller{conn.(*net.TCPConn)}
	if err := caller.SetReadBuffer(receiveBuffer); err != nil {
		return Caller{}, fmt.Errorf("set size of buffer: %w", err)
	}
	return caller, nil
}

// Read reads some KB after a pause.
func (caller Caller) Read(data []byte) (int, error) {
	time.Sleep(readPause)
	return caller.TCPConn.Read(data[:min(len(data), maxRead)])
}
