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

const (
	handshakeTimeout = 3 * time.Second
	maxConnections   = 4096
)

// Server answers the calls of other VMs.
type Server struct {
	// Listener accepts TCP connections; Run closes it.
	Listener net.Listener
	// TLS must require certificates of the fleet's authority.
	TLS *tls.Config
	// RPC has the services.
	RPC *rpc.Server

	group sync.WaitGroup
}

// Run serves until the context ends. A connection whose other end has no
// certificate of the fleet is closed before any call.
func (server *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer server.group.Wait()
	defer cancel()
	context.AfterFunc(ctx, func() { _ = server.Listener.Close() })
	slots := make(chan struct{}, maxConnections)
	for {
		connection, err := server.Listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("accept peers: %w", err)
		}
		if err != nil {
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = connection.Close()
			continue
		}
		server.group.Go(func() {
			defer func() { <-slots }()
			server.serve(ctx, connection)
		})
	}
}

func (server *Server) serve(ctx context.Context, raw net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	defer func() { _ = raw.Close() }()
	connection := tls.Server(raw, server.TLS)
	handshake, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := connection.HandshakeContext(handshake); err != nil {
		return
	}
	server.RPC.ServeConn(connection)
}
