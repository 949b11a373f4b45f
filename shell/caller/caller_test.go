package caller_test

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/shell/caller"
	"godwitramp.example/shell/certifier"
)

// Echo is a service with a method that answers and one that hangs.
type Echo struct{ released chan struct{} }

// Say returns its argument.
func (echo *Echo) Say(text string, reply *string) error {
	*reply = text
	return nil
}

// Hang returns when the test ends.
func (echo *Echo) Hang(_ string, _ *string) error {
	<-echo.released
	return nil
}

func startServer(t *testing.T, authority *certifier.Authority) string {
	t.Helper()
	is := is.New(t)
	loopback := net.IPv4(127, 0, 0, 1)
	config, err := authority.Config("server", loopback)
	is.NoErr(err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	echo := &Echo{released: make(chan struct{})}
	services := rpc.NewServer()
	is.NoErr(services.Register(echo))
	server := &caller.Server{Listener: listener, TLS: config, RPC: services}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	t.Cleanup(func() {
		close(echo.released)
		cancel()
		is.NoErr(<-done)
	})
	return listener.Addr().String()
}

func TestTimedOutCallDoesNotBlockLaterCalls(t *testing.T) {
	is := is.New(t)
	authority, err := certifier.NewAuthority("fleet")
	is.NoErr(err)
	address := startServer(t, authority)
	config, err := authority.Config("client")
	is.NoErr(err)
	client := &caller.Caller{TLS: config}
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	var reply string
	err = client.Call(ctx, address, "Echo.Hang", "", &reply)
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.NoErr(client.Call(t.Context(), address, "Echo.Say", "again", &reply))
	is.Equal(reply, "again")
}

// A client without a certificate, or with one of another authority, must not
// be able to make calls.
func TestForeignCertificateIsRejected(t *testing.T) {
	is := is.New(t)
	authority, err := certifier.NewAuthority("fleet")
	is.NoErr(err)
	otherAuthority, err := certifier.NewAuthority("fleet")
	is.NoErr(err)
	address := startServer(t, authority)
	fleet, err := authority.Config("client")
	is.NoErr(err)
	foreign, err := otherAuthority.Config("client")
	is.NoErr(err)
	foreign.RootCAs = fleet.RootCAs
	without := &tls.Config{RootCAs: fleet.RootCAs, MinVersion: tls.VersionTLS13}
	for _, config := range []*tls.Config{foreign, without} {
		client := &caller.Caller{TLS: config}
		var reply string
		is.True(client.Call(t.Context(), address, "Echo.Say", "hello", &reply) != nil)
		is.Equal(reply, "")
		client.Close()
	}
}
