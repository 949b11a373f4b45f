package tracker_test

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
	"godwitramp.example/gateway/internal/tracker"
	"godwitramp.example/platform"
	"godwitramp.example/platform/faker"
)

// laggingStore answers with the version that the test sets and the present time, like a
// lagging replica.
type laggingStore struct {
	mutex       sync.Mutex
	startTime   time.Time
	version     uint64
	historyGone bool
	calls       int
}

// set sets the version and whether the next Watch fails with ErrHistoryGone, and resets
// the number of calls.
func (store *laggingStore) set(version uint64, historyGone bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.version, store.historyGone, store.calls = version, historyGone, 0
}

func (store *laggingStore) callCount() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.calls
}

func (store *laggingStore) answer(after uint64) platform.Reading {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.calls++
	reading := platform.Reading{Version: store.version, AsOf: time.Since(store.startTime), StoreTime: time.Since(store.startTime)}
	if store.version > after {
		reading.Rows = []platform.Row{{
			Table: platform.ConfigurationTable, Key: platform.ConfigurationKey, Version: store.version,
			Value: faker.EncodeConfiguration(indexer.Configuration{Version: store.version}),
		}}
	}
	return reading
}

func (store *laggingStore) Read(context.Context, string, string, func()) (platform.Reading, error) {
	time.Sleep(4 * time.Millisecond)
	return store.answer(0), nil
}

func (store *laggingStore) Watch(ctx context.Context, _ string, after uint64, wait time.Duration, _ func()) (platform.Reading, error) {
	store.mutex.Lock()
	historyGone := store.historyGone
	store.historyGone = false
	store.mutex.Unlock()
	if historyGone {
		return platform.Reading{}, platform.ErrHistoryGone
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return store.answer(after), nil
}

func (store *laggingStore) Era() uint64 { return 0 }

func (store *laggingStore) LocalTime(storeTime time.Duration) (time.Duration, bool) {
	return storeTime, true
}

// Answers that are older than the VM's data must not count as fresh, and must not make
// the VM poll in a tight loop.
func TestStaleAnswersAreIgnoredWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &laggingStore{startTime: time.Now(), version: 50}
		log := logrus.New()
		log.SetOutput(io.Discard)
		clock := func() time.Duration { return time.Since(store.startTime) }
		vm := &tracker.Tracker{
			Store: store, Group: &group{}, Clock: clock, MaxConfigurationStaleness: fleetMaxStaleness, MaxTargetStaleness: fleetMaxStaleness,
			Log: logrus.NewEntry(log), OnConfiguration: func(*indexer.Index) {}, OnTargets: func([]placer.Target) {},
		}
		vm.Open()
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { _ = vm.Run(ctx) })
		defer running.Wait()
		defer cancel()
		time.Sleep(10 * time.Second)
		is.Equal(vm.Index().Version, uint64(50))

		store.set(40, true) // the history is gone and reads are stale
		time.Sleep(2 * time.Second)
		asOf := vm.AsOf()
		time.Sleep(4 * time.Second)
		is.Equal(vm.Index().Version, uint64(50))
		is.Equal(vm.AsOf(), asOf)
		is.True(store.callCount() < 60) // for two tables in 6 s

		store.set(60, false)
		time.Sleep(2 * time.Second)
		is.Equal(vm.Index().Version, uint64(60))

		// A peer claims a change that this VM's reads don't return yet.
		vm.HandleClaim(tracker.Claim{Table: platform.ConfigurationTable, Version: 70, StoreTime: clock()})
		store.set(65, false)
		time.Sleep(6 * time.Second)
		is.True(vm.Behind())
		is.True(store.callCount() < 60)
		store.set(70, false)
		time.Sleep(2 * time.Second)
		is.True(!vm.Behind())
		is.Equal(vm.Index().Version, uint64(70))
	})
}

// endedStore is a laggingStore that can be made to answer in eras, and with answers of an ended
// era.
type endedStore struct {
	laggingStore
	era, answers atomic.Uint64
	ended        atomic.Bool
}

func (store *endedStore) Era() uint64 { return store.era.Load() }

func (store *endedStore) check(reading platform.Reading, err error) (platform.Reading, error) {
	store.answers.Add(1)
	if store.ended.Load() {
		return platform.Reading{}, platform.ErrEraEnded
	}
	reading.Era = store.era.Load()
	return reading, err
}

func (store *endedStore) Read(ctx context.Context, table, part string, onLongTransfer func()) (platform.Reading, error) {
	return store.check(store.laggingStore.Read(ctx, table, part, onLongTransfer))
}

func (store *endedStore) Watch(
	ctx context.Context, table string, after uint64, wait time.Duration, onLongTransfer func(),
) (platform.Reading, error) {
	if store.ended.Load() {
		wait = 0
	}
	return store.check(store.laggingStore.Watch(ctx, table, after, wait, onLongTransfer))
}

// Answers of an ended era, as of another copy of the store, must not count as fresh nor as an
// outage, and must not make the VM poll in a tight loop.
func TestAnswersOfAnEndedEraAreIgnoredWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &endedStore{laggingStore: laggingStore{startTime: time.Now(), version: 50}}
		store.era.Store(4)
		log := logrus.New()
		log.SetOutput(io.Discard)
		clock := func() time.Duration { return time.Since(store.startTime) }
		vm := &tracker.Tracker{
			Store: store, Group: &group{}, Clock: clock, MaxConfigurationStaleness: fleetMaxStaleness, MaxTargetStaleness: fleetMaxStaleness,
			Log: logrus.NewEntry(log), OnConfiguration: func(*indexer.Index) {}, OnTargets: func([]placer.Target) {},
		}
		vm.Open()
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { _ = vm.Run(ctx) })
		defer running.Wait()
		defer cancel()
		time.Sleep(10 * time.Second)
		is.Equal(vm.Index().Version, uint64(50))

		store.ended.Store(true)
		time.Sleep(2 * time.Second)
		asOf, answers := vm.AsOf(), store.answers.Load()
		time.Sleep(4 * time.Second)
		store.era.Store(5) // the client learns of the new era, and one old answer is left
		time.Sleep(2 * time.Second)
		is.Equal(vm.AsOf(), asOf)
		is.True(!vm.AnyTableUnreachable())
		is.True(store.answers.Load()-answers < 60) // for two tables in 6 s

		store.set(40, false) // versions were given out again
		store.ended.Store(false)
		time.Sleep(2 * time.Second)
		is.True(vm.AsOf() > asOf)
		is.Equal(vm.Index().Version, uint64(50)) // the configuration 40 of the copy is older
	})
}
