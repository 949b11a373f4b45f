package burner

import (
	"maps"
	"slices"
	"time"
)

// Memory limits of a VM's counters.
const (
	// maxPairs is the number of pairs in a bucket above which further
	// organisations are counted as Other, one more pair per service.
	maxPairs = 512
	// maxBuckets limits the buckets that are waiting to be stored elsewhere.
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
		meter.addBucket(bucket, counted)
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

func (meter *Meter) addBucket(bucket Bucket, counted tally) {
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

// Records returns the records of all buckets that have not been dropped, oldest
// first.
func (meter *Meter) Records() []Record {
	var records []Record
	for _, bucket := range slices.Sorted(maps.Keys(meter.buckets)) {
		records = append(records, record(meter.Source, bucket, meter.buckets[bucket]))
	}
	return records
}

// Kept acknowledges that a bucket of one source has been stored.
type Kept struct {
	Source Source
	Bucket Bucket
	// Total is the number of answers that are stored.
	Total uint64
}

// Drop removes a bucket that has ended and is completely stored.
func (meter *Meter) Drop(now time.Time, kept Kept) {
	counted, ok := meter.buckets[kept.Bucket]
	if !ok || kept.Source != meter.Source || kept.Bucket >= BucketAt(now) {
		return
	}
	if record(meter.Source, kept.Bucket, counted).Total() == kept.Total {
		delete(meter.buckets, kept.Bucket)
	}
}

// Lost returns the number of answers whose counts were discarded because more
// than maxBuckets buckets had not been stored.
func (meter *Meter) Lost() uint64 { return meter.lost }
