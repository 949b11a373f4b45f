// Package configurator parses, validates and indexes the declared configuration
// of the fleet: entries under paths, the changes from one revision to the next,
// and the decoded items that are looked up while requests are handled.
//
// A revision is a number that only rises. Each change belongs to one team,
// touches only entries below that team's path, and names the revision that it
// makes. A State applies changes in the order of their revisions and refuses any
// other, so that an applied change is never reverted by an older one.
//
// # Usage
//
//	state := configurator.NewState()
//	if err := state.Apply(change); err != nil {
//		// A *GapError: fetch the changes between. A *StaleError: ignore it.
//	}
//	table, problems := configurator.Compile(state.All())
package configurator

import (
	"fmt"
	"iter"
	"maps"
	"slices"
)

// Change is the step from one revision to the next.
type Change struct {
	// ID is random. The writer uses it to find out whether a write whose answer
	// was lost took effect.
	ID string
	// Revision is the revision that the change makes.
	Revision uint64
	Team     string
	Author   string
	Comment  string
	Puts     []Entry
	Deletes  []Path
}

// Snapshot is the whole configuration at one revision.
type Snapshot struct {
	Revision uint64
	Digest   Digest
	Entries  []Entry
}

// GapError reports a change that doesn't directly follow the state: changes in
// between are missing.
type GapError struct {
	Have, Got uint64
}

func (err *GapError) Error() string {
	return fmt.Sprintf("change makes revision %d, but the state is at %d", err.Got, err.Have)
}

// StaleError reports a change or snapshot that is not newer than the state.
type StaleError struct {
	Have, Got uint64
}

func (err *StaleError) Error() string {
	return fmt.Sprintf("revision %d is not newer than the state's %d", err.Got, err.Have)
}

// ForeignPathError reports a change to an entry of another team.
type ForeignPathError struct {
	Team string
	Path Path
}

func (err *ForeignPathError) Error() string {
	return fmt.Sprintf("team %q can't change %q, which belongs to team %q", err.Team, err.Path, err.Path.Team())
}

// DigestError reports a snapshot whose entries don't match its digest.
type DigestError struct {
	Revision  uint64
	Want, Got Digest
}

func (err *DigestError) Error() string {
	return fmt.Sprintf("snapshot of revision %d has digest %s, but its entries have %s", err.Revision, err.Want, err.Got)
}

// State is the configuration at its newest known revision. It isn't safe for
// concurrent use.
type State struct {
	Revision uint64
	Digest   Digest
	entries  map[Path]Entry
}

// NewState returns the empty configuration, revision 0.
func NewState() *State {
	return &State{entries: make(map[Path]Entry)}
}

// Check returns the error with which Apply would refuse the change, or nil.
func (state *State) Check(change Change) error {
	if change.Revision <= state.Revision {
		return &StaleError{Have: state.Revision, Got: change.Revision}
	}
	if change.Revision != state.Revision+1 {
		return &GapError{Have: state.Revision, Got: change.Revision}
	}
	for _, entry := range change.Puts {
		if entry.Path.Team() != change.Team {
			return &ForeignPathError{Team: change.Team, Path: entry.Path}
		}
	}
	for _, path := range change.Deletes {
		if path.Team() != change.Team {
			return &ForeignPathError{Team: change.Team, Path: path}
		}
	}
	return nil
}

// Apply applies the change. On an error the state is unchanged.
func (state *State) Apply(change Change) error {
	if err := state.Check(change); err != nil {
		return err
	}
	for _, path := range change.Deletes {
		state.remove(path)
	}
	for _, entry := range change.Puts {
		state.remove(entry.Path)
		state.entries[entry.Path] = entry
		state.Digest = state.Digest.Add(entry)
	}
	state.Revision = change.Revision
	return nil
}

func (state *State) remove(path Path) {
	old, ok := state.entries[path]
	if !ok {
		return
	}
	state.Digest = state.Digest.Remove(old)
	delete(state.entries, path)
}

// Load replaces the state by a newer snapshot. On an error the state is
// unchanged.
func (state *State) Load(snapshot Snapshot) error {
	if snapshot.Revision <= state.Revision {
		return &StaleError{Have: state.Revision, Got: snapshot.Revision}
	}
	entries := make(map[Path]Entry, len(snapshot.Entries))
	var digest Digest
	for _, entry := range snapshot.Entries {
		entries[entry.Path] = entry
		digest = digest.Add(entry)
	}
	if digest != snapshot.Digest {
		return &DigestError{Revision: snapshot.Revision, Want: snapshot.Digest, Got: digest}
	}
	state.Revision = snapshot.Revision
	state.Digest = digest
	state.entries = entries
	return nil
}

// Clone returns an independent copy.
func (state *State) Clone() *State {
	return &State{Revision: state.Revision, Digest: state.Digest, entries: maps.Clone(state.entries)}
}

// Snapshot returns the whole state, its entries sorted by path.
func (state *State) Snapshot() Snapshot {
	snapshot := Snapshot{Revision: state.Revision, Digest: state.Digest}
	for _, path := range slices.Sorted(maps.Keys(state.entries)) {
		snapshot.Entries = append(snapshot.Entries, state.entries[path])
	}
	return snapshot
}

// Entry returns the entry at the path, and false if there is none.
func (state *State) Entry(path Path) (Entry, bool) {
	entry, ok := state.entries[path]
	return entry, ok
}

// All returns the entries in no order.
func (state *State) All() iter.Seq[Entry] { return maps.Values(state.entries) }

// Team returns the entries of one team, sorted by path.
func (state *State) Team(team string) []Entry {
	var entries []Entry
	for _, entry := range state.Snapshot().Entries {
		if entry.Path.Team() == team {
			entries = append(entries, entry)
		}
	}
	return entries
}

// Difference returns the puts and deletes that turn the old entries into the new
// ones. The arguments are sorted by path, and so are the results.
func Difference(old, new []Entry) (puts []Entry, deletes []Path) {
	before := make(map[Path]Entry, len(old))
	for _, entry := range old {
		before[entry.Path] = entry
	}
	for _, entry := range new {
		if previous, ok := before[entry.Path]; !ok || !previous.Equal(entry) {
			puts = append(puts, entry)
		}
		delete(before, entry.Path)
	}
	return puts, slices.Sorted(maps.Keys(before))
}
