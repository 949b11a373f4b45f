// Package caller carries calls between the VMs of a fleet: net/rpc over mutual
// TLS, each call bounded in time.
//
// net/rpc knows neither deadlines nor cancellation. A Caller gives up a call
// when its context ends, and closes a connection on which a call has timed
// out, because an open connection may have gone silent for good while new ones
// work.
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

// defaultTimeout bounds a call whose context has no deadline.
const defaultTimeout = 2 * time.Second

// Caller keeps one connection to each peer. It is safe for concurrent use.
type Caller struct {
	// TLS has the VM's certificate and the authority of the fleet.
	TLS *tls.Config
	// Wrap, if set, is put round each connection; tests count bytes with it.
	Wrap func(net.Conn) net.Conn

	mutex   sync.Mutex
	clients map[string]*rpc.Client
}

// Call calls a method of the peer at the address. It returns when the answer
// is there or the context ends, whichever is first.
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
		caller.drop(address, client)
		return fmt.Errorf("call %s of peer %s: %w", method, address, ctx.Err())
	}
	if call.Error == nil {
		return nil
	}
	var refused rpc.ServerError
	if !errors.As(call.Error, &refused) {
		caller.drop(address, client)
	}
	return fmt.Errorf("call %s of peer %s: %w", method, address, call.Error)
}

// Close ends all connections.
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
	if caller.Wrap != nil {
		connection = caller.Wrap(connection)
	}
	return caller.keep(address, rpc.NewClient(connection)), nil
}

// keep stores a new client, unless another call has stored one meanwhile.
func (caller *Caller) keep(address string, client *rpc.Client) *rpc.Client {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	if first := caller.clients[address]; first != nil {
		_ = client.Close()
		return first
	}
	if caller.clients == nil {
		caller.clients = make(map[string]*rpc.Client)
	}
	caller.clients[address] = client
	return client
}

func (caller *Caller) drop(address string, client *rpc.Client) {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	if caller.clients[address] == client {
		delete(caller.clients, address)
	}
	_ = client.Close()
}
