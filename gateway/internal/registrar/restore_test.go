package registrar_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

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
