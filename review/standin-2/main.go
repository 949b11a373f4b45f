// Command standin-2 plays the cases of review/6 and later: it starts the store, targets and callers of a case as
// stand-ins, and the gateway as the deploy file says, and judges what callers, targets and the platform see.
//
// # Usage
//
//	standin-2 --case uploads --record record.txt [--trouble=false]
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(*stage, bool) (int, error){"uploads": uploads, "replaced": replaced, "foreign": foreign, "midway": midway, "sends-on": sendsOn}

func main() {
	name := flag.String("case", "", "the case to play")
	record := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "with the disruption")
	root := flag.String("root", ".", "root of the repository")
	keep := flag.String("keep", "", "folder for settings and logs; a temporary one if empty")
	limit := flag.Duration("limit", 115*time.Second, "longest time of the case")
	flag.Parse()
	os.Exit(play(*name, *record, *root, *keep, *trouble, *limit))
}

func play(name, record, root, keep string, trouble bool, limit time.Duration) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return failed
	}
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() { _ = file.Close() }()
	folder := keep
	if folder == "" {
		if folder, err = os.MkdirTemp("", "review"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return failed
		}
		defer func() { _ = os.RemoveAll(folder) }()
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	ctx, release := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer release()
	stage := &stage{ctx: ctx, folder: folder, root: root, began: time.Now(), record: file}
	defer stage.close()
	ended := make(chan struct{})
	var code int
	go func() {
		defer close(ended)
		code, err = run(stage, trouble)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
		code, err = failed, context.Cause(ctx)
	}
	if err != nil {
		stage.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return failed
	}
	return code
}
