// Package commander implements the command line of the operators.
//
// It parses the arguments, runs one command against the platform and the VMs,
// prints the result as text or JSON, and returns an exit code that says whether
// a change is recorded and in force.
//
// # Usage
//
//	commander := &commander.Commander{Out: os.Stdout, Err: os.Stderr, Open: open}
//	os.Exit(commander.Run(ctx, os.Args[1:]))
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"godwitramp.example/operator/internal/applier"
	"godwitramp.example/operator/internal/reader"
	"godwitramp.example/shell/connector"
	"godwitramp.example/shell/describer"
	"godwitramp.example/shell/recorder"
	"godwitramp.example/shell/waiter"
)

// Report is the progress of a revision towards being in force on every VM.
type Report = waiter.Report

// Waiter waits until a revision is in force on every VM.
type Waiter interface {
	// Wait returns when the revision is in force or the context ends; the
	// report says which of the two. It calls progress whenever the report
	// changes.
	Wait(ctx context.Context, revision uint64, progress func(Report)) (Report, error)
}

// StatusClient requests the status of VMs. The address is the one on which a VM
// listens for its peers.
type StatusClient interface {
	Status(ctx context.Context, address string) (describer.Status, error)
}

// Commander runs the commands of the command line. It must not be used by
// several goroutines at a time.
type Commander struct {
	Out, Err io.Writer
	// Author is recorded with each change and shown in the history.
	Author string
	// Open returns a client of the platform at an address.
	Open func(address string) connector.Platform
	// Waiter returns the Waiter for a platform, by default a *waiter.Waiter.
	Waiter func(platform connector.Platform) Waiter
	// StatusClient requests the status of VMs. By default it is a
	// *describer.Client with the certificate files named on the command line.
	StatusClient StatusClient
	// Biller forecasts bills. Without one the command fails with ErrNotMetered.
	Biller Biller
	// Secret returns a new key, by default from crypto/rand.
	Secret func() string
	// NewID returns the ID of a change, by default from crypto/rand.
	NewID func() string
	// Now returns the current time, by default that of time.Now.
	Now func() time.Time

	options options
	ctx     context.Context
}

// options are the flags that all commands have.
type options struct {
	Platform string `long:"platform" env:"GODWITRAMP_PLATFORM" description:"address of the platform, such as http://127.0.0.1:6000"`
	Settings string `long:"settings" default:"settings" description:"directory with one folder a team"`
	Output   string `long:"output" choice:"text" choice:"json" default:"text" description:"form of the output"`
}

// Run runs the command that the arguments name and returns its exit code.
// Errors are printed to Err.
func (commander *Commander) Run(ctx context.Context, arguments []string) int {
	commander.ctx = ctx
	commander.options = options{}
	commander.setDefaults()
	parser := flags.NewNamedParser("operator", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Drives a godwitramp fleet. Exit codes:\n\n" + ExitCodeList()
	if err := commander.addCommands(parser); err != nil {
		return commander.reportError(err)
	}
	_, err := parser.ParseArgs(arguments)
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(commander.Out, err)
		return exitDone
	}
	if err != nil {
		return commander.reportError(err)
	}
	return exitDone
}

func (commander *Commander) setDefaults() {
	if commander.Secret == nil {
		commander.Secret = newSecret
	}
	if commander.Now == nil {
		commander.Now = time.Now
	}
	if commander.Waiter == nil {
		commander.Waiter = func(platform connector.Platform) Waiter { return &waiter.Waiter{Platform: platform} }
	}
}

// reportError prints the error and returns its exit code.
func (commander *Commander) reportError(err error) int {
	_, _ = fmt.Fprintln(commander.Err, "operator:", err)
	return exitCode(err)
}

// platform returns a client of the platform named on the command line.
func (commander *Commander) platform() (connector.Platform, error) {
	if commander.options.Platform == "" {
		return nil, &usageError{Message: "--platform is missing; allowed: a URL such as http://127.0.0.1:6000, or GODWITRAMP_PLATFORM"}
	}
	return commander.Open(commander.options.Platform), nil
}

// recorder returns access to the recorded configuration.
func (commander *Commander) recorder() (*recorder.Recorder, error) {
	platform, err := commander.platform()
	if err != nil {
		return nil, err
	}
	return &recorder.Recorder{Platform: platform}, nil
}

func (commander *Commander) applier(comment string) (*applier.Applier, error) {
	recorder, err := commander.recorder()
	if err != nil {
		return nil, err
	}
	return &applier.Applier{Recorder: recorder, Author: commander.Author, Comment: comment, NewID: commander.NewID}, nil
}

// readDeclarations returns the declarations in the settings directory, or a
// *problemsError that lists every mistake.
func (commander *Commander) readDeclarations() (*reader.Tree, error) {
	tree, err := reader.Read(os.DirFS(commander.options.Settings))
	if err != nil {
		return nil, fmt.Errorf("directory %q: %w", commander.options.Settings, err)
	}
	if len(tree.Problems) > 0 {
		return nil, &problemsError{Problems: tree.Problems}
	}
	return tree, nil
}
