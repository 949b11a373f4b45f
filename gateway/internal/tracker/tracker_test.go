package tracker_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
	"godwitramp.example/core/verifier"
	"godwitramp.example/gateway/internal/tracker"
	"godwitramp.example/platform"
	"godwitramp.example/platform/faker"
)

// group delivers the claims of one VM to at most one peer.
type group struct {
	rank int
	// peer receives the claims of tracker, unless it is nil.
	peer    *vm
	tracker atomic.Pointer[tracker.Tracker]
}

func (group *group) Rank() int { return group.rank }

// AskFleet reports that no other VM is known, as those of the group are no VMs of the fleet's data centres.
func (group *group) AskFleet(bool) (verifier.Asked, bool) {
	return verifier.Asked{Alone: true, Far: true}, true
}

func (group *group) FirstInGroup() bool { return true }

func (group *group) SendClaims() {
	sender := group.tracker.Load()
	if group.peer == nil || sender == nil {
		return
	}
	for _, claim := range sender.Claims() {
		group.peer.HandleClaim(claim)
	}
}

// vm is a tracker and the targets and versions that it has reported.
type vm struct {
	*tracker.Tracker
	mutex    sync.Mutex
	targets  map[string]placer.Target
	versions []uint64
}

const maxStaleness = time.Second

// start runs a tracker of the store at the address.
func start(t *testing.T, address string, group *group) *vm {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	startTime := time.Now()
	clock := func() time.Duration { return time.Since(startTime) }
	vm := &vm{}
	vm.Tracker = &tracker.Tracker{
		Store: &platform.Store{Address: address, Clock: clock}, Group: group, Clock: clock,
		MaxConfigurationStaleness: maxStaleness, MaxTargetStaleness: maxStaleness, Regions: map[string]string{"n": "north"}, Log: logrus.NewEntry(log),
		OnConfiguration: vm.addVersion, OnTargets: vm.setTargets,
	}
	vm.Open()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = vm.Run(ctx) })
	t.Cleanup(running.Wait)
	t.Cleanup(cancel)
	return vm
}

func (vm *vm) addVersion(index *indexer.Index) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	vm.versions = append(vm.versions, index.Version)
}

func (vm *vm) setTargets(targets []placer.Target) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	vm.targets = make(map[string]placer.Target)
	for _, target := range targets {
		vm.targets[target.ID] = target
	}
}

// has reports whether the VM has exactly these targets.
func (vm *vm) has(ids ...string) bool {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	if vm.targets == nil || len(vm.targets) != len(ids) {
		return false
	}
	for _, id := range ids {
		if _, ok := vm.targets[id]; !ok {
			return false
		}
	}
	return true
}

func (vm *vm) version() uint64 {
	if index := vm.Index(); index != nil {
		return index.Version
	}
	return 0
}

// waitUntil waits for a condition. The timeout only keeps a failing test from hanging.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	end := time.Now().Add(30 * time.Second)
	for !condition() {
		if time.Now().After(end) {
			t.Fatalf("timed out after 30 s: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// newStore returns a running store with a configuration and the given targets, and its
// address.
func newStore(t *testing.T, targets ...string) (*faker.Store, string) {
	t.Helper()
	store := &faker.Store{}
	configure(store, 4)
	for _, id := range targets {
		putTarget(store, id, "ready")
	}
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return store, strings.TrimPrefix(server.URL, "http://")
}

func configure(store *faker.Store, version int) {
	store.Put(platform.ConfigurationTable, "", "config", fmt.Appendf(nil, `{"Version":"r%d","Resources":[]}`, version))
}

func putTarget(store *faker.Store, id, state string) {
	store.Put(platform.TargetTable, "", id, fmt.Appendf(nil,
		`{"Service":"s","Address":"10.0.0.1:80","Zone":"z","Version":"v1","WarmupRemaining":"0ms","Slots":4,"State":%q,"Sequence":1}`, state))
}

func TestStoreChangesAreApplied(t *testing.T) {
	is := is.New(t)
	store, address := newStore(t, "a", "b")
	vm := start(t, address, &group{})
	waitUntil(t, "configuration and targets are read", func() bool { return vm.Complete() && vm.has("a", "b") })
	configure(store, 9)
	putTarget(store, "c", "ready")
	putTarget(store, "b", "draining")
	store.Delete(platform.TargetTable, "", "a")
	waitUntil(t, "the VM has the changes", func() bool { return vm.version() == 9 && vm.has("b", "c") })
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	is.True(vm.targets["b"].Leaving)
}

// An older or malformed configuration must not replace the last good one. After a
// malformed one, the last good one no longer counts as the newest.
func TestInvalidConfigurationKeepsLastGoodOne(t *testing.T) {
	is := is.New(t)
	store, address := newStore(t)
	vm := start(t, address, &group{})
	waitUntil(t, "the first configuration is read", func() bool { return vm.version() == 4 })
	configure(store, 3)
	store.Put(platform.ConfigurationTable, "", "config", []byte(`{"Version":"r5","Resources":`))
	time.Sleep(2 * maxStaleness)
	is.Equal(vm.version(), uint64(4))
	asOf := vm.AsOf()
	time.Sleep(maxStaleness)
	is.Equal(vm.AsOf(), asOf)
	configure(store, 6)
	waitUntil(t, "the next valid configuration is read", func() bool { return vm.version() == 6 && vm.AsOf() > asOf })
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	is.Equal(vm.versions, []uint64{4, 6})
}

// A configuration that names a home region which the fleet doesn't have must not come into force, not even in part.
func TestUnknownHomeRegionKeepsLastGoodOne(t *testing.T) {
	is := is.New(t)
	store, address := newStore(t)
	vm := start(t, address, &group{})
	waitUntil(t, "the first configuration is read", func() bool { return vm.version() == 4 })
	put := func(version int, region string) {
		store.Put(platform.ConfigurationTable, "", "config", fmt.Appendf(nil, `{"Version":"r%d","Resources":[
			{"ResourceKind":"Tenants","Metadata":{"Name":"crews"},"Specification":{"ApiKeys":["k"],"HomeRegions":[%q]}}]}`, version, region))
	}
	put(5, "nort")
	time.Sleep(2 * maxStaleness)
	is.Equal(vm.version(), uint64(4))
	asOf := vm.AsOf()
	time.Sleep(maxStaleness)
	is.Equal(vm.AsOf(), asOf)
	put(6, "north")
	waitUntil(t, "the next valid configuration is read", func() bool { return vm.version() == 6 && vm.AsOf() > asOf })
}

// After an invalid configuration, other rows and older versions must not make the last
// good one count as the newest again.
func TestOtherRowsDoNotClearARefusedConfiguration(t *testing.T) {
	is := is.New(t)
	store, address := newStore(t)
	vm := start(t, address, &group{})
	waitUntil(t, "the first configuration is read", func() bool { return vm.version() == 4 })
	store.Put(platform.ConfigurationTable, "", "config", []byte(`{"Version":"r5","Resources":`))
	time.Sleep(maxStaleness)
	asOf := vm.AsOf()
	store.Put(platform.ConfigurationTable, "", "note", []byte("of somebody else"))
	configure(store, 3)
	time.Sleep(2 * maxStaleness)
	is.Equal(vm.AsOf(), asOf)
	is.Equal(vm.version(), uint64(4))
	configure(store, 4) // written again
	waitUntil(t, "the rewritten configuration counts as the newest", func() bool { return vm.AsOf() > asOf })
}

// If another writer overwrites a target's entry with garbage, only that target must be
// removed.
func TestForgedEntryRemovesOnlyItsTarget(t *testing.T) {
	store, address := newStore(t, "a", "b")
	vm := start(t, address, &group{})
	waitUntil(t, "configuration and targets are read", func() bool { return vm.has("a", "b") })
	store.Put(platform.TargetTable, "", "a", []byte("\xff\x00"))
	store.Put(platform.TargetTable, "", "x", []byte(`{"Service":7}`))
	putTarget(store, "c", "ready")
	waitUntil(t, "only the forged entry's target is gone", func() bool { return vm.has("b", "c") })
}

// Entries of another writer that can hardly be read must disturb neither the reading of the whole
// list at the start, nor that of changes, nor claims of peers.
func TestOddEntriesDisturbNoOthers(t *testing.T) {
	odd := map[string]string{
		"deep":     `{"Service":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
		"unclosed": `{"Service":` + strings.Repeat(`{"a":`, 8_000),
		"number":   `{"Service":"s","Address":"10.0.0.1:80","Zone":"z","Version":"v1","WarmupRemaining":"0ms","Slots":1e999,"State":"ready","Sequence":1}`,
		"port":     `{"Service":"s","Address":"10.0.0.1:99999","Zone":"z","Version":"v1","WarmupRemaining":"0ms","Slots":4,"State":"ready","Sequence":1}`,
		"no-port":  `{"Service":"s","Address":"10.0.0.1:0","Zone":"z","Version":"v1","WarmupRemaining":"0ms","Slots":4,"State":"ready","Sequence":1}`,
	}
	store, address := newStore(t, "a")
	for id, value := range odd {
		store.Put(platform.TargetTable, "", id, []byte(value))
	}
	vm := start(t, address, &group{})
	waitUntil(t, "the whole list is read", func() bool { return vm.has("a") })
	for id, value := range odd {
		store.Put(platform.TargetTable, "", "later-"+id, []byte(value))
	}
	putTarget(store, "b", "ready")
	waitUntil(t, "changes are read", func() bool { return vm.has("a", "b") })
	var rows []platform.Row
	version := uint64(1000)
	for id, value := range odd {
		version++
		rows = append(rows, platform.Row{Table: platform.TargetTable, Key: "claimed-" + id, Value: []byte(value), Version: version})
	}
	vm.HandleClaim(tracker.Claim{Table: platform.TargetTable, Version: version, Rows: rows})
	putTarget(store, "c", "ready")
	waitUntil(t, "changes after the claim are read", func() bool { return vm.has("a", "b", "c") })
}

// Rows may be deleted and their history lost while the VM is cut off. Without a full read
// the VM would keep the rows.
func TestMissingHistoryCausesFullRead(t *testing.T) {
	store, address := newStore(t, "a", "b")
	vm := start(t, address, &group{})
	waitUntil(t, "configuration and targets are read", func() bool { return vm.has("a", "b") })
	store.SetFaults(faker.Faults{Refuse: http.StatusServiceUnavailable})
	store.Delete(platform.TargetTable, "", "b")
	configure(store, 7)
	store.ForgetHistory()
	store.SetFaults(faker.Faults{})
	waitUntil(t, "the VM has the remaining rows", func() bool { return vm.has("a") && vm.version() == 7 })
}

// Targets whose entries expired during an outage of the store must be kept for two
// seconds, so that they can renew the entries.
func TestLapsedEntriesHaveAGracePeriod(t *testing.T) {
	is := is.New(t)
	store, address := newStore(t, "a", "b", "c")
	vm := start(t, address, &group{})
	waitUntil(t, "configuration and targets are read", func() bool { return vm.has("a", "b", "c") })
	store.SetFaults(faker.Faults{Silent: true})
	time.Sleep(3 * maxStaleness)
	store.Delete(platform.TargetTable, "", "a")
	store.Delete(platform.TargetTable, "", "b")
	store.SetFaults(faker.Faults{})
	asOf := vm.AsOf()
	waitUntil(t, "the VM is fresh after the outage", func() bool { return vm.AsOf() > asOf })
	is.True(vm.has("a", "b", "c"))
	putTarget(store, "a", "ready")
	waitUntil(t, "the target whose entry was not renewed is gone", func() bool { return vm.has("a", "c") })
}

// A VM that relies on a peer's claims instead of calls must be as fresh as they are and
// must get changes.
func TestClaimsKeepVMFresh(t *testing.T) {
	is := is.New(t)
	store, address := newStore(t, "a")
	second := start(t, address, &group{rank: 1})
	waitUntil(t, "configuration and targets are read", func() bool { return second.Complete() })
	group := &group{peer: second}
	first := start(t, address, group)
	group.tracker.Store(first.Tracker)
	waitUntil(t, "configuration and targets are read", func() bool { return first.Complete() })
	asOf := second.AsOf()
	waitUntil(t, "claims keep the second VM fresh", func() bool { return second.AsOf() > asOf+maxStaleness })
	putTarget(store, "b", "ready")
	waitUntil(t, "the second VM has the change", func() bool { return second.has("a", "b") })
	is.True(second.AsOf() > asOf)
}

// A VM that the store rejects gets changes of targets from its group, but must not count
// as fresh after a change of the configuration that it can't read.
func TestTargetChangesAreRelayed(t *testing.T) {
	store, address := newStore(t, "a")
	secondServer, noPeer := httptest.NewServer(store), &group{rank: 1}
	second := start(t, strings.TrimPrefix(secondServer.URL, "http://"), noPeer)
	waitUntil(t, "configuration and targets are read", func() bool { return second.Complete() })
	group := &group{peer: second}
	first := start(t, address, group)
	group.tracker.Store(first.Tracker)
	waitUntil(t, "configuration and targets are read", func() bool { return first.Complete() })
	secondServer.CloseClientConnections()
	secondServer.Close()
	waitUntil(t, "the second VM cannot reach the store", second.AnyTableUnreachable)
	asOf := second.AsOf()
	putTarget(store, "b", "ready")
	store.Delete(platform.TargetTable, "", "a")
	waitUntil(t, "the second VM has the changes", func() bool { return second.has("b") })
	waitUntil(t, "the second VM is fresh", func() bool { return second.AsOf() > asOf+maxStaleness })
	configure(store, 8)
	waitUntil(t, "the first VM has the configuration", func() bool { return first.version() == 8 })
	asOf = second.AsOf()
	time.Sleep(maxStaleness)
	is.New(t).True(second.AsOf() <= asOf+maxStaleness/2)
}

// Claims and answers are handled by several goroutines: the time up to which the
// configuration is known must not fall back when they finish out of order.
func TestAsOfNeverFallsBack(t *testing.T) {
	is := is.New(t)
	_, address := newStore(t, "a")
	vm := start(t, address, &group{rank: 1})
	waitUntil(t, "configuration and targets are read", func() bool { return vm.Complete() })
	base := vm.Claims()
	var storeTime atomic.Int64
	for _, claim := range base {
		storeTime.Store(max(storeTime.Load(), int64(claim.StoreTime)))
	}
	done := make(chan struct{})
	fellBack := make(chan bool)
	go func() {
		fell := false
		for last := vm.AsOf(); ; {
			now := vm.AsOf()
			fell = fell || now < last
			last = now
			select {
			case <-done:
				fellBack <- fell
				return
			default:
			}
		}
	}()
	var senders sync.WaitGroup
	for range 8 {
		senders.Go(func() {
			for range 3000 {
				vm.HandleClaim(tracker.Claim{Table: platform.ConfigurationTable, StoreTime: time.Duration(storeTime.Add(1000))})
			}
		})
	}
	senders.Wait()
	close(done)
	is.True(!<-fellBack)
}
