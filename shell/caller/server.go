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

// Server serves the calls of other VMs and of operators.
type Server struct {
	// Listener accepts TCP connections. Run closes it.
	Listener net.Listener
	// TLS must require client certificates of the fleet's authority.
	TLS *tls.Config
	// RPC has the services that are served.
	RPC *rpc.Server

	handlers sync.WaitGroup
}

// Run serves connections until the context ends, then closes them and waits
// for their handlers. A connection without a valid client certificate is
// closed before any call.
func (server *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer server.handlers.Wait()
	defer cancel()
	context.AfterFunc(ctx, func() { _ = server.Listener.Close() })
	slots := make(chan struct{}, maxConnections)
	for {
		connection, err := server.Listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("accept connections of peers: %w", err)
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
		server.handlers.Go(func() {
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
