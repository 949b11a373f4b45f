package commander

import (
	"context"
	"fmt"
	"strings"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/shell/connector"
	"godwitramp.example/shell/recorder"
)

// waitOption bounds the wait for a revision to be in force.
type waitOption struct {
	Wait time.Duration `long:"wait" default:"30s" description:"how long to wait until the change is in force; 0s does not ask and ends with code 5"`
}

// wait returns a *notInForceError unless the revision is in force in time.
func (commander *Commander) wait(revision uint64, limit time.Duration) (Report, error) {
	if limit <= 0 {
		return Report{}, &notInForceError{Report: Report{Revision: revision}}
	}
	platform, err := commander.platform()
	if err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithTimeout(commander.ctx, limit)
	defer cancel()
	progress := &progress{commander: commander}
	report, err := commander.Waiter(platform).Wait(ctx, revision, progress.print)
	if err != nil {
		_, _ = fmt.Fprintln(commander.Err, "operator: wait until in force:", err)
	}
	report.Revision = revision
	// Without a single VM on record nothing proves that none is serving.
	unproven := report.Confirmed == 0 && len(report.Missing) == 0
	if err != nil || !report.InForce || unproven || report.Refusing && commander.servesWhenCutOff(ctx, platform) {
		report.InForce = false
		return report, &notInForceError{Report: report}
	}
	_, _ = fmt.Fprintf(commander.Err, "revision %d is in force, confirmed by %d\n", revision, report.Confirmed)
	if report.Refusing {
		_, _ = fmt.Fprintf(commander.Err, "these VMs refuse requests until they have it: %s\n",
			strings.Join(report.Missing, ", "))
	}
	return report, nil
}

// servesWhenCutOff reports whether a VM that lacks a revision may go on serving
// some organisation. It says so too if the configuration can't be read.
func (commander *Commander) servesWhenCutOff(ctx context.Context, platform connector.Platform) bool {
	state, _, err := (&recorder.Recorder{Platform: platform}).Load(ctx)
	if err != nil {
		return true
	}
	table, _ := configurator.Compile(state.All())
	for organisation := range table.Organisations() {
		if organisation.WhenCutOff == configurator.ServeWhenCutOff {
			return true
		}
	}
	return false
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
