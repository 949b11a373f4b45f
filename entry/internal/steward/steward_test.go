package steward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
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
	size    = 6
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
}

type node struct {
	fleet    *fleet
	peer     watcher.Peer
	router   *router.Router
	reporter *reporter.Reporter
	services *rpc.Server
	stop     context.CancelFunc
}

func (node *node) Self() watcher.Peer { return node.peer }

func (node *node) Live() []watcher.Peer {
	var peers []watcher.Peer
	for _, other := range node.fleet.nodes {
		if other != node {
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
	node.fleet.mutex.Lock()
	cut := node.fleet.cut[node.peer.Address+">"+address]
	node.fleet.mutex.Unlock()
	if cut {
		<-ctx.Done()
		return ctx.Err()
	}
	for _, other := range node.fleet.nodes {
		if other.peer.Address == address {
			near, far := net.Pipe()
			go other.services.ServeConn(far)
			client := rpc.NewClient(near)
			defer func() { _ = client.Close() }()
			return client.Call(method, args, reply)
		}
	}
	return errors.New("no such VM")
}

// start runs the fleet until the test ends, and waits until permits are held.
func start(t *testing.T, faults faker.Faults) *fleet {
	t.Helper()
	fleet := &fleet{platform: faker.New(), random: rand.New(rand.NewPCG(1, 1)), started: time.Now().Add(-time.Hour), cut: make(map[string]bool)}
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
		node.router = &router.Router{Place: router.Place{Region: "r", DataCentre: "r-1"}}
		fleet.nodes = append(fleet.nodes, node)
	}
	for _, node := range fleet.nodes {
		steward := &steward.Steward{Platform: fleet.platform, Members: node, Caller: node, Tables: node, Router: node.router, Clock: node, Log: logrus.NewEntry(log)}
		is.New(t).NoErr(node.services.RegisterName("Ejection", steward.Service()))
		node.reporter = &reporter.Reporter{Self: node.peer, Holders: steward, Caller: node, Leave: steward.Leave}
		node.router.Observer = node.reporter
		ctx, cancel := context.WithCancel(t.Context())
		node.stop = cancel
		go func() { _ = steward.Run(ctx) }()
		go func() { _ = node.reporter.Run(ctx) }()
		t.Cleanup(cancel)
	}
	time.Sleep(time.Minute)
	return fleet
}

// serve sends requests through some VMs for the given time; target 0 answers
// as said.
func (fleet *fleet) serve(nodes []*node, length time.Duration, kind router.ResultKind) {
	for end := fleet.nodes[0].Now() + length; fleet.nodes[0].Now() < end; time.Sleep(20 * time.Millisecond) {
		for _, node := range nodes {
			target, ok := node.router.Pick(router.Ask{Service: fleet.table.Service(service), Now: node.Now()}, fleet.random)
			if !ok {
				continue
			}
			result := router.Result{Target: target.Path, Latency: 20 * time.Millisecond, FreshConnection: true}
			if target.Path.Name() == "t0" {
				result.Kind = kind
			}
			node.router.Done(result, node.Now())
		}
	}
}

// uses counts the VMs that would send to target 0 now.
func (fleet *fleet) uses(nodes []*node) int {
	count := 0
	for _, node := range nodes {
		for range 300 {
			target, ok := node.router.Pick(router.Ask{Service: fleet.table.Service(service), Now: node.Now()}, fleet.random)
			node.router.Done(router.Result{Target: target.Path, Kind: router.Cancelled}, node.Now())
			if ok && target.Path.Name() == "t0" {
				count++
				break
			}
		}
	}
	return count
}

func (fleet *fleet) setCut(pair string) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.cut[pair] = true
}

func TestFleetEjectsTogether(t *testing.T) {
	for name, faults := range map[string]faker.Faults{"all well": {}, "store answers lost": {LoseAnswers: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fleet := start(t, faults)
				fleet.platform.SetFaults(faker.Faults{Outage: true}) // not needed from here on
				fleet.serve(fleet.nodes, 5*time.Second, router.Good)
				is.Equal(fleet.uses(fleet.nodes), size)
				fleet.serve(fleet.nodes[:3], time.Second, router.Failed)
				is.Equal(fleet.uses(fleet.nodes), 0) // the other three have no evidence of their own
				time.Sleep(15 * time.Second)
				is.Equal(fleet.uses(fleet.nodes), size) // it comes back
			})
		})
	}
}

func TestCutOffVMObeysOnlyUntilItsLeaseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := start(t, faker.Faults{})
		fleet.serve(fleet.nodes[:3], time.Second, router.Failed)
		for i := range size - 1 { // vm-5 is heard, but hears nothing
			fleet.setCut(fmt.Sprint("peer-5>peer-", i))
		}
		is.Equal(fleet.uses(fleet.nodes[5:]), 0)
		time.Sleep(15 * time.Second)
		is.Equal(fleet.uses(fleet.nodes[5:]), 1)
	})
}

func TestEjectionEndsWithItsHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := start(t, faker.Faults{})
		fleet.serve(fleet.nodes[:3], time.Second, router.Failed)
		is.Equal(fleet.uses(fleet.nodes), 0)
		for _, from := range fleet.nodes { // nobody hears anybody
			for _, to := range fleet.nodes {
				fleet.setCut(from.peer.Address + ">" + to.peer.Address)
			}
		}
		time.Sleep(15 * time.Second)
		is.Equal(fleet.uses(fleet.nodes), size)
	})
}

func TestLeavingTargetGetsNothingFromAnyVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := start(t, faker.Faults{})
		is.Equal(fleet.uses(fleet.nodes), size)
		target := configurator.Path(service + "/targets/t0")
		fleet.nodes[0].router.Done(router.Result{Target: target, Kind: router.Leaving}, fleet.nodes[0].Now())
		time.Sleep(3 * time.Second) // one VM has heard it
		is.Equal(fleet.uses(fleet.nodes), 0)
	})
}

func TestStoppedVMGivesItsPermitsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := start(t, faker.Faults{})
		holders := func() string {
			rows, err := fleet.platform.Scan(t.Context(), "ejection/", 10)
			is.NoErr(err)
			var all strings.Builder
			for _, row := range rows {
				all.Write(row.Value)
			}
			return all.String()
		}
		before := holders()
		is.Equal(strings.Count(before, `"released":false`), 2) // two of four targets may be out
		for _, node := range fleet.nodes {
			node.stop()
		}
		time.Sleep(10 * time.Second)
		is.Equal(strings.Count(holders(), `"released":true`), 2)
	})
}
