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
	usual   = 6 // VMs
)

// fleet is some VMs of one region before a service of four targets.
type fleet struct {
	platform *faker.Platform
	table    *configurator.Table
	nodes    []*node
	random   *rand.Rand
	started  time.Time
	mutex    sync.Mutex
	cut      map[string]bool // calls that don't arrive, as "from>to"
	clients  map[string]*rpc.Client
	calls    int
	bytes    int
}

// counted counts the bytes that are written at one end of a connection.
type counted struct {
	net.Conn
	fleet *fleet
}

func (counted counted) Write(data []byte) (int, error) {
	counted.fleet.mutex.Lock()
	counted.fleet.bytes += len(data)
	counted.fleet.mutex.Unlock()
	return counted.Conn.Write(data)
}

type node struct {
	fleet    *fleet
	peer     watcher.Peer
	router   *router.Router
	reporter *reporter.Reporter
	steward  *steward.Steward
	services *rpc.Server
	stop     context.CancelFunc
	alone    bool // knows of no other VM
	stopped  bool
}

func (node *node) Self() watcher.Peer { return node.peer }

func (node *node) Live() []watcher.Peer {
	var peers []watcher.Peer
	node.fleet.mutex.Lock()
	defer node.fleet.mutex.Unlock()
	for _, other := range node.fleet.nodes {
		if other != node && !node.alone && !other.stopped {
			peers = append(peers, other.peer)
		}
	}
	return peers
}

func (node *node) Table() *configurator.Table { return node.fleet.table }

func (node *node) Reading() timekeeper.Reading { return timekeeper.At(node.Now()) }

func (node *node) Now() time.Duration { return time.Since(node.fleet.started) }

// Call carries a call over net/rpc, unless the way is cut.
func (node *node) Call(ctx context.Context, address, method string, args, reply any) error {
	client, cut := node.fleet.client(node.peer.Address, address)
	if cut {
		<-ctx.Done()
		return ctx.Err()
	}
	return client.Call(method, args, reply)
}

// client returns the connection between two VMs, or that the way is cut.
func (fleet *fleet) client(from, to string) (client *rpc.Client, cut bool) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.calls++
	pair := from + ">" + to
	if fleet.cut[pair] {
		return nil, true
	}
	if fleet.clients[pair] == nil {
		near, far := net.Pipe()
		called := slices.IndexFunc(fleet.nodes, func(node *node) bool { return node.peer.Address == to })
		go fleet.nodes[called].services.ServeConn(counted{far, fleet})
		fleet.clients[pair] = rpc.NewClient(counted{near, fleet})
	}
	return fleet.clients[pair], false
}

// start runs the fleet until the test ends, and waits until permits are held.
func start(t *testing.T, size int, faults faker.Faults) *fleet {
	t.Helper()
	fleet := &fleet{platform: faker.New(), random: rand.New(rand.NewPCG(1, 1)), started: time.Now().Add(-time.Hour), cut: make(map[string]bool), clients: make(map[string]*rpc.Client)}
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
		node := &node{fleet: fleet, services: rpc.NewServer()}
		node.peer = watcher.Peer{Name: fmt.Sprint("vm-", i), Address: fmt.Sprint("peer-", i), Region: "r", DataCentre: "r-1", Incarnation: 1}
		node.router = &router.Router{Locality: router.Locality{Region: "r", DataCentre: "r-1"}}
		fleet.nodes = append(fleet.nodes, node)
	}
	for _, node := range fleet.nodes {
		steward := &steward.Steward{Platform: fleet.platform, Members: node, Caller: node, Tables: node, Router: node.router, Clock: node, Log: logrus.NewEntry(log)}
		node.steward = steward
		is.New(t).NoErr(node.services.RegisterName("Ejection", steward.Service()))
		node.reporter = &reporter.Reporter{Self: node.peer, Holders: steward, Caller: node, Leave: steward.Leave}
		node.router.Observer = node.reporter
		ctx, cancel := context.WithCancel(t.Context())
		node.stop = cancel
		go func() { _ = steward.Run(ctx) }()
		go func() { _ = node.reporter.Run(ctx) }()
		time.Sleep(7 * time.Millisecond) // timers of two VMs never end at the same instant
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
// as said.
func (fleet *fleet) serve(nodes []*node, length time.Duration, kind router.ResultKind) {
	fleet.serveBy(nodes, length, func(name string) router.ResultKind {
		if name == "t0" {
			return kind
		}
		return router.Good
	})
}

// serveBy sends requests; each target answers as kind says of its name.
func (fleet *fleet) serveBy(nodes []*node, length time.Duration, kind func(name string) router.ResultKind) {
	for end := fleet.nodes[0].Now() + length; fleet.nodes[0].Now() < end; time.Sleep(20 * time.Millisecond) {
		for _, node := range nodes {
			target, ok := node.router.Pick(router.PickInfo{Service: fleet.table.Service(service), Now: node.Now()}, fleet.random)
			if !ok {
				continue
			}
			node.router.Done(router.Result{
				Target: target.Path, Kind: kind(target.Path.Name()), Latency: 20 * time.Millisecond, FreshConnection: true,
			}, node.Now())
		}
	}
}

// uses counts the VMs that would send to target 0 now.
func (fleet *fleet) uses(nodes []*node) int {
	count := 0
	for _, node := range nodes {
		for range 300 {
			target, ok := node.router.Pick(router.PickInfo{Service: fleet.table.Service(service), Now: node.Now()}, fleet.random)
			node.router.Done(router.Result{Target: target.Path, Kind: router.Cancelled}, node.Now())
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

func (fleet *fleet) stop(node *node) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	node.stopped = true
	node.stop()
}

// setAlone lets the VMs that aren't named know of no other, or of all.
func (fleet *fleet) setAlone(named map[string]bool, alone bool) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, node := range fleet.nodes {
		node.alone = alone && !named[node.peer.Name]
	}
}

func (fleet *fleet) setCut(pair string) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.cut[pair] = true
}
