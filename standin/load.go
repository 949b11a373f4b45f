package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"godwitramp.example/standin/internal/prober"
)

type loadCommand struct {
	Base    string        `long:"base" required:"yes" description:"URL of the balancer or of a VM"`
	Next    string        `long:"next" description:"URL to turn to once an answer has announced that its connection is closed"`
	Method  string        `long:"method" default:"GET" description:"method of the requests"`
	Path    string        `long:"path" required:"yes" description:"path of a service"`
	Key     string        `long:"key" required:"yes" description:"a caller's key"`
	Workers int           `long:"workers" default:"1" description:"requests at a time"`
	Count   int           `long:"count" default:"0" description:"requests to send; 0 sends until SIGTERM"`
	Pause   time.Duration `long:"pause" default:"5ms" description:"time between an answer and the next request of a worker"`
	Fresh   bool          `long:"fresh" description:"open a connection for each request"`
}

// Execute sends the requests and prints one line for each.
func (command *loadCommand) Execute([]string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	load := &prober.Load{
		Base: command.Base, Next: command.Next, Method: command.Method, Path: command.Path, Key: command.Key,
		Workers: command.Workers, Count: command.Count, Pause: command.Pause, Fresh: command.Fresh, Out: os.Stdout,
	}
	return load.Run(ctx)
}

type auditCommand struct {
	Lines   string   `long:"lines" required:"yes" description:"file with the lines that a load has printed"`
	Targets []string `long:"target" required:"yes" description:"address of a target that the load can have reached"`
}

// Execute compares the output of a load with the records of the targets.
func (command *auditCommand) Execute([]string) error {
	lines, err := os.Open(command.Lines)
	if err != nil {
		return fmt.Errorf("open output of a load: %w", err)
	}
	defer func() { _ = lines.Close() }()
	audit := &prober.Audit{Targets: command.Targets, Out: os.Stdout}
	return audit.Run(context.Background(), lines)
}
