package burner

import (
	"cmp"
	"maps"
	"slices"
)

// recordKey identifies the record of one source in one bucket.
type recordKey struct {
	bucket Bucket
	source Source
}

// Ledger merges the records of many sources. It isn't safe for concurrent use.
// The zero value is an empty ledger.
type Ledger struct {
	tallies map[recordKey]tally
	lines   int
}

// Merge raises the counters of the record's source and bucket to those of the
// record. Lower counters are out of date and ignored.
func (ledger *Ledger) Merge(record Record) {
	if ledger.tallies == nil {
		ledger.tallies = make(map[recordKey]tally)
	}
	key := recordKey{record.Bucket, record.Source}
	known := ledger.tallies[key]
	if known == nil {
		known = make(tally, len(record.Lines))
		ledger.tallies[key] = known
	}
	before := len(known)
	for _, line := range record.Lines {
		counts := known[line.Pair]
		known[line.Pair] = Counts{Good: max(counts.Good, line.Good), Bad: max(counts.Bad, line.Bad)}
	}
	ledger.lines += len(known) - before
}

// Records returns the records of the buckets from first to last, sorted by
// bucket and source.
func (ledger *Ledger) Records(first, last Bucket) []Record {
	var records []Record
	for key, counted := range ledger.tallies {
		if key.bucket >= first && key.bucket <= last {
			records = append(records, record(key.source, key.bucket, counted))
		}
	}
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Bucket, b.Bucket), cmp.Compare(a.Source.VM, b.Source.VM),
			cmp.Compare(a.Source.Incarnation, b.Source.Incarnation))
	})
	return records
}

// Buckets returns the buckets that have records, in order.
func (ledger *Ledger) Buckets() []Bucket {
	set := make(map[Bucket]bool)
	for key := range ledger.tallies {
		set[key.bucket] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// Lines returns the number of lines in all records of the ledger.
func (ledger *Ledger) Lines() int { return ledger.lines }

// DropBefore removes the buckets before first and returns the number of answers
// in them.
func (ledger *Ledger) DropBefore(first Bucket) uint64 {
	var dropped uint64
	for key, counted := range ledger.tallies {
		if key.bucket >= first {
			continue
		}
		dropped += record(key.source, key.bucket, counted).Total()
		ledger.lines -= len(counted)
		delete(ledger.tallies, key)
	}
	return dropped
}

// totals sums the counts of all sources per pair and bucket. It includes a pair
// for All organisations of each service.
func (ledger *Ledger) totals() map[Pair]map[Bucket]Counts {
	totals := make(map[Pair]map[Bucket]Counts)
	addCounts := func(pair Pair, bucket Bucket, counts Counts) {
		if totals[pair] == nil {
			totals[pair] = make(map[Bucket]Counts)
		}
		totals[pair][bucket] = totals[pair][bucket].add(counts)
	}
	for key, counted := range ledger.tallies {
		for pair, counts := range counted {
			addCounts(pair, key.bucket, counts)
			addCounts(Pair{Service: pair.Service, Organisation: All}, key.bucket, counts)
		}
	}
	return totals
}
