package commander

import (
	"context"
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
		Team: result.Team, Revision: result.Revision, Recorded: result.Changed,
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
		result, err := applying.Difference(commander.ctx, team, applier.Replace(tree.Of(team)))
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

// waitOption bounds the wait for a revision to be in force.
type waitOption struct {
	Wait time.Duration `long:"wait" default:"30s" description:"how long to wait until the change is in force; 0s waits not at all"`
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
		result, err := applying.Change(commander.ctx, team, applier.Replace(tree.Of(team)))
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
	if printed := commander.report(results); printed != nil {
		err = errors.Join(err, printed)
	}
	return &partialError{Cause: err}
}

// finish prints what has been recorded and waits until it is in force.
func (commander *Commander) finish(results []changed, wait time.Duration) error {
	if err := commander.report(results); err != nil {
		return err
	}
	var revision uint64
	for _, result := range results {
		revision = max(revision, result.Revision)
	}
	return commander.wait(revision, wait)
}

func (commander *Commander) report(results []changed) error {
	var text strings.Builder
	for _, result := range results {
		text.WriteString(result.summary())
		for _, path := range result.LeftOut {
			fmt.Fprintf(&text, "left out: %s has been withdrawn\n", path)
		}
	}
	return commander.print(results, text.String())
}

// wait returns a *notInForceError unless the revision is in force in time.
func (commander *Commander) wait(revision uint64, limit time.Duration) error {
	platform, err := commander.platform()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(commander.ctx, limit)
	defer cancel()
	progress := &progress{commander: commander}
	report, err := commander.Waiter(platform).Wait(ctx, revision, progress.print)
	if err != nil {
		_, _ = fmt.Fprintln(commander.Err, "operator: wait until in force:", err)
	}
	report.Revision = revision
	if err != nil || !report.InForce {
		return &notInForceError{Report: report}
	}
	_, _ = fmt.Fprintf(commander.Err, "revision %d is in force, confirmed by %d\n", revision, report.Confirmed)
	return nil
}

// namesShown bounds the names on a line of progress.
const namesShown = 5

// progressPeriod is how often an unchanged report is printed again.
const progressPeriod = 5 * time.Second

// progress prints reports that change, and others now and then.
type progress struct {
	commander *Commander
	line      string
	printed   time.Time
}

func (progress *progress) print(report Report) {
	if report.InForce {
		return
	}
	missing := strings.Join(report.Missing[:min(namesShown, len(report.Missing))], ", ")
	if len(report.Missing) > namesShown {
		missing += ", ..."
	}
	line := fmt.Sprintf("waiting for revision %d: confirmed by %d, missing %d: %s",
		report.Revision, report.Confirmed, len(report.Missing), missing)
	now := progress.commander.Now()
	if line == progress.line && now.Sub(progress.printed) < progressPeriod {
		return
	}
	progress.line, progress.printed = line, now
	_, _ = fmt.Fprintln(progress.commander.Err, line)
}
