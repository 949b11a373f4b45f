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
	// keptChanges is how many changes before the older snapshot stay on
	// record, for VMs that lag and for operators who read back.
	keptChanges = 1024
	// changesPerTrim bounds one transaction.
	changesPerTrim = 128
)

// Snapshots lists the snapshots in the object store.
type Snapshots struct {
	// Newest and Older are revisions; 0 is the empty configuration.
	Newest, Older uint64
	// Trimmed is the newest revision whose change is no longer on record.
	Trimmed uint64
	version uint64
}

// Snapshots reads which snapshots there are.
func (recorder *Recorder) Snapshots(ctx context.Context) (Snapshots, error) {
	var snapshots Snapshots
	row, err := recorder.read(ctx, snapshotsKey, &snapshots)
	snapshots.version = row.Version
	return snapshots, err
}

// Keep stores a snapshot that is newer than the known ones and deletes the
// changes that are no longer needed. Two VMs that keep snapshots at once do
// no harm: one of them gets an error.
func (recorder *Recorder) Keep(ctx context.Context, known Snapshots, snapshot configurator.Snapshot) error {
	data, err := snapshot.Encode()
	if err != nil {
		return err
	}
	name := snapshotName(snapshot.Revision)
	if err := recorder.Platform.PutObject(ctx, name, data); err != nil {
		return fmt.Errorf("store snapshot %q: %w", name, err)
	}
	next := Snapshots{Newest: snapshot.Revision, Older: known.Newest, Trimmed: known.Trimmed}
	return recorder.replace(ctx, known, next, nil)
}

// Trim deletes some changes that lie far enough before the older snapshot. It
// reports whether there are more.
func (recorder *Recorder) Trim(ctx context.Context, known Snapshots) (more bool, err error) {
	if known.Older <= keptChanges+known.Trimmed {
		return false, nil
	}
	last := min(known.Older-keptChanges, known.Trimmed+changesPerTrim)
	var deletes []string
	for revision := known.Trimmed + 1; revision <= last; revision++ {
		deletes = append(deletes, changeKey(revision))
	}
	next := known
	next.Trimmed = last
	return last < known.Older-keptChanges, recorder.replace(ctx, known, next, deletes)
}

func (recorder *Recorder) replace(ctx context.Context, known, next Snapshots, deletes []string) error {
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

// start returns a state made from the newest snapshot that is whole, or the
// empty one.
func (recorder *Recorder) start(ctx context.Context) (*configurator.State, error) {
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
		if recorder.OnDamage != nil {
			recorder.OnDamage(revision, err)
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

// At returns the configuration at an older revision, or a
// *MissingChangeError if it is no longer on record.
func (recorder *Recorder) At(ctx context.Context, revision uint64) (*configurator.State, error) {
	snapshots, err := recorder.Snapshots(ctx)
	if err != nil {
		return nil, err
	}
	state := configurator.NewState()
	for _, start := range []uint64{snapshots.Older, snapshots.Newest} {
		if start == 0 || start > revision {
			continue
		}
		if state, err = recorder.loadSnapshot(ctx, start); err != nil {
			return nil, err
		}
	}
	for state.Revision < revision {
		if err := recorder.advance(ctx, state, revision); err != nil {
			return nil, err
		}
	}
	return state, nil
}
