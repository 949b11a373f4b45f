package starter_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// logged keeps the events that a VM logs, with the peer or the number of peers.
type logged struct {
	mutex  sync.Mutex
	events []string
}

func (logged *logged) Levels() []logrus.Level { return logrus.AllLevels }

func (logged *logged) Fire(entry *logrus.Entry) error {
	event := entry.Message
	for _, field := range []string{"peer", "peers"} {
		if value, ok := entry.Data[field]; ok {
			event += fmt.Sprint(" ", value)
		}
	}
	logged.mutex.Lock()
	defer logged.mutex.Unlock()
	logged.events = append(logged.events, event)
	return nil
}

func (logged *logged) has(event string) bool {
	logged.mutex.Lock()
	defer logged.mutex.Unlock()
	for _, other := range logged.events {
		if other == event {
			return true
		}
	}
	return false
}

func (fleet *fleet) row(key string) []byte { return fleet.store.Row("vms", "", key) }

// A restore to a copy from before the first start must not leave the table without the VMs'
// rows, nor without their key.
func TestRowsAndKeyMissingAfterRestore(t *testing.T) {
	is := is.New(t)
	fleet := start(t, 0)
	snapshot := fleet.store.Snapshot()
	for i := range 3 {
		fleet.run(fmt.Sprint("vm-", i))
	}
	key := fleet.row("key")
	for range 2 {
		fleet.store.Restore(snapshot)
		for i := range 3 {
			fleet.waitUntil("the VM's row is back", func() bool { return fleet.row(fmt.Sprint("vm/vm-", i)) != nil })
		}
		fleet.waitUntil("the key is back", func() bool { return fleet.row("key") != nil })
		is.Equal(fleet.row("key"), key)
	}
}

// If the copy has another key, VMs that were up must hear those that start with it, and must
// go on to hear each other.
func TestFleetInTwoPartsAfterRestoreWithAnotherKey(t *testing.T) {
	is := is.New(t)
	fleet := start(t, 0)
	other := bytes.Repeat([]byte{7}, 32)
	fleet.store.Put("vms", "", "key", other)
	snapshot := fleet.store.Snapshot()
	fleet.store.Delete("vms", "", "key")
	fleet.run("vm-0")
	fleet.run("vm-1")
	is.True(!bytes.Equal(fleet.row("key"), other))
	fleet.store.Restore(snapshot)
	fleet.run("vm-2")
	heardSince := time.Now()
	fleet.waitUntil("for twice the time of silence, all hear all", func() bool {
		for _, vm := range fleet.vms {
			if share := vm.starter.Share(); share.VMs != 3 || share.Reachable < 1 {
				heardSince = time.Now()
			}
		}
		return time.Since(heardSince) > 3500*time.Millisecond
	})
	for _, vm := range fleet.vms[:2] {
		is.True(!vm.logged.has("peer-silent vm-0"))
		is.True(!vm.logged.has("peer-silent vm-1"))
	}
	is.Equal(fleet.row("key"), other)
}

// A VM that starts while the copy lacks the others must not take itself for the whole fleet:
// it would spend all of the rates.
func TestVMStartedAfterRestoreKnowsOnlyTheCopy(t *testing.T) {
	fleet := start(t, 0)
	snapshot := fleet.store.Snapshot()
	fleet.run("vm-0")
	fleet.run("vm-1")
	fleet.store.Restore(snapshot)
	fleet.run("vm-2")
	fleet.waitUntil("the VM joins with all others", func() bool { return fleet.vms[2].logged.has("joined 3") })
}

// A VM that waits to join after a restore hears nothing of what the copy lacks: it must not serve a key that was
// withdrawn since the copy.
func TestVMThatWaitsToJoinServesAWithdrawnKeyOfTheCopy(t *testing.T) {
	is := is.New(t)
	fleet := start(t, 1)
	snapshot := fleet.store.Snapshot()
	fleet.configure(2, "other")
	fleet.waitUntil("the withdrawn key is rejected", func() bool { return fleet.vms[0].status(t, "key") == http.StatusUnauthorized })
	fleet.store.Restore(snapshot)
	vm := fleet.launch("vm-1")
	fleet.waitUntil("the VM listens", func() bool {
		connection, err := net.Dial("tcp", vm.settings.Callers)
		if err == nil {
			_ = connection.Close()
		}
		return err == nil
	})
	for !vm.logged.has("joined 2") {
		is.Equal(vm.status(t, "key"), http.StatusServiceUnavailable)
		is.Equal(vm.status(t, "unknown"), http.StatusServiceUnavailable) // the copy may lack it
	}
	fleet.configure(2, "other")
	fleet.waitUntil("the VM serves", func() bool { return vm.ready() && vm.status(t, "other") == http.StatusOK })
	is.Equal(vm.status(t, "key"), http.StatusUnauthorized)
}

// A VM that the store turned away until it came back from a copy must not accept a key that was withdrawn meanwhile,
// though no VM of its data centre knows of that.
func TestVMAloneInItsDataCentreServesAWithdrawnKeyOfTheCopy(t *testing.T) {
	is := is.New(t)
	fleet := start(t, 1)
	var turnedAway atomic.Bool
	store := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if turnedAway.Load() {
			panic(http.ErrAbortHandler)
		}
		fleet.store.ServeHTTP(writer, request)
	}))
	t.Cleanup(store.Close)
	t.Cleanup(store.CloseClientConnections)
	vm := fleet.launchIn("vm-1", "e", strings.TrimPrefix(store.URL, "http://"))
	fleet.waitUntil("the VM serves", func() bool { return vm.ready() && vm.status(t, "key") == http.StatusOK })
	snapshot := fleet.store.Snapshot()
	turnedAway.Store(true)
	store.CloseClientConnections()
	fleet.configure(2, "other")
	fleet.waitUntil("the withdrawn key is rejected", func() bool { return fleet.vms[0].status(t, "key") == http.StatusUnauthorized })
	fleet.waitUntil("the VM's configuration is too old", func() bool { return vm.status(t, "key") == http.StatusServiceUnavailable })
	fleet.store.Restore(snapshot)
	turnedAway.Store(false)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		is.Equal(vm.status(t, "key"), http.StatusServiceUnavailable)
	}
	fleet.configure(2, "other")
	fleet.waitUntil("the VM serves again", func() bool { return vm.status(t, "other") == http.StatusOK })
	is.Equal(vm.status(t, "key"), http.StatusUnauthorized)
}
