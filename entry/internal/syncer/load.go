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
	// snapshotRetention is how long an encoded snapshot stays in memory after
	// its last use.
	snapshotRetention = time.Minute
	snapshotInterval  = 10 * time.Second
)

// load replaces the whole configuration with a newer one from the store or, if
// that fails, from a peer.
func (syncer *Syncer) load(ctx context.Context, peer *watcher.Peer) {
	if !syncer.loading.CompareAndSwap(false, true) {
		return
	}
	defer syncer.loading.Store(false)
	fullLoads.Inc()
	state, err := syncer.loadFromStore(ctx)
	if err != nil && peer != nil {
		state, err = syncer.loadFromPeer(ctx, *peer)
	}
	if err != nil {
		syncer.Log.WithError(err).Warn("load-failed")
		return
	}
	table, problems := configurator.Compile(state.All())
	for _, problem := range problems {
		syncer.Log.WithError(problem).Error("entry-rejected")
	}
	syncer.update(func(follower *follower.Follower, _ timekeeper.Reading) { follower.Replace(state, table) })
}

func (syncer *Syncer) loadFromStore(ctx context.Context) (*configurator.State, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	state, _, err := syncer.Recorder.Load(ctx)
	return state, err
}

// SnapshotRequest requests a chunk of a snapshot.
type SnapshotRequest struct {
	// Revision is the revision of the first chunk, or 0 to request that chunk.
	Revision uint64
	Offset   int
}

// SnapshotPart is a chunk of an encoded snapshot.
type SnapshotPart struct {
	Revision uint64
	Data     []byte
	Total    int
}

func (syncer *Syncer) loadFromPeer(ctx context.Context, peer watcher.Peer) (*configurator.State, error) {
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

// snapshotCache caches one encoded snapshot for peers.
type snapshotCache struct {
	mutex    sync.Mutex
	revision uint64
	data     []byte
	lastUsed time.Time
}

func (snapshotCache *snapshotCache) evictIdle() {
	snapshotCache.mutex.Lock()
	defer snapshotCache.mutex.Unlock()
	if time.Since(snapshotCache.lastUsed) > snapshotRetention {
		snapshotCache.data = nil
	}
}

// part returns a chunk of the snapshot. It encodes a new snapshot if none is
// cached, or if the request is for the first chunk and the cached one is not
// the newest.
func (snapshotCache *snapshotCache) part(request SnapshotRequest, newest uint64, currentState func() *configurator.State) (SnapshotPart, error) {
	snapshotCache.mutex.Lock()
	defer snapshotCache.mutex.Unlock()
	outdated := request.Revision == 0 && snapshotCache.revision != newest
	if snapshotCache.data == nil || outdated {
		state := currentState()
		data, err := state.Snapshot().Encode()
		if err != nil {
			return SnapshotPart{}, err
		}
		snapshotCache.revision, snapshotCache.data = state.Revision, data
	}
	snapshotCache.lastUsed = time.Now()
	if request.Revision != 0 && request.Revision != snapshotCache.revision || request.Offset > len(snapshotCache.data) {
		return SnapshotPart{}, fmt.Errorf("snapshot of revision %d is no longer cached", request.Revision)
	}
	end := min(len(snapshotCache.data), request.Offset+chunkBytes)
	return SnapshotPart{Revision: snapshotCache.revision, Data: snapshotCache.data[request.Offset:end], Total: len(snapshotCache.data)}, nil
}

// snapshotLoop stores snapshots and deletes old changes. It acts only on one VM
// of each data centre beside the store.
func (syncer *Syncer) snapshotLoop(ctx context.Context) {
	syncer.runEvery(ctx, snapshotInterval, syncer.newRandom(5), func() {
		if !syncer.position.Load().First || !syncer.Members.Self().BesideStore {
			return
		}
		if err := syncer.storeSnapshot(ctx); err != nil && ctx.Err() == nil {
			syncer.Log.WithError(err).Warn("snapshot-failed")
		}
	})
}

func (syncer *Syncer) storeSnapshot(ctx context.Context) error {
	snapshots, err := syncer.Recorder.Snapshots(ctx)
	if err != nil {
		return err
	}
	if configurator.SnapshotDue(syncer.Revision(), snapshots.Newest) {
		snapshot := syncer.state().Snapshot()
		if err := syncer.Recorder.StoreSnapshot(ctx, snapshots, snapshot); err != nil {
			return err
		}
		syncer.Log.WithFields(logrus.Fields{"revision": snapshot.Revision}).Info("snapshot-stored")
		return nil
	}
	_, err = syncer.Recorder.TrimChanges(ctx, snapshots)
	return err
}

func (syncer *Syncer) state() *configurator.State {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	return syncer.follower.State()
}
