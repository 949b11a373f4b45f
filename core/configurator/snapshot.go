package configurator

import (
	"bytes"
	"compress/gzip"
	"encoding/gob"
	"fmt"
)

// snapshotPeriod is how many changes lie between two snapshots.
const snapshotPeriod = 256

// SnapshotDue reports whether it is time for a new snapshot.
func SnapshotDue(revision, newest uint64) bool { return revision >= newest+snapshotPeriod }

// Encode returns the snapshot in the compact form that the object store and
// peers keep. Equal snapshots have equal forms.
func (snapshot Snapshot) Encode() ([]byte, error) {
	var out bytes.Buffer
	packer, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("pack snapshot: %w", err)
	}
	if err := gob.NewEncoder(packer).Encode(snapshot); err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	if err := packer.Close(); err != nil {
		return nil, fmt.Errorf("pack snapshot: %w", err)
	}
	return out.Bytes(), nil
}

// DecodeSnapshot reads what Encode has written. State.Load checks the digest.
func DecodeSnapshot(data []byte) (Snapshot, error) {
	var snapshot Snapshot
	packed, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return snapshot, fmt.Errorf("unpack snapshot: %w", err)
	}
	if err := gob.NewDecoder(packed).Decode(&snapshot); err != nil {
		return Snapshot{}, fmt.Errorf("decode snapshot: %w", err)
	}
	return snapshot, nil
}
