// Package applier records changes to a team's subtree of the configuration.
//
// A change is computed from the recorded entries, completed by the withdrawals
// of deleted keys, validated together with the rest of the configuration, and
// recorded in one transaction.
//
// # Usage
//
//	applier := &applier.Applier{Recorder: recorder, Author: "asha"}
//	result, err := applier.Change(ctx, "kundsetu", applier.Replace(entries))
package applier

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/withdrawer"
	"godwitramp.example/shell/recorder"
)

// maxAttempts bounds the attempts at a change while other teams' changes are
// recorded first.
const maxAttempts = 10

// Result is what a change records, or would record.
type Result struct {
	Team string
	// Revision is the revision of the recorded change, or of the head if none was
	// recorded.
	Revision uint64
	Recorded bool
	Puts     []configurator.Entry
	Deletes  []configurator.Path
}

// InvalidError is returned for a change that would make the configuration
// invalid.
type InvalidError struct {
	Problems []*configurator.Problem
}

// Error returns the number of problems and one line for each problem.
func (err *InvalidError) Error() string {
	joined := []error{fmt.Errorf("the configuration would not be valid, problems: %d", len(err.Problems))}
	for _, problem := range err.Problems {
		joined = append(joined, problem)
	}
	return errors.Join(joined...).Error()
}

// BusyError is returned if other teams' changes were recorded first in every
// attempt.
type BusyError struct {
	Attempts int
}

// Error returns a message with the number of attempts.
func (err *BusyError) Error() string {
	return fmt.Sprintf("other teams' changes were recorded first %d times; nothing was recorded", err.Attempts)
}

// Edit returns the entries to put and the paths to delete, given a team's
// recorded entries.
type Edit func(recorded []configurator.Entry) (puts []configurator.Entry, deletes []configurator.Path, err error)

// Replace returns the edit that makes a team's subtree equal to the entries.
// Recorded withdrawals and keys issued by command stay; see withdrawer.Enforce.
func Replace(entries []configurator.Entry) Edit {
	return func(recorded []configurator.Entry) ([]configurator.Entry, []configurator.Path, error) {
		puts, deletes := configurator.Difference(recorded, entries)
		return puts, deletes, nil
	}
}

// Applier records changes with an author and a comment.
type Applier struct {
	Recorder *recorder.Recorder
	Author   string
	Comment  string
	// NewID returns the ID of a change. By default IDs come from crypto/rand.
	NewID func() string
}

// Difference returns what Change would record, without validating it.
func (applier *Applier) Difference(ctx context.Context, team string, edit Edit) (Result, error) {
	state, head, err := applier.Recorder.Load(ctx)
	if err != nil {
		return Result{}, fmt.Errorf("read recorded configuration: %w", err)
	}
	return difference(state, head, team, edit)
}

// difference applies the edit to the team's entries and adds the withdrawals of
// the keys that it deletes or replaces.
func difference(state *configurator.State, head recorder.Head, team string, edit Edit) (Result, error) {
	result := Result{Team: team, Revision: head.Revision}
	recorded := state.Team(team)
	puts, deletes, err := edit(recorded)
	if err != nil {
		return result, fmt.Errorf("edit team %q: %w", team, err)
	}
	result.Puts, result.Deletes = withdrawer.Enforce(recorded, puts, deletes)
	return result, nil
}

// Change records what the edit returns for the team's recorded entries. If
// another team's change is recorded first, it calls the edit again with the new
// entries, and makes maxAttempts attempts in all. If it is a change of the same
// team, the error wraps a *recorder.ConflictError.
func (applier *Applier) Change(ctx context.Context, team string, edit Edit) (Result, error) {
	version, err := applier.Recorder.Team(ctx, team)
	if err != nil {
		return Result{}, fmt.Errorf("read version of team: %w", err)
	}
	for range maxAttempts {
		result, err := applier.recordOnce(ctx, team, version, edit)
		var headMoved *recorder.HeadMovedError
		if !errors.As(err, &headMoved) {
			return result, err
		}
	}
	return Result{}, &BusyError{Attempts: maxAttempts}
}

// recordOnce makes one attempt. The error wraps a *recorder.HeadMovedError if
// another team's change was recorded first.
func (applier *Applier) recordOnce(ctx context.Context, team string, version recorder.TeamVersion, edit Edit) (Result, error) {
	state, head, err := applier.Recorder.Load(ctx)
	if err != nil {
		return Result{}, fmt.Errorf("read recorded configuration: %w", err)
	}
	result, err := difference(state, head, team, edit)
	if err != nil || len(result.Puts)+len(result.Deletes) == 0 {
		return result, err
	}
	change := configurator.Change{
		ID: applier.newID(), Revision: head.Revision + 1, Team: team, Author: applier.Author, Comment: applier.Comment,
		Puts: result.Puts, Deletes: result.Deletes,
	}
	if err := validate(state, change); err != nil {
		return result, err
	}
	if err := applier.Recorder.Record(ctx, head, version, change); err != nil {
		return result, fmt.Errorf("record change of team %q: %w", team, err)
	}
	result.Revision, result.Recorded = change.Revision, true
	return result, nil
}

func (applier *Applier) newID() string {
	if applier.NewID != nil {
		return applier.NewID()
	}
	return rand.Text()
}

// validate applies the change to state and returns an *InvalidError if the
// resulting configuration is invalid.
func validate(state *configurator.State, change configurator.Change) error {
	if err := state.Apply(change); err != nil {
		return fmt.Errorf("apply change: %w", err)
	}
	entries := state.Snapshot().Entries
	if _, problems := configurator.Compile(slices.Values(entries)); len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	return nil
}
