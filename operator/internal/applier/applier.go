// Package applier records changes of a team's subtree.
//
// # Usage
//
//	applier := &applier.Applier{Recorder: recorder, Author: "asha"}
//	result, err := applier.Apply(ctx, "kundsetu", entries)
package applier

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"

	"godwitramp.example/core/configurator"
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

// Error gives the first problem and the number of the others.
func (err *InvalidError) Error() string {
	return fmt.Sprintf("the configuration would not be valid (%d problems): %v", len(err.Problems), err.Problems[0])
}

// Applier records changes.
type Applier struct {
	Recorder *recorder.Recorder
	Author   string
	Comment  string
}

// Difference returns what applying the entries would change.
func (applier *Applier) Difference(ctx context.Context, team string, entries []configurator.Entry) (Result, error) {
	state, head, err := applier.Recorder.Load(ctx)
	if err != nil {
		return Result{}, fmt.Errorf("read recorded configuration: %w", err)
	}
	result := Result{Team: team, Revision: head.Revision}
	result.Puts, result.Deletes = configurator.Difference(state.Team(team), entries)
	result.Changed = len(result.Puts)+len(result.Deletes) > 0
	return result, nil
}

// Apply makes the team's subtree equal to the entries.
func (applier *Applier) Apply(ctx context.Context, team string, entries []configurator.Entry) (Result, error) {
	replace := func(state *configurator.State) ([]configurator.Entry, []configurator.Path) {
		return configurator.Difference(state.Team(team), entries)
	}
	return applier.Change(ctx, team, replace)
}

// Change records what edit returns for the recorded state. It is made anew if
// another team's change is recorded first, and refused with a
// *recorder.RaceError if it is the same team's.
func (applier *Applier) Change(
	ctx context.Context, team string,
	edit func(*configurator.State) (puts []configurator.Entry, deletes []configurator.Path),
) (Result, error) {
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
	return Result{}, fmt.Errorf("other teams' changes were recorded first %d times", attempts)
}

func (applier *Applier) try(
	ctx context.Context, team string, version recorder.TeamVersion,
	edit func(*configurator.State) (puts []configurator.Entry, deletes []configurator.Path),
) (Result, error) {
	state, head, err := applier.Recorder.Load(ctx)
	if err != nil {
		return Result{}, fmt.Errorf("read recorded configuration: %w", err)
	}
	result := Result{Team: team, Revision: head.Revision}
	result.Puts, result.Deletes = edit(state)
	if len(result.Puts)+len(result.Deletes) == 0 {
		return result, nil
	}
	change := configurator.Change{
		ID: rand.Text(), Revision: head.Revision + 1, Team: team, Author: applier.Author, Comment: applier.Comment,
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
