// Command standin-3 plays small deployments of the gateway on loopback, for the cases of the review.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: standin-3 CASE ROOT RECORD")
		os.Exit(exitNotRun)
	}
	name, root, record := os.Args[1], os.Args[2], os.Args[3]
	trouble := os.Getenv("TROUBLE") != "0"
	switch name {
	case "crashing":
		os.Exit(crashing(root, record, trouble))
	case "silent":
		os.Exit(silent(root, record, trouble))
	case "revoked":
		os.Exit(revoked(root, record, trouble))
	case "chunks":
		os.Exit(chunks(root, record, trouble))
	case "removed":
		os.Exit(removed(root, record, trouble))
	default:
		fmt.Println("unknown case", name)
		os.Exit(exitNotRun)
	}
}
