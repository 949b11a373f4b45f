package registrar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"time"

	"godwitramp.example/platform"
	"godwitramp.example/shell/timer"
)

const (
	// maxConflicts limits the conflicts with other VMs' writes before an update is given up. The first one reads the rows.
	maxConflicts = 5
	// conflictDelay is the mean wait after a conflict.
	conflictDelay = 50 * time.Millisecond
)

// Suspects are the requests that crash targets, or may. VMs of earlier versions read and write only the blocks, without a
// condition.
type Suspects struct {
	Blocks  []Block
	Crashes []Crash
}

// Block is a request that crashes targets.
type Block struct {
	// Fingerprint is that of the request, in hexadecimal digits.
	Fingerprint string `json:"fingerprint"`
	// CrashedAt is the time of its last known crash. It is blocked until Until, for the Count-th
	// time.
	CrashedAt time.Time `json:"crashed-at"`
	Until     time.Time `json:"until"`
	Count     int       `json:"count"`
}

// Crash is a run of a request that ended with the crash of its target.
type Crash struct {
	// Fingerprint is that of the request, in hexadecimal digits.
	Fingerprint string    `json:"fingerprint"`
	Target      string    `json:"target"`
	Incarnation int64     `json:"incarnation"`
	Began       time.Time `json:"began"`
	Ended       time.Time `json:"ended"`
	Follows     bool      `json:"follows,omitempty"`
}

// UpdateSuspects writes the requests that crash targets, for VMs that start when no other VM is up that could tell
// them. The function update returns what to write in place of what is stored, or false if that can stay. It is called
// again for what another VM has written, so that none is lost. It reports whether anything was written.
func (registrar *Registrar) UpdateSuspects(ctx context.Context, update func(stored Suspects) (Suspects, bool)) (bool, error) {
	suspects, _ := update(Suspects{})
	var versions [2]uint64
	for conflicts := 0; ; conflicts++ {
		err := registrar.writeSuspects(ctx, suspects, versions)
		var conflict *platform.ConflictError
		if err == nil || !errors.As(err, &conflict) {
			return err == nil, err
		}
		if conflicts == maxConflicts {
			return false, errContended
		}
		var stored Suspects
		versions = [2]uint64{}
		for _, row := range conflict.Rows {
			switch {
			case row.Deleted:
			case row.Key == blocksRow:
				versions[0] = row.Version
				registrar.decodeSuspects(row, &stored)
			case row.Key == crashesRow:
				versions[1] = row.Version
				registrar.decodeSuspects(row, &stored)
			}
		}
		var changed bool
		if suspects, changed = update(stored); !changed {
			return false, nil
		}
		if !timer.Sleep(ctx, time.Duration(mathrand.Float64()*2*float64(conflictDelay))) {
			return false, fmt.Errorf("write blocks: %w", context.Cause(ctx))
		}
	}
}

var errContended = errors.New("other VMs kept writing the blocked requests")

// writeSuspects replaces the rows with the given versions.
func (registrar *Registrar) writeSuspects(ctx context.Context, suspects Suspects, versions [2]uint64) error {
	blocks, err := json.Marshal(suspects.Blocks)
	if err != nil {
		return fmt.Errorf("encode blocks: %w", err)
	}
	crashes, err := json.Marshal(suspects.Crashes)
	if err != nil {
		return fmt.Errorf("encode crashes: %w", err)
	}
	transaction := platform.Transaction{
		Conditions: []platform.Condition{
			{Table: table, Key: blocksRow, Version: versions[0]}, {Table: table, Key: crashesRow, Version: versions[1]},
		},
		Writes: []platform.Write{{Table: table, Key: blocksRow, Value: blocks}, {Table: table, Key: crashesRow, Value: crashes}},
	}
	if err := registrar.Store.Commit(ctx, transaction); err != nil {
		return fmt.Errorf("write blocks: %w", err)
	}
	return nil
}

// decodeSuspects adds what a row says. A malformed row is logged and ignored.
func (registrar *Registrar) decodeSuspects(row platform.Row, suspects *Suspects) {
	var err error
	switch row.Key {
	case blocksRow:
		if err = json.Unmarshal(row.Value, &suspects.Blocks); err != nil {
			suspects.Blocks = nil
		}
	case crashesRow:
		if err = json.Unmarshal(row.Value, &suspects.Crashes); err != nil {
			suspects.Crashes = nil
		}
	}
	if err != nil {
		registrar.Log.WithError(err).WithField("row", row.Key).Warn("blocks-malformed")
	}
}
