package exchanger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// idleConnections maps an address to its idle connections, ordered by last use
// with the newest at the end.
type idleConnections map[string][]*connection

// takeIdle returns a healthy connection to the address that has been idle for
// less than maxIdleTime and has not carried the tag, or nil. It closes the unusable ones that it finds.
func (exchanger *Exchanger) takeIdle(address, tag string, maxIdleTime time.Duration) *connection {
	for {
		connection := exchanger.popIdle(address, tag)
		if connection == nil {
			return nil
		}
		limit := maxIdleTime
		if connection.keepAliveTimeout > 0 {
			limit = min(limit, connection.keepAliveTimeout)
		}
		if time.Since(connection.lastUsed) < limit && connection.healthy() {
			return connection
		}
		_ = connection.Close()
	}
}

// popIdle removes and returns the most recently used connection that has not carried the tag, or returns nil.
func (exchanger *Exchanger) popIdle(address, tag string) *connection {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	idle := exchanger.idle[address]
	for i, connection := range slices.Backward(idle) {
		if connection.carried(tag) {
			continue
		}
		if idle = slices.Delete(idle, i, i+1); len(idle) == 0 {
			delete(exchanger.idle, address)
		} else {
			exchanger.idle[address] = idle
		}
		return connection
	}
	return nil
}

// putIdle adds a connection to the pool. If the address has its maximum of
// idle connections, the least recently used one is closed. A connection that holds maxTags is closed too.
func (exchanger *Exchanger) putIdle(connection *connection) {
	if len(connection.tags) >= maxTags {
		_ = connection.Close()
		return
	}
	connection.fresh = false
	connection.lastUsed = time.Now()
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	if exchanger.closed {
		_ = connection.Close()
		return
	}
	if exchanger.idle == nil {
		exchanger.idle = make(idleConnections)
	}
	idle := exchanger.idle[connection.address]
	for len(idle) > 0 && (len(idle) >= exchanger.maxIdlePerAddress() || time.Since(idle[0].lastUsed) > exchanger.idleTimeout()) {
		_ = idle[0].Close()
		idle = idle[1:]
	}
	exchanger.idle[connection.address] = append(idle, connection)
}

// CloseIdle closes the idle connections to an address. It is meant for use
// after a reused connection got no answer: a middlebox that has lost the state
// of one flow has often lost that of others.
func (exchanger *Exchanger) CloseIdle(address string) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	for _, connection := range exchanger.idle[address] {
		_ = connection.Close()
	}
	delete(exchanger.idle, address)
}

// closeExpired closes the connections that exceed the idle timeout.
func (exchanger *Exchanger) closeExpired() {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	for address, idle := range exchanger.idle {
		for len(idle) > 0 && time.Since(idle[0].lastUsed) > exchanger.idleTimeout() {
			_ = idle[0].Close()
			idle = idle[1:]
		}
		exchanger.idle[address] = idle
		if len(idle) == 0 {
			delete(exchanger.idle, address)
		}
	}
}

// Close closes the idle connections. Connections in use are closed when their
// exchange ends.
func (exchanger *Exchanger) Close() {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	exchanger.closed = true
	for _, idle := range exchanger.idle {
		for _, connection := range idle {
			_ = connection.Close()
		}
	}
	clear(exchanger.idle)
}

// UnackedTimeout is how long the peer of a connection may acknowledge nothing after data was sent.
// Zero leaves the system's default.
type UnackedTimeout time.Duration

// Control sets the timeout of a new socket. It is meant for net.Dialer.
func (timeout UnackedTimeout) Control(_, _ string, raw syscall.RawConn) error {
	if timeout == 0 {
		return nil
	}
	return timeout.set(raw)
}

func (timeout UnackedTimeout) set(raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(time.Duration(timeout).Milliseconds()))
	})
	if err = errors.Join(err, failure); err != nil {
		return fmt.Errorf("set time for acknowledgements: %w", err)
	}
	return nil
}

func (exchanger *Exchanger) dial(ctx context.Context, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, exchanger.dialTimeout())
	defer cancel()
	dial := exchanger.Dial
	if dial == nil {
		dial = (&net.Dialer{Control: UnackedTimeout(exchanger.UnackedTimeout).Control}).DialContext
	}
	raw, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to upstream: %w", err)
	}
	connection := newConnection(raw, address)
	connection.number = exchanger.dialed.Add(1)
	if exchanger.Dial == nil {
		connection.unackedTimeout = exchanger.UnackedTimeout
	}
	return connection, nil
}
