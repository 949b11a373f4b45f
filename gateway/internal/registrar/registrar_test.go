package registrar_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"godwitramp.example/gateway/internal/registrar"
	"godwitramp.example/platform"
	"godwitramp.example/platform/faker"
)

// newRegistrar returns a store and a registrar that calls it.
func newRegistrar(t *testing.T) (*faker.Store, *registrar.Registrar) {
	t.Helper()
	store := &faker.Store{}
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	startTime := time.Now()
	client := &platform.Store{
		Address: strings.TrimPrefix(server.URL, "http://"), Clock: func() time.Duration { return time.Since(startTime) },
	}
	return store, &registrar.Registrar{Store: client, Log: logrus.NewEntry(log)}
}

// VMs that join concurrently must not miss each other: of any two, at least one finds
// the other. All must get the same key.
func TestVMsFindEachOther(t *testing.T) {
	is := is.New(t)
	_, vmRegistrar := newRegistrar(t)
	const vms = 12
	found := make([]registrar.Members, vms)
	var group sync.WaitGroup
	for i := range vms {
		group.Go(func() {
			members, err := vmRegistrar.Join(context.Background(), registrar.Member{Name: fmt.Sprint("vm-", i), DataCentre: "d", Address: "127.0.0.1:1"})
			if err != nil {
				t.Error(err)
			}
			found[i] = members
		})
	}
	group.Wait()
	finds := func(i, j int) bool {
		for _, member := range found[i].All {
			if member.Name == fmt.Sprint("vm-", j) {
				return true
			}
		}
		return false
	}
	for i := range vms {
		is.Equal(found[i].Key, found[0].Key)
		for j := range vms {
			is.True(finds(i, j) || finds(j, i))
		}
	}
}

// A restart with an unchanged address must not need a write.
func TestRestartJoinsWithOneCall(t *testing.T) {
	is := is.New(t)
	store, vmRegistrar := newRegistrar(t)
	member := registrar.Member{Name: "vm", DataCentre: "d", Address: "127.0.0.1:1"}
	_, err := vmRegistrar.Join(context.Background(), member)
	is.NoErr(err)
	calls := store.Calls()
	members, err := vmRegistrar.Join(context.Background(), member)
	is.NoErr(err)
	is.Equal(store.Calls(), calls+1)
	is.Equal(members.All, []registrar.Member{member})
	member.Address = "127.0.0.1:2"
	members, err = vmRegistrar.Join(context.Background(), member)
	is.NoErr(err)
	is.Equal(members.All, []registrar.Member{member})
}

func TestJoinRetriesUntilStoreAnswers(t *testing.T) {
	is := is.New(t)
	store, vmRegistrar := newRegistrar(t)
	store.SetFaults(faker.Faults{LoseAnswers: true})
	joined := make(chan registrar.Members)
	go func() {
		members, err := vmRegistrar.Join(context.Background(), registrar.Member{Name: "vm", DataCentre: "d", Address: "127.0.0.1:1"})
		if err != nil {
			t.Error(err)
		}
		joined <- members
	}()
	for store.Calls() < 2 {
		time.Sleep(time.Millisecond)
	}
	store.SetFaults(faker.Faults{Refuse: http.StatusServiceUnavailable})
	for store.Calls() < 3 {
		time.Sleep(time.Millisecond)
	}
	store.SetFaults(faker.Faults{})
	members := <-joined
	is.Equal(len(members.All), 1)
}

func TestJoinEndsWithTheContext(t *testing.T) {
	is := is.New(t)
	store, vmRegistrar := newRegistrar(t)
	store.SetFaults(faker.Faults{Refuse: http.StatusServiceUnavailable})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := vmRegistrar.Join(ctx, registrar.Member{Name: "vm"})
	is.True(err != nil)
}
