package gossiper_test

import (
	"context"
	"io"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/watcher"
	"godwitramp.example/entry/internal/gossiper"
	"godwitramp.example/shell/caller"
	"godwitramp.example/shell/certifier"
	"godwitramp.example/shell/connector"
	"godwitramp.example/shell/faker"
	"godwitramp.example/shell/logger"
)

// start runs the membership of one VM over TCP sockets.
func start(t *testing.T, authority *certifier.Authority, platform connector.Platform, seeds []string, name string) *gossiper.Gossiper {
	t.Helper()
	is := is.New(t)
	config, err := authority.Config(name, net.IPv4(127, 0, 0, 1))
	is.NoErr(err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	calls := &caller.Caller{TLS: config}
	started := &gossiper.Gossiper{
		Peer:   watcher.Peer{Name: name, Region: "r", DataCentre: "r-1", Address: listener.Addr().String(), Incarnation: 1},
		Caller: calls, Platform: platform, Seeds: seeds, Log: logger.New(io.Discard, "entry", name),
	}
	services := rpc.NewServer()
	is.NoErr(services.RegisterName("Members", started.Service()))
	server := &caller.Server{Listener: listener, TLS: config, RPC: services}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{}, 2)
	go func() { _ = server.Run(ctx); done <- struct{}{} }()
	go func() { _ = started.Run(ctx); done <- struct{}{} }()
	t.Cleanup(func() {
		cancel()
		calls.Close()
		<-done
		<-done
	})
	return started
}

func TestVMsFindEachOtherBySeedDuringPlatformOutage(t *testing.T) {
	is := is.New(t)
	authority, err := certifier.NewAuthority("fleet")
	is.NoErr(err)
	platform := faker.New()
	platform.SetFaults(faker.Faults{Outage: true, ListOutage: true})
	first := start(t, authority, platform, nil, "vm-01")
	second := start(t, authority, platform, []string{first.Self().Address}, "vm-02")
	third := start(t, authority, platform, []string{first.Self().Address}, "vm-03")
	for _, vm := range []*gossiper.Gossiper{first, second, third} {
		for len(vm.Live()) < 2 {
			if t.Context().Err() != nil {
				t.Fatal("VMs did not find each other")
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	second.Leave(t.Context())
	for len(first.Live()) != 1 {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(first.Live()[0].Name, "vm-03")
}
