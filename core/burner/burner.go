// Package burner counts good and bad answers and computes at which rate services
// consume their error budgets, for the alarms of operators.
//
// Each VM counts its own answers in time buckets, per service and organisation.
// Within a bucket, the counters of one run of a VM's process never decrease. A
// Ledger merges copies of them by taking the maximum of each counter, so copies
// may arrive in any order and any number of times without an answer being
// counted twice.
//
// # Usage
//
//	var meter burner.Meter // on each VM
//	meter.Observe(now, burner.Pair{Service: service, Organisation: organisation}, good)
//
//	var ledger burner.Ledger // where the counters of VMs are merged
//	ledger.Merge(record)
//	report := burner.Summarize(&ledger, now, objectives)
package burner

import (
	"cmp"
	"slices"
	"time"
)

// BucketLength is the duration of one bucket.
const BucketLength = 5 * time.Minute

// Bucket is the index of a time bucket, counted from the Unix epoch.
type Bucket int64

// BucketAt returns the bucket that contains a wall-clock time.
func BucketAt(now time.Time) Bucket {
	return Bucket(now.UnixNano() / int64(BucketLength))
}

// Start returns the time at which the bucket begins, in UTC.
func (bucket Bucket) Start() time.Time {
	return time.Unix(0, int64(bucket)*int64(BucketLength)).UTC()
}

// Source is one run of a VM's process.
type Source struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
}

// Pair is a service and an organisation that used it.
type Pair struct {
	Service string `json:"service"`
	// Organisation is empty on routes that need no key, and Other for those
	// beyond the limit of a bucket.
	Organisation string `json:"organisation"`
}

// Other stands for the organisations of a service that exceed the limit of a
// bucket.
const Other = "*"

// Counts are numbers of answers.
type Counts struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

// Total returns the number of answers.
func (counts Counts) Total() uint64 { return counts.Good + counts.Bad }

func (counts Counts) add(other Counts) Counts {
	return Counts{Good: counts.Good + other.Good, Bad: counts.Bad + other.Bad}
}

// Line holds the counts of one pair.
type Line struct {
	Pair
	Counts
}

// Record holds the counts of one source in one bucket so far.
type Record struct {
	Source Source `json:"source"`
	Bucket Bucket `json:"bucket"`
	Lines  []Line `json:"lines"`
}

// Total returns the number of answers in the record.
func (record Record) Total() uint64 {
	var total uint64
	for _, line := range record.Lines {
		total += line.Total()
	}
	return total
}

// tally holds the counts of one source in one bucket.
type tally map[Pair]Counts

func (tally tally) lines() []Line {
	lines := make([]Line, 0, len(tally))
	for pair, counts := range tally {
		lines = append(lines, Line{Pair: pair, Counts: counts})
	}
	slices.SortFunc(lines, func(a, b Line) int { return a.compare(b.Pair) })
	return lines
}

func (pair Pair) compare(other Pair) int {
	return cmp.Or(cmp.Compare(pair.Service, other.Service), cmp.Compare(pair.Organisation, other.Organisation))
}
