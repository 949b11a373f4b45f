// Package caller makes and serves calls between the VMs of a fleet: net/rpc over
// mutual TLS, with a time limit for each call.
//
// net/rpc supports neither deadlines nor cancellation. A Caller abandons a call
// when its context ends. It then closes the connection, because an open
// connection may have stopped working for good while new ones work.
//
// # Usage
//
//	caller := &caller.Caller{TLS: tls}
//	defer caller.Close()
//	err := caller.Call(ctx, "127.0.0.1:9001", "Config.Exchange", args, &reply)
package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// defaultTimeout is the time limit of a call whose context has no deadline.
const defaultTimeout = 2 * time.Second

// Caller makes calls to peers and keeps one connection to each. It is safe for
// concurrent use.
type Caller struct {
	// TLS has the VM's certificate and the fleet's certificate authority.
	TLS *tls.Config
	// WrapConn, if set, wraps each new connection; tests use it to count
	// bytes.
	WrapConn func(net.Conn) net.Conn

	mutex   sync.Mutex
	clients map[string]*rpc.Client
}

// Call calls a method of the peer at the address. It returns when the answer
// has arrived or the context ends, whichever is first. The reply must not be
// used after an error, because a late answer may still be written to it.
func (caller *Caller) Call(ctx context.Context, address, method string, args, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
	}
	client, err := caller.client(ctx, address)
	if err != nil {
		return fmt.Errorf("connect to peer %s: %w", address, err)
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		caller.closeClient(address, client)
		return fmt.Errorf("call %s of peer %s: %w", method, address, ctx.Err())
	}
	if call.Error == nil {
		return nil
	}
	var serverError rpc.ServerError
	if !errors.As(call.Error, &serverError) {
		caller.closeClient(address, client)
	}
	return fmt.Errorf("call %s of peer %s: %w", method, address, call.Error)
}

// Close closes all connections. Calls in progress fail.
func (caller *Caller) Close() {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	for _, client := range caller.clients {
		_ = client.Close()
	}
	caller.clients = nil
}

func (caller *Caller) client(ctx context.Context, address string) (*rpc.Client, error) {
	caller.mutex.Lock()
	client := caller.clients[address]
	caller.mutex.Unlock()
	if client != nil {
		return client, nil
	}
	dialer := tls.Dialer{Config: caller.TLS}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if caller.WrapConn != nil {
		connection = caller.WrapConn(connection)
	}
	return caller.storeClient(address, rpc.NewClient(connection)), nil
}

// storeClient keeps a new client for later calls and returns it. If another
// call has stored one in the meantime, it closes the new one and returns the other.
func (caller *Caller) storeClient(address string, client *rpc.Client) *rpc.Client {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	if existing := caller.clients[address]; existing != nil {
		_ = client.Close()
		return existing
	}
	if caller.clients == nil {
		caller.clients = make(map[string]*rpc.Client)
	}
	caller.clients[address] = client
	return client
}

// closeClient closes a client, so that the next call opens a new connection.
func (caller *Caller) closeClient(address string, client *rpc.Client) {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	if caller.clients[address] == client {
		delete(caller.clients, address)
	}
	_ = client.Close()
}
