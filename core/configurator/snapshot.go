package configurator

import (
	"bytes"
	"compress/gzip"
	"encoding/gob"
	"fmt"
)

// snapshotInterval is the number of changes between two snapshots.
const snapshotInterval = 256

// SnapshotDue reports whether a new snapshot is due at the revision, given the
// revision of the newest one.
func SnapshotDue(revision, newest uint64) bool { return revision >= newest+snapshotInterval }

// Encode returns the snapshot in the compressed form that is written to the
// object store and sent to peers. Equal snapshots have equal encodings.
func (snapshot Snapshot) Encode() ([]byte, error) {
	var out bytes.Buffer
	compressor, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress snapshot: %w", err)
	}
	if err := gob.NewEncoder(compressor).Encode(snapshot); err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	if err := compressor.Close(); err != nil {
		return nil, fmt.Errorf("compress snapshot: %w", err)
	}
	return out.Bytes(), nil
}

// DecodeSnapshot decodes the result of Encode. It doesn't check the digest;
// State.Load does.
func DecodeSnapshot(data []byte) (Snapshot, error) {
	var snapshot Snapshot
	decompressor, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return snapshot, fmt.Errorf("decompress snapshot: %w", err)
	}
	if err := gob.NewDecoder(decompressor).Decode(&snapshot); err != nil {
		return Snapshot{}, fmt.Errorf("decode snapshot: %w", err)
	}
	return snapshot, nil
}
