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
	"godwitramp.example/gateway/internal/tracker"
	"godwitramp.example/platform"
	"godwitramp.example/platform/faker"
)

// group is what a VM of the given rank tells its claims to.
type group struct {
	rank int
	// told hears the claims of from, unless it is nil.
	told *vm
	from atomic.Pointer[tracker.Tracker]
}

func (group *group) Rank() int { return group.rank }

func (group *group) Claim() {
	from := group.from.Load()
	if group.told == nil || from == nil {
		return
	}
	for _, claim := range from.Claims() {
		group.told.Hear(claim)
	}
}

// vm is a tracker and what it has found.
type vm struct {
	*tracker.Tracker
	mutex    sync.Mutex
	targets  map[string]placer.Target
	versions []uint64
}

const bound = time.Second

// start runs a tracker of a store at the address.
func start(t *testing.T, address string, group *group) *vm {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) }
	vm := &vm{}
	vm.Tracker = &tracker.Tracker{
		Store: &platform.Store{Address: address, Clock: clock}, Group: group, Clock: clock,
		ConfigurationBound: bound, TargetBound: bound, Log: logrus.NewEntry(log),
		OnConfiguration: vm.configured, OnTargets: vm.found,
	}
	vm.Open()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = vm.Run(ctx) })
	t.Cleanup(running.Wait)
	t.Cleanup(cancel)
	return vm
}

func (vm *vm) configured(index *indexer.Index) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	vm.versions = append(vm.versions, index.Version)
}

func (vm *vm) found(targets []placer.Target) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	vm.targets = make(map[string]placer.Target)
	for _, target := range targets {
		vm.targets[target.ID] = target
	}
}

// has reports whether exactly these targets are known.
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

// until waits for a condition. The limit only guards against hanging.
func until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	end := time.Now().Add(30 * time.Second)
	for !condition() {
		if time.Now().After(end) {
			t.Fatalf("never came true: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// fresh returns a store with a configuration and the given targets.
func fresh(t *testing.T, targets ...string) (*faker.Store, string) {
	t.Helper()
	store := &faker.Store{}
	configure(store, 4)
	for _, id := range targets {
		put(store, id, "ready")
	}
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return store, strings.TrimPrefix(server.URL, "http://")
}

func configure(store *faker.Store, version int) {
	store.Put(platform.ConfigurationTable, "", "config", fmt.Appendf(nil, `{"Version":"r%d","Resources":[]}`, version))
}

func put(store *faker.Store, id, state string) {
	store.Put(platform.TargetTable, "", id, fmt.Appendf(nil,
		`{"Service":"s","Address":"10.0.0.1:80","Zone":"z","Slots":4,"State":%q,"Sequence":1}`, state))
}

func TestFollowsTheStore(t *testing.T) {
	is := is.New(t)
	store, address := fresh(t, "a", "b")
	vm := start(t, address, &group{})
	until(t, "all is read", func() bool { return vm.Complete() && vm.has("a", "b") })
	configure(store, 9)
	put(store, "c", "ready")
	put(store, "b", "draining")
	store.Delete(platform.TargetTable, "", "a")
	until(t, "the changes are known", func() bool { return vm.version() == 9 && vm.has("b", "c") })
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	is.True(vm.targets["b"].Leaving)
}

// Versions never fall back, and what can't be read leaves the last good one in
// force, but no longer as the newest.
func TestBadConfigurationChangesNothing(t *testing.T) {
	is := is.New(t)
	store, address := fresh(t)
	vm := start(t, address, &group{})
	until(t, "the first is read", func() bool { return vm.version() == 4 })
	configure(store, 3)
	store.Put(platform.ConfigurationTable, "", "config", []byte(`{"Version":"r5","Resources":`))
	time.Sleep(2 * bound)
	is.Equal(vm.version(), uint64(4))
	asOf := vm.AsOf()
	time.Sleep(bound)
	is.Equal(vm.AsOf(), asOf)
	configure(store, 6)
	until(t, "the next good one is read", func() bool { return vm.version() == 6 && vm.AsOf() > asOf })
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	is.Equal(vm.versions, []uint64{4, 6})
}

// What follows a refused configuration must not make it count as mended.
func TestRefusedConfigurationIsNotTrustedAfterOtherRows(t *testing.T) {
	is := is.New(t)
	store, address := fresh(t)
	vm := start(t, address, &group{})
	until(t, "the first is read", func() bool { return vm.version() == 4 })
	store.Put(platform.ConfigurationTable, "", "config", []byte(`{"Version":"r5","Resources":`))
	time.Sleep(bound)
	asOf := vm.AsOf()
	store.Put(platform.ConfigurationTable, "", "note", []byte("of somebody else"))
	configure(store, 3)
	time.Sleep(2 * bound)
	is.Equal(vm.AsOf(), asOf)
	is.Equal(vm.version(), uint64(4))
	configure(store, 4) // written again
	until(t, "the present one is good", func() bool { return vm.AsOf() > asOf })
}

// An entry of another writer names no target; the others hold.
func TestForgedEntryNamesNoTarget(t *testing.T) {
	store, address := fresh(t, "a", "b")
	vm := start(t, address, &group{})
	until(t, "all is read", func() bool { return vm.has("a", "b") })
	store.Put(platform.TargetTable, "", "a", []byte("\xff\x00"))
	store.Put(platform.TargetTable, "", "x", []byte(`{"Service":7}`))
	put(store, "c", "ready")
	until(t, "only the forged ones are gone", func() bool { return vm.has("b", "c") })
}

// Rows can have gone while the history was forgotten.
func TestForgottenHistoryIsReadAnew(t *testing.T) {
	store, address := fresh(t, "a", "b")
	vm := start(t, address, &group{})
	until(t, "all is read", func() bool { return vm.has("a", "b") })
	store.SetFaults(faker.Faults{Refuse: http.StatusServiceUnavailable})
	store.Delete(platform.TargetTable, "", "b")
	configure(store, 7)
	store.ForgetHistory()
	store.SetFaults(faker.Faults{})
	until(t, "what is left is known", func() bool { return vm.has("a") && vm.version() == 7 })
}

// Entries that lapsed while the store was away may come back for two seconds.
func TestLapsedEntriesMayComeBack(t *testing.T) {
	is := is.New(t)
	store, address := fresh(t, "a", "b", "c")
	vm := start(t, address, &group{})
	until(t, "all is read", func() bool { return vm.has("a", "b", "c") })
	store.SetFaults(faker.Faults{Silent: true})
	time.Sleep(3 * bound)
	store.Delete(platform.TargetTable, "", "a")
	store.Delete(platform.TargetTable, "", "b")
	store.SetFaults(faker.Faults{})
	asOf := vm.AsOf()
	until(t, "the store is back", func() bool { return vm.AsOf() > asOf })
	is.True(vm.has("a", "b", "c"))
	put(store, "a", "ready")
	until(t, "the one that did not come back is gone", func() bool { return vm.has("a", "c") })
}

// A VM that hears claims makes no calls, is as fresh as they are, and learns of
// changes all the same.
func TestClaimsSpareCalls(t *testing.T) {
	is := is.New(t)
	store, address := fresh(t, "a")
	second := start(t, address, &group{rank: 1})
	until(t, "all is read", func() bool { return second.Complete() })
	group := &group{told: second}
	first := start(t, address, group)
	group.from.Store(first.Tracker)
	until(t, "all is read", func() bool { return first.Complete() })
	asOf := second.AsOf()
	until(t, "claims make the second VM fresh", func() bool { return second.AsOf() > asOf+bound })
	put(store, "b", "ready")
	until(t, "the second VM knows of the change", func() bool { return second.has("a", "b") })
	is.True(second.AsOf() > asOf)
}

// A VM that the store turns away learns of targets from its group, but must not
// serve keys on a configuration that it can't read.
func TestChangesArePassedOn(t *testing.T) {
	store, address := fresh(t, "a")
	turningAway, lonely := httptest.NewServer(store), &group{rank: 1}
	second := start(t, strings.TrimPrefix(turningAway.URL, "http://"), lonely)
	until(t, "all is read", func() bool { return second.Complete() })
	group := &group{told: second}
	first := start(t, address, group)
	group.from.Store(first.Tracker)
	until(t, "all is read", func() bool { return first.Complete() })
	turningAway.CloseClientConnections()
	turningAway.Close()
	until(t, "the second VM has lost the store", second.Lost)
	asOf := second.AsOf()
	put(store, "b", "ready")
	store.Delete(platform.TargetTable, "", "a")
	until(t, "the second VM knows of the changes", func() bool { return second.has("b") })
	until(t, "it is fresh", func() bool { return second.AsOf() > asOf+bound })
	configure(store, 8)
	until(t, "the first VM knows of the configuration", func() bool { return first.version() == 8 })
	asOf = second.AsOf()
	time.Sleep(bound)
	is.New(t).True(second.AsOf() <= asOf+bound/2)
}
