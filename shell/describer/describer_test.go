package describer_test

import (
	"context"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/shell/caller"
	"godwitramp.example/shell/certifier"
	"godwitramp.example/shell/describer"
)

func TestStatusIsTransferredCompletely(t *testing.T) {
	is := is.New(t)
	authority, err := certifier.NewAuthority("fleet")
	is.NoErr(err)
	server, err := authority.Config("vm-01", net.IPv4(127, 0, 0, 1))
	is.NoErr(err)
	operator, err := authority.Config("operator")
	is.NoErr(err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	want := describer.Status{
		Name: "vm-01", Region: "kutch", DataCentre: "kutch-1", Revision: 7, Ready: true, KeysKnown: true,
		Ejections: []describer.Ejection{{
			Target: "/t/services/s/targets/a", Reason: "failures", Since: time.Unix(1, 0).UTC(), Until: time.Unix(2, 0).UTC(),
			By: "vm-02", Evidence: []describer.Evidence{{VM: "vm-02", Good: 1, Failures: 2, Slow: 3}},
		}},
	}
	services := rpc.NewServer()
	is.NoErr(services.Register(&describer.Describer{Source: func() describer.Status { return want }}))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- (&caller.Server{Listener: listener, TLS: server, RPC: services}).Run(ctx) }()
	defer func() {
		cancel()
		is.NoErr(<-done)
	}()
	calls := &caller.Caller{TLS: operator}
	defer calls.Close()
	got, err := (&describer.Client{Caller: calls}).Status(t.Context(), listener.Addr().String())
	is.NoErr(err)
	is.Equal(got, want)
}
