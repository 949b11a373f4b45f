package syncer_test

import (
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/follower"
	"godwitramp.example/core/watcher"
	"godwitramp.example/entry/internal/syncer"
	"godwitramp.example/shell/connector"
	"godwitramp.example/shell/faker"
	"godwitramp.example/shell/recorder"
)

const (
	dataCentres = 6
	regions     = 3
	// roundTrip is the network delay of one call.
	roundTrip = 8 * time.Millisecond
)

var errPeerDown = errors.New("peer is not running")

// network is a fleet whose VMs call one another in memory.
type network struct {
	t        *testing.T
	is       *is.I
	platform *faker.Platform
	records  *recorder.Recorder
	vms      []*vm
	bytes    atomic.Int64
	mutex    sync.Mutex
	encoders map[[2]int]*gob.Encoder
	faults   atomic.Pointer[faults]
}

// faults decides which calls to VMs and to the store get no answer.
type faults struct {
	peerUnreachable  func(from, to int) bool
	storeUnreachable func(vm int) bool
}

// noFaults lets every call through.
var noFaults = faults{peerUnreachable: func(int, int) bool { return false }, storeUnreachable: func(int) bool { return false }}

// isolated separates one VM from its peers and from the store.
func isolated(vm int) *faults {
	return &faults{
		peerUnreachable:  func(from, to int) bool { return from == vm || to == vm },
		storeUnreachable: func(other int) bool { return other == vm },
	}
}

// vm is one VM and the controls of its process.
type vm struct {
	*syncer.Syncer
	service *syncer.Service
	peer    watcher.Peer
	stop    context.CancelFunc
	done    chan struct{}
}

func newNetwork(t *testing.T, size int) *network {
	network := &network{
		t: t, is: is.New(t), platform: faker.New(), encoders: make(map[[2]int]*gob.Encoder),
	}
	network.faults.Store(&noFaults)
	network.records = &recorder.Recorder{Platform: network.platform}
	network.vms = make([]*vm, size)
	for i := range size {
		dataCentre := i % dataCentres
		network.vms[i] = &vm{peer: watcher.Peer{
			Name: fmt.Sprintf("vm-%03d", i), Region: fmt.Sprint(dataCentre * regions / dataCentres), DataCentre: fmt.Sprint(dataCentre),
			Address: fmt.Sprint(i), BesideStore: dataCentre*regions/dataCentres == 0,
		}}
	}
	return network
}

func (network *network) start(i int) {
	vm := network.vms[i]
	vm.peer.Incarnation++
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(network.t.Context())
	vm.Syncer = &syncer.Syncer{
		Recorder: &recorder.Recorder{Platform: &faultyPlatform{network, i, network.platform}},
		Members:  &members{network, i}, Calls: &calls{network, i}, Log: logrus.NewEntry(log),
	}
	vm.stop, vm.done = cancel, make(chan struct{})
	service := vm.Service()
	network.mutex.Lock()
	vm.service = service
	network.mutex.Unlock()
	go func() {
		defer close(vm.done)
		_ = vm.Run(ctx)
	}()
}

func (network *network) startAll() {
	for i := range network.vms {
		network.start(i)
	}
}

func (network *network) kill(i int) {
	network.mutex.Lock()
	network.vms[i].service = nil
	network.mutex.Unlock()
	network.vms[i].stop()
	<-network.vms[i].done
}

func (network *network) stopAll() {
	for i, vm := range network.vms {
		if vm.stop != nil {
			network.kill(i)
		}
	}
}

// record makes changes as an operator does, and returns the newest revision.
func (network *network) record(count int, edit func(*configurator.Change)) uint64 {
	var revision uint64
	for range count {
		head, err := network.records.Head(network.t.Context())
		network.is.NoErr(err)
		team, err := network.records.Team(network.t.Context(), "a")
		network.is.NoErr(err)
		revision = head.Revision + 1
		change := configurator.Change{ID: fmt.Sprint("change-", revision), Revision: revision, Team: "a"}
		edit(&change)
		network.is.NoErr(network.records.Record(network.t.Context(), head, team, change))
	}
	return revision
}

// putOrganisation fills a change that puts one of 100 organisations.
func putOrganisation(change *configurator.Change) {
	change.Puts = []configurator.Entry{{
		Path:   configurator.Path(fmt.Sprintf("/a/organisations/o%d", change.Revision%100)),
		Fields: []configurator.Field{{Name: "burst", Value: "5"}, {Name: "rate", Value: fmt.Sprint(change.Revision)}},
	}}
}

// await sleeps until the condition holds on all running VMs or the limit has
// passed, and returns the time taken.
func (network *network) await(limit time.Duration, condition func(*vm) bool) time.Duration {
	startedAt := time.Now()
	for time.Since(startedAt) < limit {
		met := true
		for _, vm := range network.vms {
			met = met && (vm.Syncer == nil || condition(vm))
		}
		if met {
			return time.Since(startedAt)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return limit
}

func atLeast(revision uint64) func(*vm) bool {
	return func(vm *vm) bool { return vm.Revision() >= revision }
}

// members is one VM's view of the running VMs.
type members struct {
	network *network
	self    int
}

func (members *members) Self() watcher.Peer { return members.network.vms[members.self].peer }

func (members *members) Live() []watcher.Peer {
	members.network.mutex.Lock()
	defer members.network.mutex.Unlock()
	var live []watcher.Peer
	for i, vm := range members.network.vms {
		if i != members.self && vm.service != nil {
			live = append(live, vm.peer)
		}
	}
	return live
}

// calls carries the calls of one VM.
type calls struct {
	network *network
	from    int
}

func (calls *calls) Call(ctx context.Context, address, method string, args, reply any) error {
	var to int
	_, _ = fmt.Sscan(address, &to)
	network := calls.network
	if network.faults.Load().peerUnreachable(calls.from, to) {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(roundTrip)
	network.mutex.Lock()
	service := network.vms[to].service
	network.mutex.Unlock()
	if service == nil {
		return errPeerDown
	}
	network.countBytes([2]int{calls.from, to}, args)
	defer func() { network.countBytes([2]int{to, calls.from}, reply) }()
	if method == "Config.Exchange" {
		return service.Exchange(args.(follower.Message), reply.(*follower.Answer))
	}
	return service.Snapshot(args.(syncer.SnapshotRequest), reply.(*syncer.SnapshotPart))
}

// countBytes adds the gob-encoded size of a value on the connection between two
// VMs.
func (network *network) countBytes(link [2]int, value any) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	encoder := network.encoders[link]
	if encoder == nil {
		encoder = gob.NewEncoder(&byteCounter{&network.bytes})
		network.encoders[link] = encoder
	}
	if err := encoder.Encode(value); err != nil {
		panic(err)
	}
}

type byteCounter struct{ bytes *atomic.Int64 }

func (byteCounter *byteCounter) Write(data []byte) (int, error) {
	byteCounter.bytes.Add(int64(len(data)))
	return len(data), nil
}

// faultyPlatform is the platform as one VM reaches it.
type faultyPlatform struct {
	network *network
	vm      int
	connector.Platform
}

func (faultyPlatform *faultyPlatform) block(ctx context.Context) error {
	if !faultyPlatform.network.faults.Load().storeUnreachable(faultyPlatform.vm) {
		return nil
	}
	<-ctx.Done()
	return &connector.LostAnswerError{Cause: ctx.Err()}
}

func (faultyPlatform *faultyPlatform) Row(ctx context.Context, key string) (connector.Row, error) {
	if err := faultyPlatform.block(ctx); err != nil {
		return connector.Row{}, err
	}
	return faultyPlatform.Platform.Row(ctx, key)
}

func (faultyPlatform *faultyPlatform) Scan(ctx context.Context, prefix string, limit int) ([]connector.Row, error) {
	if err := faultyPlatform.block(ctx); err != nil {
		return nil, err
	}
	return faultyPlatform.Platform.Scan(ctx, prefix, limit)
}

func (faultyPlatform *faultyPlatform) Transact(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if err := faultyPlatform.block(ctx); err != nil {
		return connector.Outcome{}, err
	}
	return faultyPlatform.Platform.Transact(ctx, transaction)
}
