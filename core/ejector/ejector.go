// Package ejector decides on outlier ejection for the whole fleet. It tests the
// shared evidence of many VMs, and limits the ejections by permits, so that a
// service always keeps its floor, the minimum share of its targets in a region.
//
// A Detector merges the evidence about the targets of a group. A Permit allows its
// holder to eject one target at a time. A View holds the latest statements of all
// permit holders; each VM applies them until their leases lapse.
//
// # Usage
//
//	detector := &ejector.Detector{Region: "kutch"}
//	detector.Configure(service, now)
//	detector.Add(batch, now)
//	for _, outlier := range detector.Outliers(now) {
//		permit.Eject(outlier.Target, duration, strikes, reading)
//	}
//	view.Apply(statement, sent)
//	active := view.ActiveEjections(service, region, leaving, reading)
package ejector

import (
	"time"

	"godwitramp.example/core/configurator"
)

// Kind is the result of an attempt at a target.
type Kind int

// The kinds of observations.
const (
	// Good is an answer in time.
	Good Kind = iota
	// Slow is an answer, or a wait for one, far above the service's baseline.
	Slow
	// Bad is an error, a broken answer, or no response on a new connection.
	Bad
	// Leaving is an answer that says the target accepts no new requests.
	Leaving
)

// Observation is the result of one attempt at a target.
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

// Batch is what one VM has observed at the targets of its own region since its
// previous batch.
type Batch struct {
	VM         string
	DataCentre string
	Tallies    []Tally
}

// Outlier is a target whose evidence exceeds the threshold for ejection.
type Outlier struct {
	Target configurator.Path
	// Since is when the evidence started to accumulate.
	Since time.Duration
}
