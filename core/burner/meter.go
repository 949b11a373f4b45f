package burner

import (
	"maps"
	"slices"
	"time"
)

// Bounds of a VM's counters.
const (
	// maxPairs bounds the pairs of a bucket; more organisations count as Other.
	maxPairs = 512
	// maxBuckets bounds the buckets that wait to be kept elsewhere.
	maxBuckets = 288 // a day
)

// Meter counts the answers of one VM. It isn't safe for concurrent use. The
// zero value is ready.
type Meter struct {
	Source Source

	buckets map[Bucket]tally
	lost    uint64
}

// Observe counts one answer.
func (meter *Meter) Observe(now time.Time, pair Pair, good bool) {
	bucket := BucketAt(now)
	counted := meter.buckets[bucket]
	if counted == nil {
		counted = make(tally)
		meter.open(bucket, counted)
	}
	if _, ok := counted[pair]; !ok && len(counted) >= maxPairs {
		pair.Organisation = Other
	}
	counts := counted[pair]
	if good {
		counts.Good++
	} else {
		counts.Bad++
	}
	counted[pair] = counts
}

func (meter *Meter) open(bucket Bucket, counted tally) {
	if meter.buckets == nil {
		meter.buckets = make(map[Bucket]tally)
	}
	meter.buckets[bucket] = counted
	for len(meter.buckets) > maxBuckets {
		oldest := slices.Min(slices.Collect(maps.Keys(meter.buckets)))
		meter.lost += record(meter.Source, oldest, meter.buckets[oldest]).Total()
		delete(meter.buckets, oldest)
	}
}

func record(source Source, bucket Bucket, counted tally) Record {
	return Record{Source: source, Bucket: bucket, Lines: counted.lines()}
}

// Records returns all buckets that are not kept elsewhere, oldest first.
func (meter *Meter) Records() []Record {
	var records []Record
	for _, bucket := range slices.Sorted(maps.Keys(meter.buckets)) {
		records = append(records, record(meter.Source, bucket, meter.buckets[bucket]))
	}
	return records
}

// Kept is a bucket of one source that is stored.
type Kept struct {
	Source Source
	Bucket Bucket
	// Total is the number of answers that are stored.
	Total uint64
}

// Drop forgets a bucket that is over and wholly stored.
func (meter *Meter) Drop(now time.Time, kept Kept) {
	counted, ok := meter.buckets[kept.Bucket]
	if !ok || kept.Source != meter.Source || kept.Bucket >= BucketAt(now) {
		return
	}
	if record(meter.Source, kept.Bucket, counted).Total() == kept.Total {
		delete(meter.buckets, kept.Bucket)
	}
}

// Lost returns the answers whose counts have been dropped because nothing took
// them for too long.
func (meter *Meter) Lost() uint64 { return meter.lost }
