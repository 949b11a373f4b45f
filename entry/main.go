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
	if options.Describe {
		fmt.Print(loader.Page())
		return 0
	}
	settings, ok := load(options)
	if !ok {
		return exitUsage
	}
	if options.Check {
		return check(settings)
	}
	return serve(settings)
}

func load(options options) (loader.Settings, bool) {
	var data []byte
	if options.Settings != "" {
		var err error
		data, err = os.ReadFile(options.Settings)
		if err != nil {
			fmt.Fprintln(os.Stderr, "entry: read settings:", err)
			return loader.Settings{}, false
		}
	}
	settings, problems := loader.Load(cmp.Or(options.Settings, "settings"), data, options.Set)
	for _, problem := range problems {
		fmt.Fprintln(os.Stderr, "entry:", problem)
	}
	return settings, len(problems) == 0
}

// check reports whether the program could start, as far as that can be told
// without taking its ports.
func check(settings loader.Settings) int {
	files := certifier.Files{Authority: settings.Authority, Certificate: settings.Certificate, Key: settings.Key}
	if _, err := certifier.Load(files); err != nil {
		fmt.Fprintln(os.Stderr, "entry: load certificates:", err)
		return exitUsage
	}
	fmt.Println("settings are good")
	return 0
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
