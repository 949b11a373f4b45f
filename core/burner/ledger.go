package burner

import (
	"cmp"
	"maps"
	"slices"
)

// key names the record of one source in one bucket.
type key struct {
	bucket Bucket
	source Source
}

// Ledger merges the records of many sources. It isn't safe for concurrent use.
// The zero value is empty.
type Ledger struct {
	tallies map[key]tally
	lines   int
}

// Merge adds what the record has above what is known of its source.
func (ledger *Ledger) Merge(record Record) {
	if ledger.tallies == nil {
		ledger.tallies = make(map[key]tally)
	}
	name := key{record.Bucket, record.Source}
	known := ledger.tallies[name]
	if known == nil {
		known = make(tally, len(record.Lines))
		ledger.tallies[name] = known
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
	for name, counted := range ledger.tallies {
		if name.bucket >= first && name.bucket <= last {
			records = append(records, record(name.source, name.bucket, counted))
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
	for name := range ledger.tallies {
		set[name.bucket] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// Lines returns how many counters the ledger holds.
func (ledger *Ledger) Lines() int { return ledger.lines }

// DropBefore forgets older buckets and returns how many answers they had.
func (ledger *Ledger) DropBefore(first Bucket) uint64 {
	var dropped uint64
	for name, counted := range ledger.tallies {
		if name.bucket >= first {
			continue
		}
		dropped += record(name.source, name.bucket, counted).Total()
		ledger.lines -= len(counted)
		delete(ledger.tallies, name)
	}
	return dropped
}

// totals adds up all sources for each bucket of a pair.
func (ledger *Ledger) totals() map[Pair]map[Bucket]Counts {
	totals := make(map[Pair]map[Bucket]Counts)
	add := func(pair Pair, bucket Bucket, counts Counts) {
		if totals[pair] == nil {
			totals[pair] = make(map[Bucket]Counts)
		}
		totals[pair][bucket] = totals[pair][bucket].plus(counts)
	}
	for name, counted := range ledger.tallies {
		for pair, counts := range counted {
			add(pair, name.bucket, counts)
			add(Pair{Service: pair.Service, Organisation: All}, name.bucket, counts)
		}
	}
	return totals
}
