package syncer_test

import (
	"context"
	"io"
	"log"
	"net"
	"net/rpc"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/follower"
	"godwitramp.example/entry/internal/syncer"
	"godwitramp.example/shell/caller"
	"godwitramp.example/shell/certifier"
)

// Exchanges and snapshots pass through net/rpc and mutual TLS.
func TestServiceOverConnections(t *testing.T) {
	is := is.New(t)
	log.SetOutput(io.Discard) // net/rpc reports connections that end
	network := newNetwork(t, 1)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	served := &syncer.Syncer{Recorder: network.records, Members: &members{network, 0}, Log: logrus.NewEntry(logger)}
	services := rpc.NewServer()
	is.NoErr(served.Register(services))
	authority, err := certifier.NewAuthority("fleet")
	is.NoErr(err)
	config, err := authority.Config("vm", net.IPv4(127, 0, 0, 1))
	is.NoErr(err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	server := &caller.Server{Listener: listener, TLS: config, RPC: services}
	go func() { done <- server.Run(ctx) }()
	client := &caller.Caller{TLS: config}
	defer func() {
		client.Close()
		cancel()
		is.NoErr(<-done)
	}()

	change := configurator.Change{ID: "1", Revision: 1, Team: "a"}
	putOrganisation(&change)
	var answer follower.Answer
	address := listener.Addr().String()
	is.NoErr(client.Call(t.Context(), address, "Config.Exchange", follower.Message{Changes: []configurator.Change{change}}, &answer))
	is.Equal(answer.Revision, uint64(1))
	is.Equal(answer.Changes, []configurator.Change{change})
	is.Equal(served.Revision(), uint64(1))
	is.True(!served.KeysKnown()) // a change alone proves nothing about the head
	var part syncer.SnapshotPart
	is.NoErr(client.Call(t.Context(), address, "Config.Snapshot", syncer.SnapshotRequest{}, &part))
	snapshot, err := configurator.DecodeSnapshot(part.Data)
	is.NoErr(err)
	is.Equal(snapshot.Entries, change.Puts)
	err = client.Call(t.Context(), address, "Config.Snapshot", syncer.SnapshotRequest{Revision: 1, Offset: part.Total + 1}, &part)
	is.True(err != nil) // beyond the end
}
