// Package commander is the operators' command: it reads the command line,
// does what it asks and answers with an exit code.
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

// Report says how far a revision is in force.
type Report = waiter.Report

// Waiter waits until a revision is in force on every VM.
type Waiter interface {
	// Wait returns when the revision is in force or the context ends; the
	// report says which. It calls progress whenever the report changes.
	Wait(ctx context.Context, revision uint64, progress func(Report)) (Report, error)
}

// Asker asks a VM for its status.
type Asker interface {
	Status(ctx context.Context, address string) (describer.Status, error)
}

// Commander runs commands.
type Commander struct {
	Out, Err io.Writer
	// Author stands in the history beside each change.
	Author string
	// Open connects to the platform at an address.
	Open func(address string) connector.Platform
	// Waiter waits for revisions; a *waiter.Waiter unless set.
	Waiter func(platform connector.Platform) Waiter
	// Asker asks VMs; one with the certificates of the command line unless set.
	Asker Asker
	// Biller forecasts bills; without one there is no forecast.
	Biller Biller
	// Secret returns a new key; one from crypto/rand unless set.
	Secret func() string
	// NewID returns the ID of a change; one from crypto/rand unless set.
	NewID func() string
	// Now returns the time; time.Now unless set.
	Now func() time.Time

	options options
	ctx     context.Context
}

// options are the flags of every command.
type options struct {
	Platform string `long:"platform" env:"GODWITRAMP_PLATFORM" description:"address of the platform, such as http://127.0.0.1:6000"`
	Settings string `long:"settings" default:"settings" description:"directory with one folder a team"`
	Output   string `long:"output" choice:"text" choice:"json" default:"text" description:"form of the output"`
}

// Run does what the arguments ask and returns the exit code.
func (commander *Commander) Run(ctx context.Context, arguments []string) int {
	commander.ctx = ctx
	commander.options = options{}
	commander.setDefaults()
	parser := flags.NewNamedParser("operator", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Drives a godwitramp fleet. Exit codes:\n\n" + ExitPage()
	if err := commander.addCommands(parser); err != nil {
		return commander.fail(err)
	}
	_, err := parser.ParseArgs(arguments)
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(commander.Out, err)
		return exitDone
	}
	if err != nil {
		return commander.fail(err)
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

func (commander *Commander) fail(err error) int {
	_, _ = fmt.Fprintln(commander.Err, "operator:", err)
	return exitCode(err)
}

// platform connects to the platform that the command line names.
func (commander *Commander) platform() (connector.Platform, error) {
	if commander.options.Platform == "" {
		return nil, &usageError{Message: "--platform is missing; allowed: a URL such as http://127.0.0.1:6000, or GODWITRAMP_PLATFORM"}
	}
	return commander.Open(commander.options.Platform), nil
}

// recorder reads and writes the recorded configuration.
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

// read returns the declarations, or a *problemsError with every mistake.
func (commander *Commander) read() (*reader.Tree, error) {
	tree, err := reader.Read(os.DirFS(commander.options.Settings))
	if err != nil {
		return nil, fmt.Errorf("directory %q: %w", commander.options.Settings, err)
	}
	if len(tree.Problems) > 0 {
		return nil, &problemsError{Problems: tree.Problems}
	}
	return tree, nil
}
