// Package ejector decides which targets the whole fleet leaves out: it tests
// the evidence of many VMs, and bounds the ejections by permits so that they
// never reach below the floor of a service in a region.
//
// A Detector merges the evidence about the targets of a group. A Permit lets
// its holder eject one target at a time. A View holds the statements of all
// holders on each VM, which obeys them as long as their leases last.
//
// # Usage
//
//	detector := &ejector.Detector{Region: "kutch"}
//	detector.Follow(service, now)
//	detector.Add(batch, now)
//	for _, verdict := range detector.Verdicts(now) {
//		permit.Eject(verdict.Target, reading)
//	}
//	view.Take(statement, asked)
//	obeyed := view.Obeyed(service, region, leaving, reading)
package ejector

import (
	"time"

	"godwitramp.example/core/configurator"
)

// Kind says how an attempt at a target went.
type Kind int

// The kinds of observations.
const (
	// Good is an answer in time.
	Good Kind = iota
	// Slow is an answer, or a wait for one, far above the service's baseline.
	Slow
	// Bad is an error, a broken answer, or silence on a fresh connection.
	Bad
	// Left is an answer that says the target takes no new requests.
	Leaving
)

// Observation is one attempt at a target.
type Observation struct {
	Target configurator.Path
	Region string
	Kind   Kind
}

// Tally counts the observations of one VM at one target.
type Tally struct {
	Target          configurator.Path
	Good, Slow, Bad int
}

// Batch is what one VM has observed since its last batch at the targets of its
// own region.
type Batch struct {
	VM         string
	DataCentre string
	Tallies    []Tally
}

// Verdict is a target that the evidence condemns.
type Outlier struct {
	Target configurator.Path
	// Since is when the evidence began to gather.
	Since time.Duration
}
