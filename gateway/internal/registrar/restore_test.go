package registrar_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/gateway/internal/registrar"
	"godwitramp.example/platform"
	"godwitramp.example/platform/faker"
)

// restoredOnce restores the store after the first commit.
type restoredOnce struct {
	registrar.Store
	store    *faker.Store
	snapshot faker.Snapshot
	once     sync.Once
}

func (store *restoredOnce) Commit(ctx context.Context, transaction platform.Transaction) error {
	err := store.Store.Commit(ctx, transaction)
	store.once.Do(func() { store.store.Restore(store.snapshot) })
	return err
}

func vm(i int) registrar.Member {
	return registrar.Member{Name: fmt.Sprint("vm-", i), DataCentre: "d", Address: fmt.Sprint("127.0.0.1:", i+1)}
}

func join(t *testing.T, shared *registrar.Registrar, member registrar.Member) registrar.Members {
	t.Helper()
	members, err := (&registrar.Registrar{Store: shared.Store, Log: shared.Log}).Join(context.Background(), member)
	if err != nil {
		t.Fatal(err)
	}
	return members
}

// A restore between the writing of a VM's row and the reading of the others must not leave
// the VM out of the table.
func TestRowUndoneWhileJoining(t *testing.T) {
	is := is.New(t)
	store, shared := newRegistrar(t)
	shared.Store = &restoredOnce{Store: shared.Store, store: store, snapshot: store.Snapshot()}
	shared.FirstStart = true
	members, err := shared.Join(context.Background(), vm(0))
	is.NoErr(err)
	is.Equal(members.All, []registrar.Member{vm(0)})
	is.True(store.Row("vms", "", "vm/vm-0") != nil)
}

// Of a copy with half of the rows, the first VM of a group that comes must write all rows of
// its group and the key again; those that come later need one call.
func TestRowsOfTheGroupAreWrittenAgain(t *testing.T) {
	is := is.New(t)
	store, shared := newRegistrar(t)
	const vms = 6
	snapshot := store.Snapshot()
	var all []registrar.Member
	var key []byte
	for i := range vms {
		if i == vms/2 {
			store.Delete("vms", "", "key")
			snapshot = store.Snapshot()
			store.Put("vms", "", "key", key)
		}
		key = join(t, shared, vm(i)).Key
		all = append(all, vm(i))
	}
	store.Restore(snapshot)
	for i := range vms {
		calls := store.Calls()
		members, err := shared.Verify(context.Background(), vm(i), key, all)
		is.NoErr(err)
		is.Equal(members, registrar.Members{Era: 2, Key: key, All: all})
		is.Equal(store.Calls()-calls, map[bool]int{true: 3, false: 1}[i == 0])
	}
}

// A VM that has changed its address since the copy must correct its own row, and nobody else
// may.
func TestCopyHasAnEarlierAddress(t *testing.T) {
	is := is.New(t)
	store, shared := newRegistrar(t)
	key := join(t, shared, vm(0)).Key
	snapshot := store.Snapshot()
	moved := vm(0)
	moved.Address = "127.0.0.1:99"
	join(t, shared, moved)
	join(t, shared, vm(1))
	store.Restore(snapshot)
	members, err := shared.Verify(context.Background(), vm(1), key, []registrar.Member{moved})
	is.NoErr(err)
	is.Equal(members.All, []registrar.Member{vm(0), vm(1)})
	members, err = shared.Verify(context.Background(), moved, key, []registrar.Member{vm(1)})
	is.NoErr(err)
	is.Equal(members.All, []registrar.Member{moved, vm(1)})
}

// VMs that verify their rows at the same moment, while answers are lost and the store refuses
// calls, must end with one key and all rows.
func TestVerifyingThroughLostAnswersAndRefusals(t *testing.T) {
	is := is.New(t)
	store, shared := newRegistrar(t)
	snapshot := store.Snapshot()
	const vms = 8
	var all []registrar.Member
	for i := range vms {
		join(t, shared, vm(i))
		all = append(all, vm(i))
	}
	store.Restore(snapshot)
	store.SetFaults(faker.Faults{LoseAnswers: true})
	found := make([]registrar.Members, vms)
	var group sync.WaitGroup
	for i := range vms {
		group.Go(func() {
			key := bytes.Repeat([]byte{byte(i)}, 32) // as if there had been as many fleets
			for attempt := 0; ; attempt++ {
				members, err := shared.Verify(context.Background(), vm(i), key, all)
				if found[i] = members; err == nil {
					return
				}
				time.Sleep(time.Millisecond)
				if attempt == 1 {
					store.SetFaults(faker.Faults{Refuse: http.StatusServiceUnavailable})
				}
				if attempt == 3 {
					store.SetFaults(faker.Faults{})
				}
			}
		})
	}
	group.Wait()
	for i := range vms {
		is.Equal(found[i].Key, store.Row("vms", "", "key"))
		is.Equal(found[i].All, all)
	}
}

// Two VMs of which one starts after the restore and the other was up must find each other,
// and use the key that the fleet had.
func TestStartWhileTheCopyLacksTheFleet(t *testing.T) {
	is := is.New(t)
	store, shared := newRegistrar(t)
	snapshot := store.Snapshot()
	key := join(t, shared, vm(0)).Key
	store.Restore(snapshot)
	started := make(chan registrar.Members)
	go func() { started <- join(t, shared, vm(1)) }()
	for store.Row("vms", "", "vm/vm-1") == nil {
		time.Sleep(time.Millisecond)
	}
	members, err := shared.Verify(context.Background(), vm(0), key, nil)
	for err != nil { // the other may have written at the same moment
		members, err = shared.Verify(context.Background(), vm(0), key, nil)
	}
	is.Equal(members.All, []registrar.Member{vm(0), vm(1)})
	is.Equal(<-started, registrar.Members{Era: 2, Key: key, All: members.All})
	calls := store.Calls()
	join(t, shared, vm(1)) // a restart in the same era doesn't wait again
	is.Equal(store.Calls(), calls+1)
}

// A row of another writer that can't be read must not keep the VMs of its group from writing
// theirs again.
func TestMalformedRowsDoNotBlockTheOthers(t *testing.T) {
	is := is.New(t)
	store, shared := newRegistrar(t)
	members := join(t, shared, vm(0))
	store.Put("vms", "", "vm/vm-1", []byte("{"))
	snapshot := store.Snapshot()
	store.Restore(snapshot)
	store.Delete("vms", "", "vm/vm-0")
	found, err := shared.Verify(context.Background(), vm(0), members.Key, []registrar.Member{vm(1), vm(2)})
	is.NoErr(err)
	is.Equal(len(found.All), 2) // vm-0 and vm-2
	is.Equal(string(store.Row("vms", "", "vm/vm-1")), "{")
	_, err = shared.Verify(context.Background(), vm(1), members.Key, nil)
	is.NoErr(err)
	is.True(string(store.Row("vms", "", "vm/vm-1")) != "{") // the VM's own
}
