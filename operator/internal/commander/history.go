package commander

import (
	"fmt"
	"strings"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/withdrawer"
	"godwitramp.example/operator/internal/applier"
	"godwitramp.example/shell/recorder"
)

// showCommand prints recorded entries.
type showCommand struct {
	commander *Commander
	Args      struct {
		Path string `positional-arg-name:"PATH" description:"entries at and below this path; all unless given"`
	} `positional-args:"yes"`
}

// showOutput is the output of show.
type showOutput struct {
	Revision uint64    `json:"revision"`
	Digest   string    `json:"digest"`
	Entries  []section `json:"entries"`
}

// Execute prints the entries in INI format.
func (command *showCommand) Execute([]string) error {
	commander := command.commander
	recorder, err := commander.recorder()
	if err != nil {
		return err
	}
	state, head, err := recorder.Load(commander.ctx)
	if err != nil {
		return fmt.Errorf("read recorded configuration: %w", err)
	}
	result := showOutput{Revision: head.Revision, Digest: state.Digest.String(), Entries: []section{}}
	text := fmt.Sprintf("# revision %d, digest %s\n", result.Revision, result.Digest)
	for _, entry := range sectionsOf(state.Snapshot().Entries) {
		if !atOrBelow(entry.Path, command.Args.Path) {
			continue
		}
		result.Entries = append(result.Entries, entry)
		text += "\n" + entry.String()
	}
	return commander.print(result, text)
}

// atOrBelow reports whether a path is parent or below it.
func atOrBelow(path configurator.Path, parent string) bool {
	parent = strings.TrimSuffix(parent, "/")
	return string(path) == parent || strings.HasPrefix(string(path), parent+"/")
}

// historyCommand lists recorded changes.
type historyCommand struct {
	commander *Commander
	teamOption
	Limit int `long:"limit" default:"20" description:"how many changes to list"`
}

// historyEntry is a change in the output of history.
type historyEntry struct {
	Revision uint64 `json:"revision"`
	Team     string `json:"team"`
	Author   string `json:"author"`
	Comment  string `json:"comment"`
	ChangeID string `json:"change-id"`
	Puts     int    `json:"puts"`
	Deletes  int    `json:"deletes"`
}

// Execute prints the changes, newest first.
func (command *historyCommand) Execute([]string) error {
	commander := command.commander
	if err := checkLimit(command.Limit); err != nil {
		return err
	}
	recorder, err := commander.recorder()
	if err != nil {
		return err
	}
	head, err := recorder.Head(commander.ctx)
	if err != nil {
		return fmt.Errorf("read head: %w", err)
	}
	changes := []historyEntry{}
	var text strings.Builder
	for revision := head.Revision; revision > 0 && len(changes) < command.Limit; revision-- {
		change, ok, err := recorder.Change(commander.ctx, revision)
		if err != nil {
			return fmt.Errorf("read change of revision %d: %w", revision, err)
		}
		if !ok {
			break // older changes have been trimmed; only the snapshot contains them
		}
		if command.Team != "" && command.Team != change.Team {
			continue
		}
		entry := historyEntry{change.Revision, change.Team, change.Author, change.Comment, change.ID, len(change.Puts), len(change.Deletes)}
		changes = append(changes, entry)
		fmt.Fprintf(&text, "%d  %s  by %s  put %d, deleted %d  %s  (%s)\n",
			entry.Revision, entry.Team, entry.Author, entry.Puts, entry.Deletes, entry.Comment, entry.ChangeID)
	}
	return commander.print(changes, text.String())
}

// rollbackCommand records a team's entries of an older revision as a new change.
type rollbackCommand struct {
	commander *Commander
	Team      string `long:"team" required:"yes" description:"the team whose subtree is rolled back"`
	To        uint64 `long:"to" required:"yes" description:"the revision whose entries are recorded anew"`
	waitOption
}

// Execute records the older entries without the keys that have been withdrawn.
func (command *rollbackCommand) Execute([]string) error {
	commander := command.commander
	comment := fmt.Sprintf("rollback to revision %d", command.To)
	teamApplier, err := commander.applier(comment)
	if err != nil {
		return err
	}
	entries, err := command.entriesToRestore(teamApplier.Recorder)
	if err != nil {
		return err
	}
	var withdrawn []configurator.Path
	edit := func(recorded []configurator.Entry) ([]configurator.Entry, []configurator.Path, error) {
		var restored []configurator.Entry
		restored, withdrawn = withdrawer.DropWithdrawn(recorded, entries)
		return applier.Replace(restored)(recorded)
	}
	result, err := teamApplier.Change(commander.ctx, command.Team, edit)
	if err != nil {
		return err
	}
	output := newTeamChange(result)
	output.LeftOut = withdrawn
	return commander.printAndWait([]teamChange{output}, command.Wait)
}

// entriesToRestore returns the team's entries at the revision to roll back to, or
// a *usageError if that revision does not exist or is no longer stored.
func (command *rollbackCommand) entriesToRestore(recorder *recorder.Recorder) ([]configurator.Entry, error) {
	ctx := command.commander.ctx
	head, err := recorder.Head(ctx)
	if err != nil {
		return nil, fmt.Errorf("read head: %w", err)
	}
	if command.To > head.Revision {
		message := fmt.Sprintf("--to %d is newer than the recorded configuration; allowed: 1 to %d", command.To, head.Revision)
		return nil, &usageError{Message: message}
	}
	state, err := recorder.StateAt(ctx, command.To)
	if isTrimmed(err) {
		message := fmt.Sprintf("--to %d is no longer on record; check its files out of version control and apply them", command.To)
		return nil, &usageError{Message: message}
	}
	if err != nil {
		return nil, fmt.Errorf("read revision %d: %w", command.To, err)
	}
	return state.Team(command.Team), nil
}

func isTrimmed(err error) bool { return hasType[*recorder.MissingChangeError](err) }
