package registrar_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/gateway/internal/registrar"
)

// joinAs joins a process of a VM to the fleet, and returns its registrar and the names of the members that it finds.
func joinAs(t *testing.T, shared *registrar.Registrar, member registrar.Member) (*registrar.Registrar, []string) {
	t.Helper()
	process := &registrar.Registrar{Store: shared.Store, Log: shared.Log}
	members, err := process.Join(context.Background(), member)
	is.New(t).NoErr(err)
	var names []string
	for _, other := range members.All {
		names = append(names, other.Name)
	}
	return process, names
}

// VMs that are replaced stop as planned. Their rows must not stay, as each VM that starts would count them as members that
// it can't reach, and leave their parts of all rates alone.
func TestReplacedVMsStayMembers(t *testing.T) {
	is := is.New(t)
	_, shared := newRegistrar(t)
	joinAs(t, shared, registrar.Member{Name: "stays", DataCentre: "d", Address: "127.0.0.1:1"})
	for _, name := range []string{"replaced-1", "replaced-2", "replaced-3"} {
		member := registrar.Member{Name: name, DataCentre: "d", Address: "127.0.0.1:2"}
		process, _ := joinAs(t, shared, member)
		is.NoErr(process.Announce(context.Background(), member))
		_, found := joinAs(t, shared, registrar.Member{Name: "stays", DataCentre: "d", Address: "127.0.0.1:1"})
		is.Equal(found, []string{name, "stays"}) // it may still serve
		is.NoErr(process.Deregister(context.Background(), member))
	}
	_, found := joinAs(t, shared, registrar.Member{Name: "starts", DataCentre: "d", Address: "127.0.0.1:3"})
	is.Equal(found, []string{"starts", "stays"})
}

// The store may perform a call late. The row of a VM that has started again meanwhile must stay: others would spend its part
// of all rates beside it.
func TestLateDeregistrationRemovesAVMThatHasStartedAgain(t *testing.T) {
	is := is.New(t)
	_, shared := newRegistrar(t)
	member := registrar.Member{Name: "vm", DataCentre: "d", Address: "127.0.0.1:1"}
	stopped, _ := joinAs(t, shared, member)
	is.NoErr(stopped.Announce(context.Background(), member))
	_, found := joinAs(t, shared, member)
	is.Equal(found, []string{"vm"})
	is.True(stopped.Deregister(context.Background(), member) != nil)
	_, found = joinAs(t, shared, registrar.Member{Name: "other", DataCentre: "d", Address: "127.0.0.1:2"})
	is.Equal(found, []string{"other", "vm"})
}

// A VM whose announcement the store may not have performed must not delete its row: its next start would not write it again.
func TestDeregistrationWithoutAnAnnouncement(t *testing.T) {
	is := is.New(t)
	store, shared := newRegistrar(t)
	member := registrar.Member{Name: "vm", DataCentre: "d", Address: "127.0.0.1:1"}
	process, _ := joinAs(t, shared, member)
	calls := store.Calls()
	is.True(process.Deregister(context.Background(), member) != nil)
	is.Equal(store.Calls(), calls)
}
