package steward_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/rpc"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/ejector"
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

func TestFleetEjectsTogether(t *testing.T) {
	for name, faults := range map[string]faker.Faults{"all well": {}, "store answers lost": {LoseAnswers: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fleet := start(t, usual, faults)
				fleet.platform.SetFaults(faker.Faults{Outage: true}) // not needed from here on
				fleet.serve(fleet.nodes, 5*time.Second, router.Good)
				is.Equal(fleet.uses(fleet.nodes), usual)
				fleet.serve(fleet.nodes[:3], time.Second, router.Failed)
				is.Equal(fleet.uses(fleet.nodes), 0) // the other three have no evidence of their own
				time.Sleep(15 * time.Second)
				is.Equal(fleet.uses(fleet.nodes), usual) // it comes back
			})
		})
	}
}

func TestCutOffVMObeysOnlyUntilItsLeaseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := start(t, usual, faker.Faults{})
		fleet.serve(fleet.nodes[:3], time.Second, router.Failed)
		for i := range usual - 1 { // vm-5 is heard, but hears nothing
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
		fleet := start(t, usual, faker.Faults{})
		fleet.serve(fleet.nodes[:3], time.Second, router.Failed)
		is.Equal(fleet.uses(fleet.nodes), 0)
		for _, from := range fleet.nodes { // nobody hears anybody
			for _, to := range fleet.nodes {
				fleet.setCut(from.peer.Address + ">" + to.peer.Address)
			}
		}
		time.Sleep(15 * time.Second)
		is.Equal(fleet.uses(fleet.nodes), usual)
	})
}

func TestLeavingTargetGetsNothingFromAnyVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := start(t, 40, faker.Faults{})
		is.Equal(fleet.uses(fleet.nodes), 40)
		target := configurator.Path(service + "/targets/t0")
		fleet.nodes[0].router.Done(router.Result{Target: target, Kind: router.Leaving}, fleet.nodes[0].Now())
		time.Sleep(3 * time.Second) // one VM has heard it
		is.Equal(fleet.uses(fleet.nodes), 0)
	})
}

func TestPermitsMoveToTheirVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := start(t, usual, faker.Faults{})
		holders := func() map[string]bool {
			rows, err := fleet.platform.Scan(t.Context(), "ejection/", 10)
			is.NoErr(err)
			names := make(map[string]bool)
			for _, row := range rows {
				var claim ejector.Claim
				is.NoErr(json.Unmarshal(row.Value, &claim))
				names[claim.Holder] = !claim.Released
			}
			return names
		}
		before := holders()
		is.Equal(len(before), 2) // two of four targets may be out
		fleet.setAlone(before, true)
		time.Sleep(30 * time.Second)
		is.Equal(holders(), before) // a VM that knows no other takes nothing that is held
		for _, node := range fleet.nodes {
			if before[node.peer.Name] {
				fleet.stop(node)
			}
		}
		time.Sleep(30 * time.Second)
		is.Equal(len(holders()), 1) // the first one that looked took both
		fleet.setAlone(before, false)
		time.Sleep(5 * time.Minute)
		is.Equal(len(holders()), 2) // the ring spreads them
	})
}

func TestStoppedVMGivesItsPermitsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := start(t, usual, faker.Faults{})
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
			fleet.stop(node)
		}
		time.Sleep(10 * time.Second)
		is.Equal(strings.Count(holders(), `"released":true`), 2)
	})
}

// TestMeasureCalls prints what the exchange costs each VM, without and with an
// ejection, beside the size of the fleet.
func TestMeasureCalls(t *testing.T) {
	t.Log("VMs | idle: calls and bytes a VM and second | with traffic and an ejection")
	for _, size := range []int{10, 20, 40} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			fleet := start(t, size, faker.Faults{})
			count := func(run func()) (calls, bytes float64) {
				began := fleet.nodes[0].Now()
				before, sent := fleet.cost()
				run()
				after, sentAfter := fleet.cost()
				seconds := (fleet.nodes[0].Now() - began).Seconds() * float64(size)
				return float64(after-before) / seconds, float64(sentAfter-sent) / seconds
			}
			calls, bytes := count(func() { time.Sleep(20 * time.Second) })
			busyCalls, busyBytes := count(func() { fleet.serve(fleet.nodes[:3], 8*time.Second, router.Failed) })
			t.Logf("%d | %.1f %.0f | %.1f %.0f", size, calls, bytes, busyCalls, busyBytes)
			is.True(calls < 5) // three pulls in a second, whatever the size
		})
	}
}
