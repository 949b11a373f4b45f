package tracker_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
	"godwitramp.example/gateway/internal/tracker"
	"godwitramp.example/platform"
	"godwitramp.example/platform/faker"
)

// fleetBound is how soon all VMs of a fleet must have a change in force.
const fleetBound = 3 * time.Second

// fleet is the VMs of a group, each with a link of its own to the store.
type fleet struct {
	t       *testing.T
	store   *faker.Store
	network *faker.Network
	began   time.Time
	mutex   sync.Mutex
	vms     []*member
	ctx     context.Context
	running sync.WaitGroup
	// loseClaims loses what VMs tell each other.
	loseClaims atomic.Bool
}

// member is one VM of a fleet.
type member struct {
	*tracker.Tracker
	fleet *fleet
	rank  int
	link  *faker.Link
	stop  context.CancelFunc
	// down VMs neither speak nor hear.
	down atomic.Bool
	// inForce is when each version came in force.
	mutex   sync.Mutex
	inForce map[uint64]time.Time
}

// Rank stays as it is when others go: it takes time to notice.
func (member *member) Rank() int { return member.rank }

// Claim tells all others what the VM knows, a millisecond later.
func (member *member) Claim() {
	if member.down.Load() {
		return
	}
	claims := member.Claims()
	lost := member.fleet.loseClaims.Load()
	member.fleet.running.Go(func() {
		time.Sleep(time.Millisecond)
		for _, other := range member.fleet.members() {
			for _, claim := range claims {
				if other != member && !other.down.Load() && !lost {
					other.Hear(claim)
				}
			}
		}
	})
}

func (member *member) configured(index *indexer.Index) {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	member.inForce[index.Version] = time.Now()
}

// runFleet runs a test against VMs with links of that rate, in virtual time.
func runFleet(t *testing.T, size, bytesPerSecond int, test func(fleet *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		fleet := &fleet{t: t, store: &faker.Store{}, network: faker.NewNetwork(), began: time.Now(), ctx: ctx}
		server := &http.Server{Handler: fleet.store}
		fleet.running.Go(func() { _ = server.Serve(fleet.network) })
		fleet.put(1, 1)
		for rank := range size {
			fleet.start(rank, bytesPerSecond)
		}
		time.Sleep(10 * time.Second)
		test(fleet)
		cancel()
		_ = fleet.network.Close()
		_ = server.Close()
		fleet.running.Wait()
		time.Sleep(time.Minute) // answers that are on their way end
	})
}

func (fleet *fleet) start(rank, bytesPerSecond int) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	clock := func() time.Duration { return time.Since(fleet.began) }
	member := &member{fleet: fleet, rank: rank, link: fleet.network.Link(bytesPerSecond), inForce: make(map[uint64]time.Time)}
	store := &platform.Store{Address: "store", Clock: clock, Dial: member.link.Dial}
	member.Tracker = &tracker.Tracker{
		Store: store, Group: member, Clock: clock, Random: func() float64 { return 1 }, ConfigurationBound: fleetBound, TargetBound: fleetBound,
		Log: logrus.NewEntry(log), OnConfiguration: member.configured, OnTargets: func([]placer.Target) {},
	}
	member.Open()
	fleet.mutex.Lock()
	if rank < len(fleet.vms) {
		fleet.vms[rank] = member // it starts again
	} else {
		fleet.vms = append(fleet.vms, member)
	}
	fleet.mutex.Unlock()
	ctx, cancel := context.WithCancel(fleet.ctx)
	member.stop = cancel
	fleet.running.Go(func() { _ = member.Run(ctx) })
	fleet.running.Go(func() {
		for ctx.Err() == nil { // the heartbeats of the group
			member.Claim()
			select {
			case <-ctx.Done():
			case <-time.After(500 * time.Millisecond):
			}
		}
	})
}

// members returns the VMs that were started.
func (fleet *fleet) members() []*member {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return slices.Clone(fleet.vms)
}

// kill ends a VM without notice.
func (fleet *fleet) kill(rank int) {
	member := fleet.members()[rank]
	member.down.Store(true)
	member.stop()
}

// change writes a configuration of that many routes and checks that it is in force
// on every VM within the bound.
func (fleet *fleet) change(version uint64, count int) {
	fleet.t.Helper()
	fleet.put(version, count)
	fleet.check(version)
}

// put writes a configuration of that many routes.
func (fleet *fleet) put(version uint64, count int) {
	fleet.store.Put(platform.ConfigurationTable, "", "config", faker.EncodeConfiguration(routes(version, count)))
}

// check checks that the version is in force on every VM within the bound from now on.
func (fleet *fleet) check(version uint64) {
	fleet.t.Helper()
	changed := time.Now()
	time.Sleep(4 * fleetBound)
	for _, member := range fleet.members() {
		if member.down.Load() {
			continue
		}
		member.mutex.Lock()
		inForce, ok := member.inForce[version]
		member.mutex.Unlock()
		switch {
		case !ok:
			fleet.t.Errorf("version %d is not in force on VM %d after %v", version, member.rank, 4*fleetBound)
		case inForce.Sub(changed) > fleetBound:
			fleet.t.Errorf("version %d is in force on VM %d after %v, must be within %v", version, member.rank, inForce.Sub(changed), fleetBound)
		}
	}
}

// routes returns a configuration with that many routes.
func routes(version uint64, count int) indexer.Configuration {
	configuration := indexer.Configuration{Version: version, Services: []indexer.Service{{Name: "s"}}}
	for i := range count {
		configuration.Routes = append(configuration.Routes, indexer.Route{
			Name: fmt.Sprintf("route-%d", i), Host: "a.example", Prefix: fmt.Sprintf("/prefix-%d/", i), Attempts: 2,
			Timeout: 2 * time.Second, LatencyObjective: time.Second, Shares: []indexer.Share{{Service: "s", Weight: 1}},
		})
	}
	return configuration
}

// bytesOf returns how many bytes of the store's answer hold a configuration.
func bytesOf(count int) int { return len(faker.EncodeConfiguration(routes(1, count))) * 4 / 3 }

// manyRoutes are as many as fit a fast test; the rates of the links are chosen by it.
const manyRoutes = 100

// phases are how long after the last change the next one comes, so that it meets a
// poll at its start, in its middle and at its end.
var phases = []time.Duration{0, 700 * time.Millisecond, 1300 * time.Millisecond, 1700 * time.Millisecond}

// A transfer of 1.2 s, as of 3,000 routes over 10 Mbit/s.
func TestTransferLongerThanACallIsNotCutOff(t *testing.T) {
	runFleet(t, 1, bytesOf(manyRoutes)*10/12, func(fleet *fleet) {
		for i, phase := range phases {
			time.Sleep(phase)
			fleet.change(uint64(10+i), manyRoutes)
		}
	})
}

func TestStartReadsAConfigurationLongerThanACall(t *testing.T) {
	runFleet(t, 1, bytesOf(manyRoutes)/2, func(fleet *fleet) {
		fleet.put(10, manyRoutes)
		fleet.start(1, bytesOf(manyRoutes)/2)
		time.Sleep(5 * time.Second)
		if index := fleet.vms[1].Index(); index == nil || index.Version != 10 {
			t.Error("a VM that starts has not read the configuration after 5 s")
		}
	})
}

// The others of a group must not begin only when the first has the whole answer.
func TestGroupIsWithinTheBoundOfASlowTransfer(t *testing.T) {
	runFleet(t, 6, bytesOf(manyRoutes)/2, func(fleet *fleet) {
		for i, phase := range phases {
			time.Sleep(phase)
			fleet.change(uint64(10+i), manyRoutes)
		}
	})
}

// A transfer of 0.6 s, as of 1,400 routes over 10 Mbit/s, has to fit in after the VM
// that polls for the group has gone.
func TestKillOfTheFirstVMLeavesTimeForTheTransfer(t *testing.T) {
	for phase := time.Duration(0); phase < 2*time.Second; phase += 50 * time.Millisecond {
		runFleet(t, 6, bytesOf(manyRoutes)*10/6, func(fleet *fleet) {
			time.Sleep(phase)
			fleet.kill(0)
			fleet.change(10, manyRoutes)
		})
	}
}

// The changes since a version hold each configuration that was in force meanwhile.
func TestReturningVMIsNotHeldUpByWhatItMissed(t *testing.T) {
	runFleet(t, 2, bytesOf(manyRoutes)*10/6, func(fleet *fleet) {
		fleet.store.SetFaults(faker.Faults{Silent: true})
		time.Sleep(5 * time.Second)
		for version := range uint64(6) {
			fleet.put(10+version, manyRoutes)
		}
		fleet.store.SetFaults(faker.Faults{})
		fleet.check(15)
	})
}
