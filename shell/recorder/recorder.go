// Package recorder stores the configuration and its changes in the platform's
// table service, for VMs and for the operators' command. There is one row for
// the newest revision (the head), one for each change and one for each team.
//
// A change is recorded in one transaction that is conditional on the versions of
// the head and of the team's row. If two operators record changes concurrently,
// only one succeeds and the other gets an error that says what changed. If the
// answer to the transaction is lost, the recorder reads the change with that
// revision and compares IDs instead of writing again.
//
// Snapshots are stored in the object store from time to time, and changes that
// are old enough compared to the older of the two newest snapshots are deleted.
// If the newest snapshot is damaged or missing, the older one is used.
//
// VMs register and store in further rows which revisions they have confirmed.
//
// # Usage
//
//	recorder := &recorder.Recorder{Platform: client}
//	head, err := recorder.Head(ctx)
//	err = recorder.Record(ctx, head, change) // change.Revision is head.Revision+1
package recorder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"godwitramp.example/core/configurator"
	"godwitramp.example/shell/connector"
)

const (
	headKey      = "config/head"
	teamPrefix   = "config/team/"
	changePrefix = "config/change/"
)

// Head identifies the newest recorded change.
type Head struct {
	Revision uint64
	ChangeID string
	version  uint64
}

// TeamVersion is the revision of a team's newest change, or 0 if it has none.
type TeamVersion struct {
	Revision uint64
	version  uint64
}

// ConflictError says that another change of the same team was recorded first.
type ConflictError struct {
	Team string
	// Expected and Found are revisions of the team's newest change.
	Expected, Found uint64
}

// Error describes the conflict with both revisions.
func (err *ConflictError) Error() string {
	return fmt.Sprintf("team %q is at revision %d, not at %d as expected: another change was recorded first",
		err.Team, err.Found, err.Expected)
}

// HeadMovedError says that the head is not at the expected revision, for
// example because another team's change was recorded first. The caller may
// record its change on top of the new head.
type HeadMovedError struct {
	Revision uint64
}

// Error describes the conflict with the expected revision.
func (err *HeadMovedError) Error() string {
	return fmt.Sprintf("the newest recorded revision is no longer %d", err.Revision)
}

// UncertainError says that it is unknown whether a change was recorded.
type UncertainError struct {
	ChangeID string
	Cause    error
}

// Error describes the change and the cause.
func (err *UncertainError) Error() string {
	return fmt.Sprintf("change %s may or may not be recorded: %v", err.ChangeID, err.Cause)
}

// Unwrap returns the cause.
func (err *UncertainError) Unwrap() error { return err.Cause }

// Recorder reads and writes the rows and snapshots of the configuration.
type Recorder struct {
	Platform connector.Platform
	// OnSnapshotError, if set, is called for each snapshot that can't be used.
	OnSnapshotError func(revision uint64, cause error)
}

// Head reads the newest recorded revision. It is 0 if nothing is recorded.
func (recorder *Recorder) Head(ctx context.Context) (Head, error) {
	var head Head
	row, err := recorder.read(ctx, headKey, &head)
	head.version = row.Version
	return head, err
}

// Team reads the revision of a team's newest change.
func (recorder *Recorder) Team(ctx context.Context, team string) (TeamVersion, error) {
	var version TeamVersion
	row, err := recorder.read(ctx, teamPrefix+team, &version)
	version.version = row.Version
	return version, err
}

// read decodes a row into destination. If the row doesn't exist, its version
// is 0 and destination is unchanged.
func (recorder *Recorder) read(ctx context.Context, key string, destination any) (connector.Row, error) {
	row, err := recorder.Platform.Row(ctx, key)
	if err != nil {
		return row, fmt.Errorf("read row %q: %w", key, err)
	}
	if row.Version == 0 {
		return row, nil
	}
	if err := json.Unmarshal(row.Value, destination); err != nil {
		return row, fmt.Errorf("decode row %q: %w", key, err)
	}
	return row, nil
}

// Record records a change that was made from the given head and team version.
// It returns a *ConflictError or a *HeadMovedError if another change was
// recorded first, and an *UncertainError if it is unknown whether the change
// was recorded.
func (recorder *Recorder) Record(ctx context.Context, head Head, team TeamVersion, change configurator.Change) error {
	transaction, err := recordTransaction(head, team, change)
	if err != nil {
		return err
	}
	outcome, err := recorder.Platform.Transact(ctx, transaction)
	var lostAnswer *connector.LostAnswerError
	if errors.As(err, &lostAnswer) {
		return recorder.resolveOutcome(ctx, change, lostAnswer)
	}
	if err != nil {
		return fmt.Errorf("record change %s: %w", change.ID, err)
	}
	if outcome.Committed {
		return nil
	}
	return conflictError(outcome, head, team, change.Team)
}

func recordTransaction(head Head, team TeamVersion, change configurator.Change) (connector.Transaction, error) {
	next := Head{Revision: change.Revision, ChangeID: change.ID}
	transaction := connector.Transaction{
		ID: change.ID,
		Conditions: []connector.Condition{
			{Key: headKey, Version: head.version},
			{Key: teamPrefix + change.Team, Version: team.version},
		},
	}
	rows := []struct {
		key   string
		value any
	}{
		{headKey, next},
		{teamPrefix + change.Team, TeamVersion{Revision: change.Revision}},
		{changeKey(change.Revision), change},
	}
	for _, row := range rows {
		value, err := json.Marshal(row.value)
		if err != nil {
			return transaction, fmt.Errorf("encode row %q: %w", row.key, err)
		}
		transaction.Puts = append(transaction.Puts, connector.Put{Key: row.key, Value: value})
	}
	return transaction, nil
}

// resolveOutcome finds out whether a change was recorded after the answer to
// its transaction was lost.
func (recorder *Recorder) resolveOutcome(ctx context.Context, change configurator.Change, cause error) error {
	found, ok, err := recorder.Change(ctx, change.Revision)
	if err != nil {
		return &UncertainError{ChangeID: change.ID, Cause: cause}
	}
	if ok && found.ID == change.ID {
		return nil
	}
	if ok {
		return &HeadMovedError{Revision: change.Revision - 1}
	}
	return &UncertainError{ChangeID: change.ID, Cause: cause}
}

// conflictError returns the error for a transaction whose conditions did not
// hold.
func conflictError(outcome connector.Outcome, head Head, team TeamVersion, name string) error {
	for _, row := range outcome.Conflicts {
		if row.Key != teamPrefix+name {
			continue
		}
		var found TeamVersion
		if err := json.Unmarshal(row.Value, &found); err != nil {
			return fmt.Errorf("decode row %q: %w", row.Key, err)
		}
		return &ConflictError{Team: name, Expected: team.Revision, Found: found.Revision}
	}
	return &HeadMovedError{Revision: head.Revision}
}

// Load returns the newest recorded configuration. It returns a *HeadMovedError
// if a snapshot is newer than the head that was read, because changes were
// recorded concurrently.
func (recorder *Recorder) Load(ctx context.Context) (*configurator.State, Head, error) {
	head, err := recorder.Head(ctx)
	if err != nil {
		return nil, head, err
	}
	state, err := recorder.loadNewestSnapshot(ctx)
	if err != nil {
		return nil, head, err
	}
	for state.Revision < head.Revision {
		if err := recorder.applyChanges(ctx, state, head.Revision); err != nil {
			return nil, head, err
		}
	}
	if state.Revision > head.Revision {
		return nil, head, &HeadMovedError{Revision: head.Revision}
	}
	return state, head, nil
}

// changesPerRead is the maximum number of changes that are read before they
// are applied.
const changesPerRead = 256

// applyChanges applies the next recorded changes up to the revision head.
func (recorder *Recorder) applyChanges(ctx context.Context, state *configurator.State, head uint64) error {
	changes, err := recorder.Changes(ctx, state.Revision, head, changesPerRead)
	if err != nil {
		return err
	}
	for _, change := range changes {
		if err := state.Apply(change); err != nil {
			return fmt.Errorf("apply recorded change %s: %w", change.ID, err)
		}
	}
	return nil
}
