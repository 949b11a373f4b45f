package steward_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/router"
	"godwitramp.example/core/timekeeper"
	"godwitramp.example/core/watcher"
	"godwitramp.example/entry/internal/reporter"
	"godwitramp.example/entry/internal/steward"
	"godwitramp.example/shell/faker"
)

const (
	service = "/a/services/s"
	vmCount = 6
)

// fleet is several VMs of one region and a service with four targets.
type fleet struct {
	platform *faker.Platform
	table    *configurator.Table
	members  []*member
	random   *rand.Rand
	started  time.Time
	mutex    sync.Mutex
	cutLinks map[string]bool // calls that get no answer, as "from>to"
	clients  map[string]*rpc.Client
	calls    int
	bytes    int
}

// countingConn counts the bytes written at one end of a connection.
type countingConn struct {
	net.Conn
	fleet *fleet
}

func (countingConn countingConn) Write(data []byte) (int, error) {
	countingConn.fleet.mutex.Lock()
	countingConn.fleet.bytes += len(data)
	countingConn.fleet.mutex.Unlock()
	return countingConn.Conn.Write(data)
}

type member struct {
	fleet    *fleet
	peer     watcher.Peer
	router   *router.Router
	reporter *reporter.Reporter
	steward  *steward.Steward
	services *rpc.Server
	stop     context.CancelFunc
	isolated bool // sees no other VM
	stopped  bool
}

func (member *member) Self() watcher.Peer { return member.peer }

func (member *member) Live() []watcher.Peer {
	var peers []watcher.Peer
	member.fleet.mutex.Lock()
	defer member.fleet.mutex.Unlock()
	for _, other := range member.fleet.members {
		if other != member && !member.isolated && !other.stopped {
			peers = append(peers, other.peer)
		}
	}
	return peers
}

func (member *member) Table() *configurator.Table { return member.fleet.table }

func (member *member) Reading() timekeeper.Reading { return timekeeper.At(member.Now()) }

func (member *member) Now() time.Duration { return time.Since(member.fleet.started) }

// Call makes a call over net/rpc, unless the link is cut.
func (member *member) Call(ctx context.Context, address, method string, args, reply any) error {
	client, cut := member.fleet.client(member.peer.Address, address)
	if cut {
		<-ctx.Done()
		return ctx.Err()
	}
	return client.Call(method, args, reply)
}

// client returns the connection between two VMs, or reports that the link is cut.
func (fleet *fleet) client(from, to string) (client *rpc.Client, cut bool) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.calls++
	pair := from + ">" + to
	if fleet.cutLinks[pair] {
		return nil, true
	}
	if fleet.clients[pair] == nil {
		clientConn, serverConn := net.Pipe()
		called := slices.IndexFunc(fleet.members, func(member *member) bool { return member.peer.Address == to })
		go fleet.members[called].services.ServeConn(countingConn{serverConn, fleet})
		fleet.clients[pair] = rpc.NewClient(countingConn{clientConn, fleet})
	}
	return fleet.clients[pair], false
}

// start runs the fleet until the test ends, and waits until permits are held.
func start(t *testing.T, size int, faults faker.Faults) *fleet {
	t.Helper()
	fleet := &fleet{platform: faker.New(), random: rand.New(rand.NewPCG(1, 1)), started: time.Now().Add(-time.Hour), cutLinks: make(map[string]bool), clients: make(map[string]*rpc.Client)}
	fleet.platform.SetFaults(faults)
	entries := []configurator.Entry{{Path: service}}
	for i := range 4 {
		entries = append(entries, configurator.Entry{Path: configurator.Path(fmt.Sprint(service, "/targets/t", i)), Fields: []configurator.Field{
			{Name: "address", Value: fmt.Sprint("127.0.0.1:", 7000+i)}, {Name: "data-centre", Value: "r-1"}, {Name: "region", Value: "r"},
		}})
	}
	state := configurator.NewState()
	is.New(t).NoErr(state.Apply(configurator.Change{Revision: 1, Team: "a", Puts: entries}))
	fleet.table, _ = configurator.Compile(state.All())
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range size {
		member := &member{fleet: fleet, services: rpc.NewServer()}
		member.peer = watcher.Peer{Name: fmt.Sprint("vm-", i), Address: fmt.Sprint("peer-", i), Region: "r", DataCentre: "r-1", Incarnation: 1}
		member.router = &router.Router{Locality: router.Locality{Region: "r", DataCentre: "r-1"}}
		fleet.members = append(fleet.members, member)
	}
	for _, member := range fleet.members {
		steward := &steward.Steward{Platform: fleet.platform, Members: member, Caller: member, Tables: member, Router: member.router, Clock: member, Log: logrus.NewEntry(log)}
		member.steward = steward
		is.New(t).NoErr(member.services.RegisterName("Ejection", steward.Service()))
		member.reporter = &reporter.Reporter{Self: member.peer, Holders: steward, Caller: member, ReportLeaving: steward.ReportLeaving}
		member.router.Observer = member.reporter
		ctx, cancel := context.WithCancel(t.Context())
		member.stop = cancel
		go func() { _ = steward.Run(ctx) }()
		go func() { _ = member.reporter.Run(ctx) }()
		time.Sleep(7 * time.Millisecond) // timers of two VMs never fire at the same instant
		t.Cleanup(cancel)
	}
	t.Cleanup(func() {
		for _, client := range fleet.clients {
			_ = client.Close()
		}
	})
	time.Sleep(time.Minute)
	return fleet
}

// serve sends requests through some VMs for the given time; target 0 answers
// with the given result.
func (fleet *fleet) serve(members []*member, length time.Duration, kind router.ResultKind) {
	fleet.serveBy(members, length, func(name string) router.ResultKind {
		if name == "t0" {
			return kind
		}
		return router.Good
	})
}

// serveBy sends requests; kind gives the result of each target by name.
func (fleet *fleet) serveBy(members []*member, length time.Duration, kind func(name string) router.ResultKind) {
	for end := fleet.members[0].Now() + length; fleet.members[0].Now() < end; time.Sleep(20 * time.Millisecond) {
		for _, member := range members {
			target, ok := member.router.Pick(router.PickInfo{Service: fleet.table.Service(service), Now: member.Now()}, fleet.random)
			if !ok {
				continue
			}
			member.router.Done(router.Result{
				Target: target.Path, Kind: kind(target.Path.Name()), Latency: 20 * time.Millisecond, FreshConnection: true,
			}, member.Now())
		}
	}
}

// countUsing counts the VMs that would send requests to target 0 now.
func (fleet *fleet) countUsing(members []*member) int {
	count := 0
	for _, member := range members {
		for range 300 {
			target, ok := member.router.Pick(router.PickInfo{Service: fleet.table.Service(service), Now: member.Now()}, fleet.random)
			member.router.Done(router.Result{Target: target.Path, Kind: router.Cancelled}, member.Now())
			if ok && target.Path.Name() == "t0" {
				count++
				break
			}
		}
	}
	return count
}

// cost returns the calls and bytes so far.
func (fleet *fleet) cost() (calls, bytes int) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.calls, fleet.bytes
}

func (fleet *fleet) stop(member *member) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	member.stopped = true
	member.stop()
}

// setIsolated makes the VMs that aren't named see no other VM, or see all.
func (fleet *fleet) setIsolated(named map[string]bool, isolated bool) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, member := range fleet.members {
		member.isolated = isolated && !named[member.peer.Name]
	}
}

func (fleet *fleet) cutLink(pair string) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.cutLinks[pair] = true
}
