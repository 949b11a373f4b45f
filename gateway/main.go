// Command gateway is a reverse proxy on a VM of the users' platform: it accepts requests
// from the balancer and forwards them to targets.
//
// # Usage
//
//	gateway                      settings from the file that the platform names
//	gateway --settings vm.ini
//	gateway --settings vm.ini --check
//	gateway --describe
//
// SIGTERM and SIGINT start a planned stop. The settings are reloaded on SIGHUP and when
// the file has changed.
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

	"godwitramp.example/gateway/internal/loader"
	"godwitramp.example/gateway/internal/starter"
	"godwitramp.example/platform"
	"godwitramp.example/shell/logger"
)

// version is the release of the program.
const version = "0.2.0"

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// linesPerEvent limits the log lines of one event in ten seconds: 50 a second, twenty
// times the request rate of a VM on a typical day.
const linesPerEvent = 500

type options struct {
	Settings string `long:"settings" description:"file with the settings of this VM" value-name:"FILE"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Describe bool   `long:"describe" description:"print the settings as a table in Markdown and exit"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	program := program{stdout: os.Stdout, stderr: os.Stderr, reload: reloadSignals()}
	os.Exit(program.run(ctx, os.Args[1:]))
}

// program runs the command line.
type program struct {
	stdout, stderr io.Writer
	reload         <-chan os.Signal
}

// printError prints one line to stderr.
func (program *program) printError(parts ...any) {
	_, _ = fmt.Fprintln(program.stderr, append([]any{"gateway:"}, parts...)...)
}

// print prints the text to stdout.
func (program *program) print(text string) { _, _ = fmt.Fprint(program.stdout, text) }

func (program *program) run(ctx context.Context, arguments []string) int {
	var options options
	parser := flags.NewParser(&options, flags.HelpFlag|flags.PassDoubleDash)
	_, err := parser.ParseArgs(arguments)
	var help *flags.Error
	switch {
	case errors.As(err, &help) && help.Type == flags.ErrHelp:
		program.print(err.Error() + "\n")
		return 0
	case err != nil:
		program.printError(err)
		return exitUsage
	case options.Version:
		program.print("gateway " + version + "\n")
		return 0
	case options.Describe:
		program.print(loader.All.Markdown())
		return 0
	}
	file := cmp.Or(options.Settings, os.Getenv(platform.SettingsVariable))
	settings, ok := program.load(file)
	if !ok {
		return exitUsage
	}
	if options.Check {
		program.print("settings are good\n")
		return 0
	}
	return program.serve(ctx, file, settings)
}

func (program *program) load(file string) (loader.Settings, bool) {
	data, err := os.ReadFile(file)
	if err != nil {
		program.printError("read settings:", err)
		return loader.Settings{}, false
	}
	settings, problems := loader.Load(file, data)
	for _, problem := range problems {
		program.printError(problem)
	}
	return settings, len(problems) == 0
}

func (program *program) serve(ctx context.Context, file string, settings loader.Settings) int {
	lines := logger.NewWriter(program.stdout)
	logContext, stopLogging := context.WithCancel(context.WithoutCancel(ctx))
	written := make(chan struct{})
	go func() {
		lines.Run(logContext)
		close(written)
	}()
	defer func() { <-written }()
	defer stopLogging()
	log := logger.NewLimited(lines, "gateway", settings.Name, linesPerEvent)
	starter := &starter.Starter{Settings: settings, Log: log}
	starter.Open()
	watcher := &watcher{file: file, settings: settings, log: log, reload: program.reload, onChange: starter.Reload}
	go watcher.run(ctx)
	if err := starter.Run(ctx); err != nil {
		log.WithError(err).Error("stopped-by-failure")
		program.printError(err)
		return exitFailed
	}
	return 0
}
