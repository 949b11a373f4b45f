// Command entry is the reverse proxy that runs on each entry VM, between the balancer
// and the upstreams.
//
// # Usage
//
//	entry --settings vm-01.ini
//	entry --settings vm-01.ini --set stop.grace=10s
//	entry --settings vm-01.ini --check
//	entry --describe
//
// SIGTERM and SIGINT start a planned stop. The exit code is 1 if the VM failed, and 2 if
// the flags, the settings or, with --check, the certificates are invalid.
package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"godwitramp.example/entry/internal/loader"
	"godwitramp.example/entry/internal/starter"
	"godwitramp.example/shell/certifier"
	"godwitramp.example/shell/logger"
)

// version is the release of the program.
const version = "0.1.0"

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	Settings string   `long:"settings" description:"file with the settings of this VM" value-name:"FILE"`
	Set      []string `long:"set" description:"a setting that wins over the file; may be given more than once" value-name:"SECTION.NAME=VALUE"`
	Check    bool     `long:"check" description:"check the settings, files and certificates, and exit"`
	Describe bool     `long:"describe" description:"print the settings as a table in Markdown and exit"`
	Version  bool     `long:"version" description:"print the version and exit"`
}

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	program := program{stdout: os.Stdout, stderr: os.Stderr}
	os.Exit(program.run(ctx, os.Args[1:]))
}

// program runs the command line and writes to the given outputs.
type program struct {
	stdout, stderr io.Writer
}

// printError prints one line to stderr.
func (program *program) printError(parts ...any) {
	_, _ = fmt.Fprintln(program.stderr, append([]any{"entry:"}, parts...)...)
}

// print prints the text to stdout.
func (program *program) print(text string) { _, _ = fmt.Fprint(program.stdout, text) }

func (program *program) run(ctx context.Context, arguments []string) int {
	var options options
	parser := flags.NewParser(&options, flags.HelpFlag|flags.PassDoubleDash)
	_, err := parser.ParseArgs(arguments)
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		program.print(err.Error() + "\n")
		return 0
	}
	if err != nil {
		program.printError(err)
		return exitUsage
	}
	if options.Version {
		program.print("entry " + version + "\n")
		return 0
	}
	if options.Describe {
		program.print(loader.Page())
		return 0
	}
	settings, ok := program.load(options)
	if !ok {
		return exitUsage
	}
	if options.Check {
		return program.check(settings)
	}
	return program.serve(ctx, settings)
}

func (program *program) load(options options) (loader.Settings, bool) {
	var data []byte
	if options.Settings != "" {
		var err error
		data, err = os.ReadFile(options.Settings)
		if err != nil {
			program.printError("read settings:", err)
			return loader.Settings{}, false
		}
	}
	settings, problems := loader.Load(cmp.Or(options.Settings, "settings"), data, options.Set)
	for _, problem := range problems {
		program.printError(problem)
	}
	return settings, len(problems) == 0
}

// check returns the exit code of --check. It loads the certificates, but doesn't listen on
// any port.
func (program *program) check(settings loader.Settings) int {
	files := certifier.Files{Authority: settings.Authority, Certificate: settings.Certificate, Key: settings.Key}
	if _, err := certifier.Load(files); err != nil {
		program.printError("load certificates:", err)
		return exitUsage
	}
	program.print("settings are good\n")
	return 0
}

func (program *program) serve(ctx context.Context, settings loader.Settings) int {
	log := logger.New(program.stderr, "entry", settings.Name)
	starter := &starter.Starter{Settings: settings, Version: version, Log: log}
	if err := starter.Run(ctx); err != nil {
		program.printError(err)
		return exitFailed
	}
	return 0
}
