// Command entry is the program of an entry VM: it stands between the
// balancer and the upstreams.
//
// # Usage
//
//	entry --settings vm-01.ini
//	entry --settings vm-01.ini --check
//
// SIGTERM and SIGINT begin a planned stop.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"godwitramp.example/entry/internal/loader"
	"godwitramp.example/entry/internal/starter"
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
	Settings string `long:"settings" description:"file with the settings of this VM" value-name:"FILE"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	var options options
	parser := flags.NewParser(&options, flags.HelpFlag|flags.PassDoubleDash)
	_, err := parser.ParseArgs(arguments)
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		fmt.Println(err)
		return 0
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "entry:", err)
		return exitUsage
	}
	if options.Version {
		fmt.Println("entry", version)
		return 0
	}
	settings, ok := load(options.Settings)
	if !ok {
		return exitUsage
	}
	if options.Check {
		fmt.Println("settings are good")
		return 0
	}
	return serve(settings)
}

func load(file string) (loader.Settings, bool) {
	if file == "" {
		fmt.Fprintln(os.Stderr, "entry: --settings is missing; allowed: the path of an INI file")
		return loader.Settings{}, false
	}
	data, err := os.ReadFile(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "entry: read settings:", err)
		return loader.Settings{}, false
	}
	settings, problems := loader.Load(file, data)
	for _, problem := range problems {
		fmt.Fprintln(os.Stderr, "entry:", problem)
	}
	return settings, len(problems) == 0
}

func serve(settings loader.Settings) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	log := logger.New(os.Stderr, "entry", settings.Name)
	starter := &starter.Starter{Settings: settings, Log: log}
	if err := starter.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "entry:", err)
		return exitFailed
	}
	return 0
}
