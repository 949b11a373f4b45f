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

// changed is what a command changes, or would change, in one team's subtree.
type changed struct {
	Team     string              `json:"team"`
	Revision uint64              `json:"revision"`
	Recorded bool                `json:"recorded"`
	Puts     []section           `json:"puts"`
	Deletes  []configurator.Path `json:"deletes"`
	// LeftOut has withdrawn keys that a rollback does not bring back.
	LeftOut []configurator.Path `json:"left-out,omitempty"`
}

func changedBy(result applier.Result) changed {
	deletes := append([]configurator.Path{}, result.Deletes...)
	return changed{
		Team: result.Team, Revision: result.Revision, Recorded: result.Recorded,
		Puts: sectionsOf(result.Puts), Deletes: deletes,
	}
}

// lines returns the entries that differ, one a line.
func (changed changed) lines() string {
	var text strings.Builder
	for _, put := range changed.Puts {
		fmt.Fprintf(&text, "+ %s\n", strings.ReplaceAll(strings.TrimSpace(put.String()), "\n", "\n    "))
	}
	for _, path := range changed.Deletes {
		fmt.Fprintf(&text, "- [%s]\n", path)
	}
	return text.String()
}

func (changed changed) summary() string {
	if !changed.Recorded {
		return fmt.Sprintf("%s: nothing to change at revision %d\n", changed.Team, changed.Revision)
	}
	return fmt.Sprintf("%s: revision %d recorded, put %d, deleted %d\n",
		changed.Team, changed.Revision, len(changed.Puts), len(changed.Deletes))
}

// teamOption selects teams.
type teamOption struct {
	Team string `long:"team" description:"this team's subtree only"`
}

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

// Execute prints the difference.
func (command *diffCommand) Execute([]string) error {
	commander := command.commander
	tree, err := commander.read()
	if err != nil {
		return err
	}
	teams, err := command.teams(tree)
	if err != nil {
		return err
	}
	applying, err := commander.applier("")
	if err != nil {
		return err
	}
	results := []changed{}
	var text strings.Builder
	for _, team := range teams {
		result, err := applying.Difference(commander.ctx, team, applier.Replace(tree.EntriesOf(team)))
		if err != nil {
			return err
		}
		next := changedBy(result)
		results = append(results, next)
		fmt.Fprintf(&text, "# %s: %d to put, %d to delete, against revision %d\n%s",
			team, len(next.Puts), len(next.Deletes), next.Revision, next.lines())
	}
	return commander.print(results, text.String())
}

// applyCommand records declarations.
type applyCommand struct {
	commander *Commander
	teamOption
	waitOption
	Comment string `long:"comment" description:"why the change is made"`
}

// Execute records the subtrees and waits until the newest is in force.
func (command *applyCommand) Execute([]string) error {
	commander := command.commander
	tree, err := commander.read()
	if err != nil {
		return err
	}
	teams, err := command.teams(tree)
	if err != nil {
		return err
	}
	applying, err := commander.applier(command.Comment)
	if err != nil {
		return err
	}
	results := []changed{}
	for _, team := range teams {
		result, err := applying.Change(commander.ctx, team, applier.Replace(tree.EntriesOf(team)))
		if err != nil {
			return commander.partial(results, locate(tree, err))
		}
		results = append(results, changedBy(result))
	}
	return commander.finish(results, command.Wait)
}

// locate adds to the problems of a refused change where their entries stand.
func locate(tree *reader.Tree, err error) error {
	var invalid *applier.InvalidError
	if !errors.As(err, &invalid) {
		return err
	}
	located := &problemsError{}
	for _, problem := range invalid.Problems {
		position := tree.Position(problem.Path)
		if position == (scanner.Position{}) {
			position.File = "recorded"
		}
		located.Problems = append(located.Problems, &scanner.Problem{Position: position, Cause: problem})
	}
	return located
}

// partial prints what was recorded before a team's change failed.
func (commander *Commander) partial(results []changed, err error) error {
	recorded := slices.ContainsFunc(results, func(result changed) bool { return result.Recorded })
	if !recorded {
		return err
	}
	if printed := commander.report(applied{Changes: results}); printed != nil {
		err = errors.Join(err, printed)
	}
	return &partialError{Cause: err}
}

// applied is the output of commands that change the configuration.
type applied struct {
	Changes []changed `json:"changes"`
	// InForce is missing if the command failed before the wait.
	InForce *force `json:"in-force,omitempty"`
}

// force says how far the newest revision is in force.
type force struct {
	Revision  uint64   `json:"revision"`
	Known     bool     `json:"known"`
	Confirmed int      `json:"confirmed"`
	Missing   []string `json:"missing"`
}

// finish waits until what has been recorded is in force. Text is printed
// before the wait, JSON after it.
func (commander *Commander) finish(results []changed, wait time.Duration) error {
	var revision uint64
	for _, result := range results {
		revision = max(revision, result.Revision)
	}
	if commander.options.Output != outputJSON {
		if err := commander.report(applied{Changes: results}); err != nil {
			return err
		}
		_, err := commander.wait(revision, wait)
		return err
	}
	report, failed := commander.wait(revision, wait)
	inForce := &force{
		Revision: revision, Known: report.InForce, Confirmed: report.Confirmed, Missing: append([]string{}, report.Missing...),
	}
	return errors.Join(failed, commander.report(applied{Changes: results, InForce: inForce}))
}

func (commander *Commander) report(output applied) error {
	var text strings.Builder
	for _, result := range output.Changes {
		text.WriteString(result.summary())
		for _, path := range result.LeftOut {
			fmt.Fprintf(&text, "left out: %s has been withdrawn\n", path)
		}
	}
	return commander.print(output, text.String())
}
