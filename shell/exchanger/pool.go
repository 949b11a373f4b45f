package exchanger

import (
	"context"
	"fmt"
	"net"
	"time"
)

// idleConnections lists idle connections by address, the one used last at the
// end.
type idleConnections map[string][]*connection

// take returns an idle connection to the address that was used within the
// given time, or nil.
func (exchanger *Exchanger) take(address string, within time.Duration) *connection {
	for {
		connection := exchanger.pop(address)
		if connection == nil {
			return nil
		}
		usable := within
		if connection.keepFor > 0 {
			usable = min(usable, connection.keepFor)
		}
		if time.Since(connection.lastUsed) < usable && connection.quiet() {
			return connection
		}
		_ = connection.Close()
	}
}

// pop removes the connection that was used last.
func (exchanger *Exchanger) pop(address string) *connection {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	idle := exchanger.idle[address]
	if len(idle) == 0 {
		return nil
	}
	last := idle[len(idle)-1]
	idle[len(idle)-1] = nil
	exchanger.idle[address] = idle[:len(idle)-1]
	if len(idle) == 1 {
		delete(exchanger.idle, address)
	}
	return last
}

// put keeps a connection for the next request. The one that was unused for
// longest makes room.
func (exchanger *Exchanger) put(connection *connection) {
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
	for len(idle) > 0 && (len(idle) >= exchanger.maxIdle() || time.Since(idle[0].lastUsed) > exchanger.idleTimeout()) {
		_ = idle[0].Close()
		idle = idle[1:]
	}
	exchanger.idle[connection.address] = append(idle, connection)
}

// Forget closes the idle connections to an address, after one of them was
// found silent: what lost track of one flow has often lost others.
func (exchanger *Exchanger) Forget(address string) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	for _, connection := range exchanger.idle[address] {
		_ = connection.Close()
	}
	delete(exchanger.idle, address)
}

// sweep closes the connections that were idle for too long.
func (exchanger *Exchanger) sweep() {
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

// Close closes the idle connections and keeps none from now on.
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

func (exchanger *Exchanger) dial(ctx context.Context, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, exchanger.dialTimeout())
	defer cancel()
	dial := exchanger.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	raw, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to upstream: %w", err)
	}
	return newConnection(raw, address), nil
}
