package recorder

import (
	"context"
	"encoding/json"
	"fmt"

	"godwitramp.example/core/configurator"
)

// Change reads the change of a revision. It reports false if the change is not
// recorded.
func (recorder *Recorder) Change(ctx context.Context, revision uint64) (configurator.Change, bool, error) {
	var change configurator.Change
	row, err := recorder.read(ctx, changeKey(revision), &change)
	return change, row.Version > 0, err
}

// MissingChangeError says that a change is not recorded, or no longer.
type MissingChangeError struct {
	Revision uint64
}

// Error names the revision.
func (err *MissingChangeError) Error() string {
	return fmt.Sprintf("change of revision %d is not recorded", err.Revision)
}

// Changes reads up to limit changes after the given revision, in order. It
// reads none beyond head.
func (recorder *Recorder) Changes(ctx context.Context, after, head uint64, limit int) ([]configurator.Change, error) {
	var changes []configurator.Change
	for next := after + 1; next <= head && len(changes) < limit; {
		batch, err := recorder.readBatch(ctx, next, head)
		if err != nil {
			return changes, err
		}
		changes = append(changes, batch...)
		next += uint64(len(batch))
	}
	return changes[:min(len(changes), limit)], nil
}

const (
	// changesPerScan is the number of changes whose keys differ in the last
	// scanDigits digits only.
	changesPerScan = 100
	scanDigits     = 2
	// maxSingleRowReads is the largest number of remaining changes that are
	// read one by one. More are read by a scan.
	maxSingleRowReads = 4
)

// readBatch reads at least one change, beginning with the revision from, and
// none beyond head.
func (recorder *Recorder) readBatch(ctx context.Context, from, head uint64) ([]configurator.Change, error) {
	if head-from < maxSingleRowReads {
		change, ok, err := recorder.Change(ctx, from)
		if err == nil && !ok {
			err = &MissingChangeError{Revision: from}
		}
		return []configurator.Change{change}, err
	}
	key := changeKey(from)
	rows, err := recorder.Platform.Scan(ctx, key[:len(key)-scanDigits], changesPerScan)
	if err != nil {
		return nil, fmt.Errorf("read changes from revision %d: %w", from, err)
	}
	var changes []configurator.Change
	for _, row := range rows {
		next := from + uint64(len(changes))
		if row.Key != changeKey(next) || next > head {
			continue
		}
		var change configurator.Change
		if err := json.Unmarshal(row.Value, &change); err != nil {
			return nil, fmt.Errorf("decode row %q: %w", row.Key, err)
		}
		changes = append(changes, change)
	}
	if len(changes) == 0 {
		return nil, &MissingChangeError{Revision: from}
	}
	return changes, nil
}

func changeKey(revision uint64) string { return fmt.Sprintf("%s%012d", changePrefix, revision) }
