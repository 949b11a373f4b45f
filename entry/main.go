// Command entry is the program of an entry VM: it stands between the
// balancer and the upstreams.
//
// # Usage
//
//	entry --settings vm-01.ini
//	entry --settings vm-01.ini --set stop.grace=10s
//	entry --settings vm-01.ini --check
//	entry --describe
//
// SIGTERM and SIGINT begin a planned stop.
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
	program := program{out: os.Stdout, problems: os.Stderr}
	os.Exit(program.run(ctx, os.Args[1:]))
}

// program is the command line over its output.
type program struct {
	out, problems io.Writer
}

// complain writes one line.
func (program *program) complain(parts ...any) {
	_, _ = fmt.Fprintln(program.problems, append([]any{"entry:"}, parts...)...)
}

// say writes to the output.
func (program *program) say(text string) { _, _ = fmt.Fprint(program.out, text) }

func (program *program) run(ctx context.Context, arguments []string) int {
	var options options
	parser := flags.NewParser(&options, flags.HelpFlag|flags.PassDoubleDash)
	_, err := parser.ParseArgs(arguments)
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		program.say(err.Error() + "\n")
		return 0
	}
	if err != nil {
		program.complain(err)
		return exitUsage
	}
	if options.Version {
		program.say("entry " + version + "\n")
		return 0
	}
	if options.Describe {
		program.say(loader.Page())
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
			program.complain("read settings:", err)
			return loader.Settings{}, false
		}
	}
	settings, problems := loader.Load(cmp.Or(options.Settings, "settings"), data, options.Set)
	for _, problem := range problems {
		program.complain(problem)
	}
	return settings, len(problems) == 0
}

// check reports whether the program could start, as far as that can be told
// without taking its ports.
func (program *program) check(settings loader.Settings) int {
	files := certifier.Files{Authority: settings.Authority, Certificate: settings.Certificate, Key: settings.Key}
	if _, err := certifier.Load(files); err != nil {
		program.complain("load certificates:", err)
		return exitUsage
	}
	program.say("settings are good\n")
	return 0
}

func (program *program) serve(ctx context.Context, settings loader.Settings) int {
	log := logger.New(program.problems, "entry", settings.Name)
	starter := &starter.Starter{Settings: settings, Version: version, Log: log}
	if err := starter.Run(ctx); err != nil {
		program.complain(err)
		return exitFailed
	}
	return 0
}
