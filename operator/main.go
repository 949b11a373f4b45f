// Command operator is what operators drive the fleet with.
//
// # Usage
//
//	operator check --settings settings
//	operator apply --settings settings --platform http://127.0.0.1:6000
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/scanner"
	"godwitramp.example/operator/internal/applier"
	"godwitramp.example/operator/internal/reader"
	"godwitramp.example/shell/connector"
	"godwitramp.example/shell/recorder"
)

type options struct {
	Check checkCommand `command:"check" description:"check declarations without touching the fleet"`
	Apply applyCommand `command:"apply" description:"apply declarations to the fleet"`
}

func main() {
	var options options
	if _, err := flags.Parse(&options); err != nil {
		var help *flags.Error
		if errors.As(err, &help) && help.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
}

// problemsError carries every mistake in the declarations.
type problemsError struct {
	problems []*scanner.Problem
}

// Error returns one line for each mistake.
func (err *problemsError) Error() string {
	var joined []error
	for _, problem := range err.problems {
		joined = append(joined, problem)
	}
	return errors.Join(joined...).Error()
}

func read(directory string) ([]configurator.Entry, error) {
	entries, problems, err := reader.Read(os.DirFS(directory))
	if err != nil {
		return nil, fmt.Errorf("directory %q: %w", directory, err)
	}
	if len(problems) > 0 {
		return nil, &problemsError{problems: problems}
	}
	return entries, nil
}

type checkCommand struct {
	Settings string `long:"settings" default:"settings" description:"directory with one folder a team"`
}

// Execute checks the declarations.
func (command *checkCommand) Execute([]string) error {
	entries, err := read(command.Settings)
	if err != nil {
		return err
	}
	fmt.Printf("%d entries of %d teams are good\n", len(entries), len(reader.Teams(entries)))
	return nil
}

type applyCommand struct {
	Settings string `long:"settings" default:"settings" description:"directory with one folder a team"`
	Platform string `long:"platform" required:"yes" description:"address of the platform"`
	Team     string `long:"team" description:"apply this team's subtree only"`
	Comment  string `long:"comment" description:"why the change is made"`
}

// Execute applies the declarations.
func (command *applyCommand) Execute([]string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	entries, err := read(command.Settings)
	if err != nil {
		return err
	}
	platform := &connector.Client{Base: command.Platform}
	applier := &applier.Applier{
		Recorder: &recorder.Recorder{Platform: platform}, Author: os.Getenv("USER"), Comment: command.Comment,
	}
	for _, team := range reader.Teams(entries) {
		if command.Team != "" && command.Team != team {
			continue
		}
		result, err := applier.Apply(ctx, team, reader.Of(entries, team))
		if err != nil {
			return err
		}
		fmt.Printf("%s: revision %d recorded, %d entries put, %d deleted\n", team, result.Revision, len(result.Puts), len(result.Deletes))
	}
	return nil
}
