// Package recorder keeps the configuration in the platform's table service:
// one row for the newest revision, one for each change, one for each team.
//
// A change is recorded in one transaction whose conditions are the head and
// the team's row, so that of two operators who race one is told what changed.
// When the answer is lost, the recorder reads the change back by its ID and
// never writes twice.
//
// Now and then a snapshot goes to the object store, and changes far enough
// before the older of the two newest snapshots are deleted. A snapshot that is
// damaged or missing is passed over for the older one.
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

// Head is the newest recorded revision.
type Head struct {
	Revision uint64
	ChangeID string
	version  uint64
}

// TeamVersion is the revision of a team's newest change.
type TeamVersion struct {
	Revision uint64
	version  uint64
}

// RaceError says that another change was recorded first.
type RaceError struct {
	Team string
	// Expected and Found are revisions of the team's newest change.
	Expected, Found uint64
}

// Error names the team and both revisions.
func (err *RaceError) Error() string {
	return fmt.Sprintf("team %q is at revision %d, not at %d as expected: another change was recorded first",
		err.Team, err.Found, err.Expected)
}

// HeadMovedError says that another team's change was recorded first; the
// change may be recorded on top of it.
type HeadMovedError struct {
	Revision uint64
}

// Error names the revision that was expected.
func (err *HeadMovedError) Error() string {
	return fmt.Sprintf("the head is no longer at revision %d", err.Revision)
}

// UncertainError says that nobody knows yet whether a change was recorded.
type UncertainError struct {
	ChangeID string
	Cause    error
}

// Error names the change and the cause.
func (err *UncertainError) Error() string {
	return fmt.Sprintf("change %s may or may not be recorded: %v", err.ChangeID, err.Cause)
}

// Unwrap returns the cause.
func (err *UncertainError) Unwrap() error { return err.Cause }

// Recorder reads and writes the configuration's rows.
type Recorder struct {
	Platform connector.Platform
	// OnDamage, if set, hears of snapshots that could not be used.
	OnDamage func(revision uint64, cause error)
}

// Head reads the newest revision.
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

func (recorder *Recorder) read(ctx context.Context, key string, target any) (connector.Row, error) {
	row, err := recorder.Platform.Row(ctx, key)
	if err != nil {
		return row, fmt.Errorf("read row %q: %w", key, err)
	}
	if row.Version == 0 {
		return row, nil
	}
	if err := json.Unmarshal(row.Value, target); err != nil {
		return row, fmt.Errorf("decode row %q: %w", key, err)
	}
	return row, nil
}

// Record writes the change on top of the head and the team's version that it
// was made from.
func (recorder *Recorder) Record(ctx context.Context, head Head, team TeamVersion, change configurator.Change) error {
	transaction, err := recordTransaction(head, team, change)
	if err != nil {
		return err
	}
	outcome, err := recorder.Platform.Transact(ctx, transaction)
	var unknown *connector.UnknownError
	if errors.As(err, &unknown) {
		return recorder.settle(ctx, change, unknown)
	}
	if err != nil {
		return fmt.Errorf("record change %s: %w", change.ID, err)
	}
	if outcome.Committed {
		return nil
	}
	return raceOf(outcome, head, team, change.Team)
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

// settle finds out whether a change whose answer was lost took effect.
func (recorder *Recorder) settle(ctx context.Context, change configurator.Change, cause error) error {
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

func raceOf(outcome connector.Outcome, head Head, team TeamVersion, name string) error {
	for _, row := range outcome.Conflicts {
		if row.Key != teamPrefix+name {
			continue
		}
		var found TeamVersion
		if err := json.Unmarshal(row.Value, &found); err != nil {
			return fmt.Errorf("decode row %q: %w", row.Key, err)
		}
		return &RaceError{Team: name, Expected: team.Revision, Found: found.Revision}
	}
	return &HeadMovedError{Revision: head.Revision}
}

// Load returns the newest recorded configuration.
func (recorder *Recorder) Load(ctx context.Context) (*configurator.State, Head, error) {
	head, err := recorder.Head(ctx)
	if err != nil {
		return nil, head, err
	}
	state, err := recorder.start(ctx)
	if err != nil {
		return nil, head, err
	}
	for state.Revision < head.Revision {
		if err := recorder.advance(ctx, state, head.Revision); err != nil {
			return nil, head, err
		}
	}
	if state.Revision > head.Revision {
		return nil, head, &HeadMovedError{Revision: head.Revision}
	}
	return state, head, nil
}

const changesPerAdvance = 256

func (recorder *Recorder) advance(ctx context.Context, state *configurator.State, head uint64) error {
	changes, err := recorder.Changes(ctx, state.Revision, head, changesPerAdvance)
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
