// Command operator is the command line of the operators of a proxy fleet. It
// checks, records and rolls back declarations, issues and withdraws keys, and
// reports on VMs, upstreams, service levels and costs.
//
// # Usage
//
//	operator check --settings settings
//	operator diff --platform http://127.0.0.1:6000
//	operator apply --platform http://127.0.0.1:6000 --comment "more crews"
//	operator key give --platform http://127.0.0.1:6000 --organisation /kundsetu/organisations/anand --name second
//	operator --help
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"godwitramp.example/operator/internal/commander"
	"godwitramp.example/shell/connector"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	commander := &commander.Commander{
		Out: os.Stdout, Err: os.Stderr, Author: os.Getenv("USER"),
		Open: func(address string) connector.Platform { return &connector.Client{Base: address} },
	}
	return commander.Run(ctx, os.Args[1:])
}
