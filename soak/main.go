// Command soak runs VMs as processes on loopback, injects faults drawn from a seed,
// and checks what callers and targets observe against the guarantees of the fleet.
//
// # Usage
//
//	soak --program build/bin/gateway --seed 7
//	soak --program build/bin/gateway --seed 7 --duration 2m --size 40
//
// It prints each violated guarantee with the ID of the request, and keeps the logs of
// a soak with violations. The exit status is 1 after a violation or a failure to run,
// and 2 after wrong usage.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"godwitramp.example/soak/internal/planner"
	"godwitramp.example/soak/internal/runner"
)

type options struct {
	Program  string        `long:"program" required:"yes" description:"program of a VM" value-name:"FILE"`
	Former   string        `long:"former-program" description:"program that every VM runs until it starts again, as during an upgrade" value-name:"FILE"`
	Seed     uint64        `long:"seed" required:"yes" description:"seed of the plan of faults"`
	Duration time.Duration `long:"duration" default:"30s" description:"how long faults are brought about"`
	Size     int           `long:"size" default:"12" description:"number of VMs"`
	Logs     string        `long:"logs" default:"build/soak" description:"where logs are kept" value-name:"DIRECTORY"`
	Plan     bool          `long:"plan" description:"print the plan of faults and exit"`
}

const (
	exitViolation = 1
	exitUsage     = 2
	// targetsPerVM is high enough that targets don't limit the throughput.
	targetsPerVM = 0.75
	minTargets   = 9
	callersPerVM = 3
	// printedViolations is the maximum number of violations that are printed.
	printedViolations = 20
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	var options options
	if _, err := flags.Parse(&options); err != nil {
		var help *flags.Error
		if errors.As(err, &help) && help.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitUsage)
	}
	os.Exit(run(ctx, options, os.Stdout))
}

func run(ctx context.Context, options options, out io.Writer) int {
	if options.Size < 1 || options.Duration <= 0 {
		_, _ = fmt.Fprintf(out, "size is %d and duration %s; allowed: a size of 1 or more and a duration above 0\n", options.Size, options.Duration)
		return exitUsage
	}
	plan := planner.Plan{
		Seed: options.Seed, Duration: options.Duration, VMs: options.Size,
		Targets: max(minTargets, int(targetsPerVM*float64(options.Size))), DataCentres: runner.DataCentres(),
	}
	if options.Plan {
		for _, fault := range plan.Faults() {
			_, _ = fmt.Fprintf(out, "%s for %s: %s %d\n", fault.At, fault.Duration, fault.Kind, fault.Subject)
		}
		return 0
	}
	directory := filepath.Join(options.Logs, fmt.Sprint("seed-", options.Seed))
	result, err := soak(ctx, options, directory, plan)
	if err != nil {
		_, _ = fmt.Fprintf(out, "seed=%d: %v; logs are in %s\n", options.Seed, err, directory)
		return exitViolation
	}
	report(out, plan, result)
	if len(result.Violations) > 0 {
		_, _ = fmt.Fprintf(out, "seed=%d broke promises; logs are in %s\n", options.Seed, directory)
		return exitViolation
	}
	if err := os.RemoveAll(directory); err != nil {
		_, _ = fmt.Fprintln(out, "remove logs:", err)
	}
	return 0
}

func soak(ctx context.Context, options options, directory string, plan planner.Plan) (runner.Result, error) {
	if err := os.RemoveAll(directory); err != nil {
		return runner.Result{}, fmt.Errorf("remove old logs: %w", err)
	}
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return runner.Result{}, fmt.Errorf("make directory for logs: %w", err)
	}
	return (&runner.Runner{
		Program: options.Program, Former: options.Former, Directory: directory, Plan: plan, CallersPerVM: callersPerVM,
	}).Run(ctx)
}

// report prints the counts of faults, answers and checks, and the first violations.
func report(out io.Writer, plan planner.Plan, result runner.Result) {
	answers := make(map[string]int)
	for _, call := range result.Calls {
		if call.Answer.Status > 0 {
			answers[fmt.Sprint(call.Answer.Status)]++
		} else {
			answers[string(call.Outcome)]++
		}
	}
	faults := 0
	for _, count := range result.Faults {
		faults += count
	}
	_, _ = fmt.Fprintf(out, "seed=%d vms=%d targets=%d faults=%d kinds=%d requests=%d arrivals=%d violations=%d\n",
		plan.Seed, plan.VMs, plan.Targets, faults, len(result.Faults), len(result.Calls), result.Arrivals, len(result.Violations))
	_, _ = fmt.Fprintln(out, "answers:", formatCounts(answers))
	_, _ = fmt.Fprintln(out, "checked:", formatCounts(result.Checked))
	broken := make(map[string]int)
	for _, violation := range result.Violations {
		broken[violation.Promise]++
	}
	_, _ = fmt.Fprintln(out, "violations:", formatCounts(broken))
	for _, violation := range result.Violations[:min(len(result.Violations), printedViolations)] {
		_, _ = fmt.Fprintf(out, "broken: seed=%d %s\n", plan.Seed, violation)
	}
}

// formatCounts returns the "name=count" pairs in the order of their names.
func formatCounts(values map[string]int) string {
	text := ""
	for _, name := range slices.Sorted(maps.Keys(values)) {
		text += fmt.Sprintf("%s=%d ", name, values[name])
	}
	return text
}
