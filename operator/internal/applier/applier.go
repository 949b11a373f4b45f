// Package applier records changes of a team's subtree.
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

// attempts is how often a change is made anew when other teams' changes are
// recorded first.
const attempts = 10

// Result says what was recorded.
type Result struct {
	Team string
	// Revision is that of the change, or of the head if nothing differs.
	Revision uint64
	Changed  bool
	Puts     []configurator.Entry
	Deletes  []configurator.Path
}

// InvalidError says that the whole configuration would not be valid.
type InvalidError struct {
	Problems []*configurator.Problem
}

// Error gives the number of problems and each of them on a line of its own.
func (err *InvalidError) Error() string {
	joined := []error{fmt.Errorf("the configuration would not be valid, problems: %d", len(err.Problems))}
	for _, problem := range err.Problems {
		joined = append(joined, problem)
	}
	return errors.Join(joined...).Error()
}

// BusyError says that other teams' changes were recorded first each time.
type BusyError struct {
	Attempts int
}

// Error gives the number of attempts.
func (err *BusyError) Error() string {
	return fmt.Sprintf("other teams' changes were recorded first %d times; nothing was recorded", err.Attempts)
}

// Edit returns what to put and delete in a team's recorded entries.
type Edit func(recorded []configurator.Entry) (puts []configurator.Entry, deletes []configurator.Path, err error)

// Replace returns the edit that makes a team's subtree equal to the entries,
// but for withdrawals and for keys given by command.
func Replace(entries []configurator.Entry) Edit {
	return func(recorded []configurator.Entry) ([]configurator.Entry, []configurator.Path, error) {
		puts, deletes := configurator.Difference(recorded, entries)
		return puts, deletes, nil
	}
}

// Applier records changes.
type Applier struct {
	Recorder *recorder.Recorder
	Author   string
	Comment  string
	// NewID returns the ID of a change; one from crypto/rand unless set.
	NewID func() string
}

// Difference returns what the edit would change.
func (applier *Applier) Difference(ctx context.Context, team string, edit Edit) (Result, error) {
	state, head, err := applier.Recorder.Load(ctx)
	if err != nil {
		return Result{}, fmt.Errorf("read recorded configuration: %w", err)
	}
	return difference(state, head, team, edit)
}

// difference completes the edit by the withdrawals of the keys that it ends.
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

// Change records what the edit returns for the recorded entries. It is made
// anew if another team's change is recorded first, and refused with a
// *recorder.RaceError if it is the same team's.
func (applier *Applier) Change(ctx context.Context, team string, edit Edit) (Result, error) {
	version, err := applier.Recorder.Team(ctx, team)
	if err != nil {
		return Result{}, fmt.Errorf("read version of team: %w", err)
	}
	for range attempts {
		result, err := applier.try(ctx, team, version, edit)
		var moved *recorder.HeadMovedError
		if !errors.As(err, &moved) {
			return result, err
		}
	}
	return Result{}, &BusyError{Attempts: attempts}
}

func (applier *Applier) try(ctx context.Context, team string, version recorder.TeamVersion, edit Edit) (Result, error) {
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
	if err := check(state, change); err != nil {
		return result, err
	}
	if err := applier.Recorder.Record(ctx, head, version, change); err != nil {
		return result, fmt.Errorf("record change of team %q: %w", team, err)
	}
	result.Revision, result.Changed = change.Revision, true
	return result, nil
}

func (applier *Applier) newID() string {
	if applier.NewID != nil {
		return applier.NewID()
	}
	return rand.Text()
}

// check refuses a change after which the configuration would not be valid.
func check(state *configurator.State, change configurator.Change) error {
	if err := state.Apply(change); err != nil {
		return fmt.Errorf("check change: %w", err)
	}
	entries := state.Snapshot().Entries
	if _, problems := configurator.Compile(slices.Values(entries)); len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	return nil
}
