package tracker_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
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
	"godwitramp.example/core/verifier"
	"godwitramp.example/gateway/internal/tracker"
	"godwitramp.example/platform"
	"godwitramp.example/platform/faker"
)

// fleetMaxStaleness is the time within which a change must be in force on all VMs.
const fleetMaxStaleness = 3 * time.Second

// fleet is a group of VMs, or one in each data centre, each with its own link to the store.
type fleet struct {
	t         *testing.T
	store     *faker.Store
	network   *faker.Network
	startTime time.Time
	mutex     sync.Mutex
	vms       []*member
	ctx       context.Context
	running   sync.WaitGroup
	// dropClaims makes the network lose all claims.
	dropClaims atomic.Bool
	// dataCentres maps the rank of a VM to its data centre, "" by default. Set before these start.
	dataCentres map[int]string
	// older makes the VMs' claims those of a version that doesn't tell since when the store has answered, and answers no
	// surveys.
	older atomic.Bool
}

// member is one VM of a fleet.
type member struct {
	*tracker.Tracker
	fleet *fleet
	rank  int
	link  *faker.Link
	stop  context.CancelFunc
	// turnedAway is true while the store resets the VM's connections, which are those in connections.
	turnedAway  atomic.Bool
	connections []net.Conn
	// down is true while the VM neither sends nor receives claims.
	down atomic.Bool
	// inForce maps each version to the time when it came into force.
	mutex   sync.Mutex
	inForce map[uint64]time.Time
	// evacuated are the evacuated data centres, and evacuatedAtStart those when the first configuration came into force.
	evacuated, evacuatedAtStart []string
	targets                     []placer.Target
}

// Rank is that in the data centre. It is constant: peers need time to notice that a VM has gone.
func (member *member) Rank() int {
	rank := member.rank
	for before := range member.rank {
		if member.fleet.dataCentreOf(before) != member.dataCentre() {
			rank--
		}
	}
	return rank
}

// SendClaims delivers the VM's claims to all others after a millisecond.
func (member *member) SendClaims() {
	if member.down.Load() {
		return
	}
	claims := member.Claims()
	for i := range claims {
		if member.fleet.older.Load() {
			claims[i].ServedSince, claims[i].Settled = 0, false
		}
	}
	dropped := member.fleet.dropClaims.Load()
	member.fleet.running.Go(func() {
		time.Sleep(time.Millisecond)
		for _, other := range member.fleet.members() {
			for _, claim := range claims {
				if other != member && other.dataCentre() == member.dataCentre() && !other.down.Load() && !dropped {
					other.HandleClaim(claim)
				}
			}
		}
	})
}

func (member *member) dataCentre() string { return member.fleet.dataCentreOf(member.rank) }

func (fleet *fleet) dataCentreOf(rank int) string {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.dataCentres[rank]
}

// AskFleet asks a VM of each other data centre and one of its own, which answer after 16 ms if both are up.
func (member *member) AskFleet(far bool) (verifier.Asked, bool) {
	others := member.fleet.anyOf(member)
	askedAt := time.Since(member.fleet.startTime)
	for _, other := range others {
		if !far && other.dataCentre() != member.dataCentre() {
			continue
		}
		member.fleet.running.Go(func() {
			time.Sleep(16 * time.Millisecond)
			if member.down.Load() || other.down.Load() || member.fleet.dropClaims.Load() {
				return
			}
			claim, ok := other.InForceClaim()
			if !ok || member.fleet.older.Load() {
				claim = tracker.Claim{} // an older VM answers, but doesn't tell
			}
			if claim.KnownAsOf != 0 {
				claim.KnownAsOf += askedAt - time.Since(member.fleet.startTime)
			}
			claim.AskedAt = askedAt
			if claim.DataCentre = other.dataCentre(); claim.DataCentre == member.dataCentre() {
				claim.DataCentre = ""
			}
			if claim.Table != "" || claim.DataCentre != "" {
				member.HandleClaim(claim)
			}
		})
	}
	delete(others, member.dataCentre())
	return verifier.Asked{DataCentres: len(others), Alone: len(member.fleet.members()) == 1, Far: far}, true
}

// FirstInGroup takes the VMs of a data centre for a group.
func (member *member) FirstInGroup() bool { return member.Rank() == 0 }

// anyOf returns another VM of each data centre.
func (fleet *fleet) anyOf(asking *member) map[string]*member {
	found := make(map[string]*member)
	for _, member := range fleet.members() {
		if member != asking {
			found[member.dataCentre()] = member
		}
	}
	return found
}

func (member *member) recordInForce(index *indexer.Index) {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	if len(member.inForce) == 0 {
		member.evacuatedAtStart = member.evacuated
	}
	for version := range member.inForce {
		if version > index.Version {
			member.fleet.t.Errorf("version %d came into force on VM %d after %d", index.Version, member.rank, version)
		}
	}
	member.inForce[index.Version] = time.Now()
}

// runFleet runs a test in virtual time on a fleet of VMs with links of the given rate.
func runFleet(t *testing.T, size, bytesPerSecond int, test func(fleet *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		fleet := &fleet{t: t, store: &faker.Store{}, network: faker.NewNetwork(), startTime: time.Now(), ctx: ctx}
		server := &http.Server{Handler: fleet.store}
		fleet.running.Go(func() { _ = server.Serve(fleet.network) })
		fleet.putConfiguration(1, 1)
		for rank := range size {
			fleet.start(rank, bytesPerSecond)
		}
		time.Sleep(10 * time.Second)
		test(fleet)
		cancel()
		_ = fleet.network.Close()
		_ = server.Close()
		fleet.running.Wait()
		time.Sleep(time.Minute) // lets answers in flight end
	})
}

func (fleet *fleet) start(rank, bytesPerSecond int) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	clock := func() time.Duration { return time.Since(fleet.startTime) }
	member := &member{fleet: fleet, rank: rank, link: fleet.network.Link(bytesPerSecond), inForce: make(map[uint64]time.Time)}
	store := &platform.Store{Address: "store", Clock: clock, Dial: member.dial}
	member.Tracker = &tracker.Tracker{
		Store: store, Group: member, Clock: clock, Random: func() float64 { return 1 }, MaxConfigurationStaleness: fleetMaxStaleness, MaxTargetStaleness: fleetMaxStaleness,
		Log: logrus.NewEntry(log), OnConfiguration: member.recordInForce, OnTargets: member.setTargets,
		Regions: map[string]string{"d": "r", "e": "r"}, OnEvacuation: member.setEvacuated,
	}
	member.Open()
	fleet.mutex.Lock()
	if rank < len(fleet.vms) {
		fleet.vms[rank] = member // a restart
	} else {
		fleet.vms = append(fleet.vms, member)
	}
	fleet.mutex.Unlock()
	ctx, cancel := context.WithCancel(fleet.ctx)
	member.stop = cancel
	fleet.running.Go(func() { _ = member.Run(ctx) })
	fleet.running.Go(func() {
		for ctx.Err() == nil { // the heartbeats of the group
			member.SendClaims()
			select {
			case <-ctx.Done():
			case <-time.After(500 * time.Millisecond):
			}
		}
	})
}

var errTurnedAway = errors.New("connection reset")

// dial connects the VM to the store, unless it is turned away.
func (member *member) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if member.turnedAway.Load() {
		return nil, errTurnedAway
	}
	connection, err := member.link.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	member.mutex.Lock()
	defer member.mutex.Unlock()
	member.connections = append(member.connections, connection)
	return connection, nil
}

// turnAway resets the VM's connections to the store, and new ones until turnedAway is false.
func (member *member) turnAway() {
	member.turnedAway.Store(true)
	member.mutex.Lock()
	defer member.mutex.Unlock()
	for _, connection := range member.connections {
		_ = connection.Close()
	}
	member.connections = nil
}

// members returns the VMs that were started.
func (fleet *fleet) members() []*member {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return slices.Clone(fleet.vms)
}

// kill stops a VM without notice to the others.
func (fleet *fleet) kill(rank int) {
	member := fleet.members()[rank]
	member.down.Store(true)
	member.stop()
}

// changeConfiguration writes a configuration with count routes and checks that it comes
// into force on every VM within fleetMaxStaleness.
func (fleet *fleet) changeConfiguration(version uint64, count int) {
	fleet.t.Helper()
	fleet.putConfiguration(version, count)
	fleet.checkInForce(version)
}

// putConfiguration writes a configuration with count routes.
func (fleet *fleet) putConfiguration(version uint64, count int) {
	fleet.store.Put(platform.ConfigurationTable, "", "config", faker.EncodeConfiguration(newConfiguration(version, count)))
}

// checkInForce checks that the version comes into force on every running VM within
// fleetMaxStaleness from now.
func (fleet *fleet) checkInForce(version uint64) {
	fleet.t.Helper()
	changed := time.Now()
	time.Sleep(4 * fleetMaxStaleness)
	for _, member := range fleet.members() {
		if member.down.Load() {
			continue
		}
		member.mutex.Lock()
		inForce, ok := member.inForce[version]
		member.mutex.Unlock()
		switch {
		case !ok:
			fleet.t.Errorf("version %d is not in force on VM %d after %v", version, member.rank, 4*fleetMaxStaleness)
		case inForce.Sub(changed) > fleetMaxStaleness:
			fleet.t.Errorf("version %d is in force on VM %d after %v, must be within %v", version, member.rank, inForce.Sub(changed), fleetMaxStaleness)
		}
	}
}

// newConfiguration returns a configuration with count routes.
func newConfiguration(version uint64, count int) indexer.Configuration {
	configuration := indexer.Configuration{Version: version, Services: []indexer.Service{{Name: "s"}}}
	for i := range count {
		configuration.Routes = append(configuration.Routes, indexer.Route{
			Name: fmt.Sprintf("route-%d", i), Host: "a.example", Prefix: fmt.Sprintf("/prefix-%d/", i), Attempts: 2,
			Timeout: 2 * time.Second, LatencyObjective: time.Second, Shares: []indexer.Share{{Service: "s", Weight: 1}},
		})
	}
	return configuration
}

// answerBytes returns the bytes that a configuration with count routes takes in the
// store's answer.
func answerBytes(count int) int {
	return len(faker.EncodeConfiguration(newConfiguration(1, count))) * 4 / 3
}

// manyRoutes keeps the tests fast. The rates of the links are set in proportion to it.
const manyRoutes = 100

// changeOffsets are the delays between changes, so that they come at the start, in the
// middle and at the end of a poll.
var changeOffsets = []time.Duration{0, 700 * time.Millisecond, 1300 * time.Millisecond, 1700 * time.Millisecond}

// A transfer of 1.2 s, as for 3,000 routes over 10 Mbit/s, must not be aborted.
func TestTransferLongerThanCallTimeoutCompletes(t *testing.T) {
	runFleet(t, 1, answerBytes(manyRoutes)*10/12, func(fleet *fleet) {
		for i, offset := range changeOffsets {
			time.Sleep(offset)
			fleet.changeConfiguration(uint64(10+i), manyRoutes)
		}
	})
}

func TestStartReadsConfigurationLongerThanCallTimeout(t *testing.T) {
	runFleet(t, 1, answerBytes(manyRoutes)/2, func(fleet *fleet) {
		fleet.putConfiguration(10, manyRoutes)
		fleet.start(1, answerBytes(manyRoutes)/2)
		time.Sleep(5 * time.Second)
		if index := fleet.vms[1].Index(); index == nil || index.Version != 10 {
			t.Error("a VM has not read the configuration within 5 s after its start")
		}
	})
}

// The other VMs of a group must not wait until the first has received the whole answer:
// a transfer takes 2 s, so that two in sequence exceed the bound of 3 s.
func TestSlowTransfersStartAtOnceInTheGroup(t *testing.T) {
	runFleet(t, 6, answerBytes(manyRoutes)/2, func(fleet *fleet) {
		for i, offset := range changeOffsets {
			time.Sleep(offset)
			fleet.changeConfiguration(uint64(10+i), manyRoutes)
		}
	})
}

// The takeover from a killed VM that polled for the group must leave time for a transfer
// of 0.6 s, as for 1,400 routes over 10 Mbit/s.
func TestTakeoverAfterKillLeavesTimeForTransfer(t *testing.T) {
	for offset := time.Duration(0); offset < 2*time.Second; offset += 50 * time.Millisecond {
		runFleet(t, 6, answerBytes(manyRoutes)*10/6, func(fleet *fleet) {
			time.Sleep(offset)
			fleet.kill(0)
			fleet.changeConfiguration(10, manyRoutes)
		})
	}
}

// The store's changes since a version contain every configuration written meanwhile. VMs
// that missed several must still have the newest in force within the bound.
func TestMissedVersionsDoNotDelayTheNewest(t *testing.T) {
	runFleet(t, 2, answerBytes(manyRoutes)*10/6, func(fleet *fleet) {
		fleet.store.SetFaults(faker.Faults{Silent: true})
		time.Sleep(5 * time.Second)
		for version := range uint64(6) {
			fleet.putConfiguration(10+version, manyRoutes)
		}
		fleet.store.SetFaults(faker.Faults{})
		fleet.checkInForce(15)
	})
}
