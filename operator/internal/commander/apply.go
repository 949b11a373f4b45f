package commander

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/scanner"
	"godwitramp.example/operator/internal/applier"
	"godwitramp.example/operator/internal/reader"
)

// teamChange is the output for a recorded or possible change of one team's
// subtree.
type teamChange struct {
	Team     string              `json:"team"`
	Revision uint64              `json:"revision"`
	Recorded bool                `json:"recorded"`
	Puts     []section           `json:"puts"`
	Deletes  []configurator.Path `json:"deletes"`
	// LeftOut has the withdrawn keys that a rollback did not restore.
	LeftOut []configurator.Path `json:"left-out,omitempty"`
}

func newTeamChange(result applier.Result) teamChange {
	deletes := append([]configurator.Path{}, result.Deletes...)
	return teamChange{
		Team: result.Team, Revision: result.Revision, Recorded: result.Recorded,
		Puts: sectionsOf(result.Puts), Deletes: deletes,
	}
}

// lines returns the entries to put, marked with +, and the paths to delete,
// marked with -.
func (teamChange teamChange) lines() string {
	var text strings.Builder
	for _, put := range teamChange.Puts {
		fmt.Fprintf(&text, "+ %s\n", strings.ReplaceAll(strings.TrimSpace(put.String()), "\n", "\n    "))
	}
	for _, path := range teamChange.Deletes {
		fmt.Fprintf(&text, "- [%s]\n", path)
	}
	return text.String()
}

func (teamChange teamChange) summary() string {
	if !teamChange.Recorded {
		return fmt.Sprintf("%s: nothing to change at revision %d\n", teamChange.Team, teamChange.Revision)
	}
	return fmt.Sprintf("%s: revision %d recorded, put %d, deleted %d\n",
		teamChange.Team, teamChange.Revision, len(teamChange.Puts), len(teamChange.Deletes))
}

// teamOption restricts a command to one team.
type teamOption struct {
	Team string `long:"team" description:"this team's subtree only"`
}

// teams returns the selected teams among those that the tree declares.
func (option teamOption) teams(tree *reader.Tree) ([]string, error) {
	teams := tree.Teams()
	if option.Team == "" {
		return teams, nil
	}
	if !slices.Contains(teams, option.Team) {
		return nil, &usageError{Message: fmt.Sprintf("--team %q declares nothing; allowed: %s", option.Team, strings.Join(teams, ", "))}
	}
	return []string{option.Team}, nil
}

// diffCommand shows what apply would change.
type diffCommand struct {
	commander *Commander
	teamOption
}

// Execute prints the difference of each team's subtree.
func (command *diffCommand) Execute([]string) error {
	commander := command.commander
	tree, err := commander.readDeclarations()
	if err != nil {
		return err
	}
	teams, err := command.teams(tree)
	if err != nil {
		return err
	}
	teamApplier, err := commander.applier("")
	if err != nil {
		return err
	}
	results := []teamChange{}
	var text strings.Builder
	for _, team := range teams {
		result, err := teamApplier.Difference(commander.ctx, team, applier.Replace(tree.EntriesOf(team)))
		if err != nil {
			return err
		}
		change := newTeamChange(result)
		results = append(results, change)
		fmt.Fprintf(&text, "# %s: %d to put, %d to delete, against revision %d\n%s",
			team, len(change.Puts), len(change.Deletes), change.Revision, change.lines())
	}
	return commander.print(results, text.String())
}

// applyCommand records the declarations of one or all teams.
type applyCommand struct {
	commander *Commander
	teamOption
	waitOption
	Comment string `long:"comment" description:"why the change is made"`
}

// Execute records the subtrees in the order of the teams and waits until the
// newest revision is in force.
func (command *applyCommand) Execute([]string) error {
	commander := command.commander
	tree, err := commander.readDeclarations()
	if err != nil {
		return err
	}
	teams, err := command.teams(tree)
	if err != nil {
		return err
	}
	teamApplier, err := commander.applier(command.Comment)
	if err != nil {
		return err
	}
	results := []teamChange{}
	for _, team := range teams {
		result, err := teamApplier.Change(commander.ctx, team, applier.Replace(tree.EntriesOf(team)))
		if err != nil {
			return commander.partialFailure(results, addPositions(tree, err))
		}
		results = append(results, newTeamChange(result))
	}
	return commander.printAndWait(results, command.Wait)
}

// addPositions converts an *applier.InvalidError into a *problemsError with the
// file and line of each problem. Entries that are recorded but not declared get
// the file name "recorded". Other errors are returned unchanged.
func addPositions(tree *reader.Tree, err error) error {
	var invalid *applier.InvalidError
	if !errors.As(err, &invalid) {
		return err
	}
	problems := &problemsError{}
	for _, problem := range invalid.Problems {
		position := tree.Position(problem.Path)
		if position == (scanner.Position{}) {
			position.File = "recorded"
		}
		problems.Problems = append(problems.Problems, &scanner.Problem{Position: position, Cause: problem})
	}
	return problems
}

// partialFailure prints the changes that were recorded before a team's change
// failed and wraps the error in a *partialError. It returns the error unchanged
// if nothing was recorded.
func (commander *Commander) partialFailure(results []teamChange, err error) error {
	recorded := slices.ContainsFunc(results, func(result teamChange) bool { return result.Recorded })
	if !recorded {
		return err
	}
	if printErr := commander.printChanges(changeOutput{Changes: results}); printErr != nil {
		err = errors.Join(err, printErr)
	}
	return &partialError{Cause: err}
}

// changeOutput is the output of commands that change the configuration.
type changeOutput struct {
	Changes []teamChange `json:"changes"`
	// InForce is absent if the command failed before the wait.
	InForce *inForceState `json:"in-force,omitempty"`
}

// inForceState is the output for the newest revision: whether it is known to be
// in force, the number of VMs that confirmed it, and the names of the others.
type inForceState struct {
	Revision  uint64   `json:"revision"`
	Known     bool     `json:"known"`
	Confirmed int      `json:"confirmed"`
	Missing   []string `json:"missing"`
}

// printAndWait prints the changes and waits until the newest revision is in
// force. Text is printed before the wait; JSON after it, with the result.
func (commander *Commander) printAndWait(results []teamChange, wait time.Duration) error {
	var revision uint64
	for _, result := range results {
		revision = max(revision, result.Revision)
	}
	if commander.options.Output != outputJSON {
		if err := commander.printChanges(changeOutput{Changes: results}); err != nil {
			return err
		}
		_, err := commander.wait(revision, wait)
		return err
	}
	report, waitErr := commander.wait(revision, wait)
	inForce := &inForceState{
		Revision: revision, Known: report.InForce, Confirmed: report.Confirmed, Missing: append([]string{}, report.Missing...),
	}
	return errors.Join(waitErr, commander.printChanges(changeOutput{Changes: results, InForce: inForce}))
}

// printChanges prints the output of a command that changes the configuration.
func (commander *Commander) printChanges(output changeOutput) error {
	var text strings.Builder
	for _, result := range output.Changes {
		text.WriteString(result.summary())
		for _, path := range result.LeftOut {
			fmt.Fprintf(&text, "left out: %s has been withdrawn\n", path)
		}
	}
	return commander.print(output, text.String())
}
