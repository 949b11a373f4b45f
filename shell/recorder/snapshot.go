package recorder

import (
	"context"
	"encoding/json"
	"fmt"

	"godwitramp.example/core/configurator"
	"godwitramp.example/shell/connector"
)

const (
	snapshotsKey   = "config/snapshots"
	snapshotPrefix = "config/snapshot/"
	// retainedChanges is the number of changes before the older snapshot that
	// are retained for VMs that lag and for the operators' history.
	retainedChanges = 1024
	// changesPerTrim is the maximum number of changes that one transaction
	// deletes.
	changesPerTrim = 128
)

// Snapshots describes the snapshots in the object store.
type Snapshots struct {
	// Newest and Older are the revisions of the two newest snapshots; 0 is the
	// empty configuration.
	Newest, Older uint64
	// Trimmed is the newest revision whose change has been deleted.
	Trimmed uint64
	version uint64
}

// Snapshots reads which snapshots are stored.
func (recorder *Recorder) Snapshots(ctx context.Context) (Snapshots, error) {
	var snapshots Snapshots
	row, err := recorder.read(ctx, snapshotsKey, &snapshots)
	snapshots.version = row.Version
	return snapshots, err
}

// StoreSnapshot stores a snapshot that is newer than the known ones. VMs may
// call it concurrently: the snapshot of one is listed, and the others get an
// error.
func (recorder *Recorder) StoreSnapshot(ctx context.Context, known Snapshots, snapshot configurator.Snapshot) error {
	data, err := snapshot.Encode()
	if err != nil {
		return err
	}
	name := snapshotName(snapshot.Revision)
	if err := recorder.Platform.PutObject(ctx, name, data); err != nil {
		return fmt.Errorf("store snapshot %q: %w", name, err)
	}
	next := Snapshots{Newest: snapshot.Revision, Older: known.Newest, Trimmed: known.Trimmed}
	return recorder.replaceSnapshots(ctx, known, next, nil)
}

// TrimChanges deletes up to changesPerTrim changes that are at least
// retainedChanges older than the older snapshot. It reports whether more are
// left to delete.
func (recorder *Recorder) TrimChanges(ctx context.Context, known Snapshots) (more bool, err error) {
	if known.Older <= retainedChanges+known.Trimmed {
		return false, nil
	}
	last := min(known.Older-retainedChanges, known.Trimmed+changesPerTrim)
	var deletes []string
	for revision := known.Trimmed + 1; revision <= last; revision++ {
		deletes = append(deletes, changeKey(revision))
	}
	next := known
	next.Trimmed = last
	return last < known.Older-retainedChanges, recorder.replaceSnapshots(ctx, known, next, deletes)
}

// replaceSnapshots replaces the list of snapshots and deletes rows, if the
// list is still the known one.
func (recorder *Recorder) replaceSnapshots(ctx context.Context, known, next Snapshots, deletes []string) error {
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode row %q: %w", snapshotsKey, err)
	}
	return recorder.transact(ctx, connector.Transaction{
		ID:         fmt.Sprintf("%s%d/%d", snapshotPrefix, next.Newest, next.Trimmed),
		Conditions: []connector.Condition{{Key: snapshotsKey, Version: known.version}},
		Puts:       []connector.Put{{Key: snapshotsKey, Value: value}},
		Deletes:    deletes,
	})
}

func snapshotName(revision uint64) string { return fmt.Sprintf("%s%012d", snapshotPrefix, revision) }

// loadNewestSnapshot returns the state of the newest usable snapshot, or the
// empty state.
func (recorder *Recorder) loadNewestSnapshot(ctx context.Context) (*configurator.State, error) {
	snapshots, err := recorder.Snapshots(ctx)
	if err != nil {
		return nil, err
	}
	for _, revision := range []uint64{snapshots.Newest, snapshots.Older} {
		if revision == 0 {
			continue
		}
		state, err := recorder.loadSnapshot(ctx, revision)
		if err == nil {
			return state, nil
		}
		if recorder.OnSnapshotError != nil {
			recorder.OnSnapshotError(revision, err)
		}
	}
	return configurator.NewState(), nil
}

func (recorder *Recorder) loadSnapshot(ctx context.Context, revision uint64) (*configurator.State, error) {
	name := snapshotName(revision)
	data, err := recorder.Platform.Object(ctx, name)
	if err != nil {
		return nil, fmt.Errorf("read snapshot %q: %w", name, err)
	}
	snapshot, err := configurator.DecodeSnapshot(data)
	if err != nil {
		return nil, fmt.Errorf("read snapshot %q: %w", name, err)
	}
	state := configurator.NewState()
	if err := state.Load(snapshot); err != nil {
		return nil, fmt.Errorf("load snapshot %q: %w", name, err)
	}
	return state, nil
}

// StateAt returns the configuration at an older revision. It returns a
// *MissingChangeError if the changes that it needs have been deleted.
func (recorder *Recorder) StateAt(ctx context.Context, revision uint64) (*configurator.State, error) {
	snapshots, err := recorder.Snapshots(ctx)
	if err != nil {
		return nil, err
	}
	state := configurator.NewState()
	for _, base := range []uint64{snapshots.Older, snapshots.Newest} {
		if base == 0 || base > revision {
			continue
		}
		if state, err = recorder.loadSnapshot(ctx, base); err != nil {
			return nil, err
		}
	}
	for state.Revision < revision {
		if err := recorder.applyChanges(ctx, state, revision); err != nil {
			return nil, err
		}
	}
	return state, nil
}
