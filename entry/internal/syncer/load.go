package syncer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/follower"
	"godwitramp.example/core/timekeeper"
	"godwitramp.example/core/watcher"
)

const (
	loadTimeout = 30 * time.Second
	chunkBytes  = 256 << 10
	// keepSnapshot is how long a packed snapshot stays in memory after its
	// last use.
	keepSnapshot     = time.Minute
	snapshotInterval = 10 * time.Second
)

// load replaces the whole configuration by a newer one, from the store or
// else from a peer.
func (syncer *Syncer) load(ctx context.Context, peer *watcher.Peer) {
	if !syncer.loading.CompareAndSwap(false, true) {
		return
	}
	defer syncer.loading.Store(false)
	fullLoads.Inc()
	state, err := syncer.loadFromStore(ctx)
	if err != nil && peer != nil {
		state, err = syncer.loadFrom(ctx, *peer)
	}
	if err != nil {
		syncer.Log.WithError(err).Warn("load-failed")
		return
	}
	table, problems := configurator.Compile(state.All())
	for _, problem := range problems {
		syncer.Log.WithError(problem).Error("entry-left-out")
	}
	syncer.update(func(follower *follower.Follower, _ timekeeper.Reading) { follower.Replace(state, table) })
}

func (syncer *Syncer) loadFromStore(ctx context.Context) (*configurator.State, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	state, _, err := syncer.Recorder.Load(ctx)
	return state, err
}

// SnapshotRequest asks for a part of a snapshot.
type SnapshotRequest struct {
	// Revision is that of the first part, or 0 to begin.
	Revision uint64
	Offset   int
}

// SnapshotPart is a part of a packed snapshot.
type SnapshotPart struct {
	Revision uint64
	Data     []byte
	Total    int
}

func (syncer *Syncer) loadFrom(ctx context.Context, peer watcher.Peer) (*configurator.State, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var data []byte
	var request SnapshotRequest
	for {
		var part SnapshotPart
		if err := syncer.Calls.Call(ctx, peer.Address, snapshotMethod, request, &part); err != nil {
			return nil, fmt.Errorf("read snapshot of peer %s: %w", peer.Name, err)
		}
		data = append(data, part.Data...)
		if len(data) >= part.Total {
			break
		}
		request = SnapshotRequest{Revision: part.Revision, Offset: len(data)}
	}
	snapshot, err := configurator.DecodeSnapshot(data)
	if err != nil {
		return nil, fmt.Errorf("read snapshot of peer %s: %w", peer.Name, err)
	}
	state := configurator.NewState()
	if err := state.Load(snapshot); err != nil {
		return nil, fmt.Errorf("load snapshot of peer %s: %w", peer.Name, err)
	}
	return state, nil
}

// snapshots holds one packed snapshot for peers.
type snapshots struct {
	mutex    sync.Mutex
	revision uint64
	data     []byte
	used     time.Time
}

func (snapshots *snapshots) forget() {
	snapshots.mutex.Lock()
	defer snapshots.mutex.Unlock()
	if time.Since(snapshots.used) > keepSnapshot {
		snapshots.data = nil
	}
}

// part returns a part of the snapshot, which it packs when there is none or
// the reader begins and a newer one is due.
func (snapshots *snapshots) part(request SnapshotRequest, newest uint64, take func() *configurator.State) (SnapshotPart, error) {
	snapshots.mutex.Lock()
	defer snapshots.mutex.Unlock()
	outdated := request.Revision == 0 && snapshots.revision != newest
	if snapshots.data == nil || outdated {
		state := take()
		data, err := state.Snapshot().Encode()
		if err != nil {
			return SnapshotPart{}, err
		}
		snapshots.revision, snapshots.data = state.Revision, data
	}
	snapshots.used = time.Now()
	if request.Revision != 0 && request.Revision != snapshots.revision || request.Offset > len(snapshots.data) {
		return SnapshotPart{}, fmt.Errorf("snapshot of revision %d is no longer held", request.Revision)
	}
	end := min(len(snapshots.data), request.Offset+chunkBytes)
	return SnapshotPart{Revision: snapshots.revision, Data: snapshots.data[request.Offset:end], Total: len(snapshots.data)}, nil
}

// snapshotLoop stores snapshots and deletes old changes, on one VM of each
// data centre beside the store.
func (syncer *Syncer) snapshotLoop(ctx context.Context) {
	syncer.every(ctx, snapshotInterval, syncer.random(5), func() {
		if !syncer.place.Load().First || !syncer.Members.Self().BesideStore {
			return
		}
		if err := syncer.keepSnapshot(ctx); err != nil && ctx.Err() == nil {
			syncer.Log.WithError(err).Warn("snapshot-failed")
		}
	})
}

func (syncer *Syncer) keepSnapshot(ctx context.Context) error {
	known, err := syncer.Recorder.Snapshots(ctx)
	if err != nil {
		return err
	}
	if configurator.SnapshotDue(syncer.Revision(), known.Newest) {
		snapshot := syncer.state().Snapshot()
		if err := syncer.Recorder.StoreSnapshot(ctx, known, snapshot); err != nil {
			return err
		}
		syncer.Log.WithFields(logrus.Fields{"revision": snapshot.Revision}).Info("snapshot-stored")
		return nil
	}
	_, err = syncer.Recorder.TrimChanges(ctx, known)
	return err
}

func (syncer *Syncer) state() *configurator.State {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	return syncer.follower.State()
}
