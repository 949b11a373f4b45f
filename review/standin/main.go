// Command standin plays one case of the review: it starts the program as separate processes,
// plays the store, the targets and the callers, and checks one rule.
//
// # Usage
//
//	standin twice --record review/1/record.txt   # TROUBLE=0 in the environment: without the disruption
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// maxRun is the longest run of a case.
const maxRun = 115 * time.Second

// cases are the cases by name. Each returns how many times the rule was broken.
var cases = map[string]func(ctx context.Context, record *record, trouble bool) (int, error){
	"twice":     playTwice,
	"withdrawn": playWithdrawn,
	"foreign":   playForeign,
	"late":      playLate,
	"dark":      playDark,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	if len(arguments) != 3 || cases[arguments[0]] == nil || arguments[1] != "--record" {
		fmt.Fprintln(os.Stderr, "standin CASE --record FILE")
		return couldNot
	}
	file, err := os.Create(arguments[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer func() { _ = file.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), maxRun)
	defer cancel()
	record := &record{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	record.printf("case %s, with the disruption: %t", arguments[0], trouble)
	count, err := cases[arguments[0]](ctx, record, trouble)
	switch {
	case err != nil:
		record.printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return couldNot
	case count > 0:
		record.printf("the rule was broken %d times", count)
		fmt.Println("the rule was broken", count, "times")
		return broken
	}
	record.printf("the rule held")
	fmt.Println("the rule held")
	return held
}
