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

// waitOption limits the time to wait until a revision is in force.
type waitOption struct {
	Wait time.Duration `long:"wait" default:"30s" description:"how long to wait until the change is in force; 0s does not ask and ends with code 5"`
}

// wait waits until the revision is in force and prints progress. It returns a
// *notInForceError if the revision is not known to be in force within the limit.
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
	// If no VM is registered, nothing proves that no VM is serving.
	noneRegistered := report.Confirmed == 0 && len(report.Missing) == 0
	if err != nil || !report.InForce || noneRegistered || report.Refusing && commander.servesWhenCutOff(ctx, platform) {
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
// some organisation, which is also assumed if the configuration can't be read.
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

// maxNamesShown limits the number of VMs named on a progress line.
const maxNamesShown = 5

// progressInterval is the time after which an unchanged progress line is printed
// again.
const progressInterval = 5 * time.Second

// progress prints a line for each report that differs from the last printed one,
// and repeats an unchanged line once per progressInterval.
type progress struct {
	commander *Commander
	lastLine  string
	printedAt time.Time
}

func (progress *progress) print(report Report) {
	if report.InForce {
		return
	}
	missing := strings.Join(report.Missing[:min(maxNamesShown, len(report.Missing))], ", ")
	if len(report.Missing) > maxNamesShown {
		missing += ", ..."
	}
	line := fmt.Sprintf("waiting for revision %d: confirmed by %d, missing %d: %s",
		report.Revision, report.Confirmed, len(report.Missing), missing)
	now := progress.commander.Now()
	if line == progress.lastLine && now.Sub(progress.printedAt) < progressInterval {
		return
	}
	progress.lastLine, progress.printedAt = line, now
	_, _ = fmt.Fprintln(progress.commander.Err, line)
}
