package burner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/burner"
)

var epoch = time.Unix(1_800_000_000, 0).UTC()

// TestMergeIsIdempotentAndOrderIndependent compares a ledger that receives
// records late, repeatedly, reordered and out of date with a plain count of
// every answer.
func TestMergeIsIdempotentAndOrderIndependent(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	var ledger burner.Ledger
	var sent []burner.Record
	var naive burner.Counts
	meters := make([]burner.Meter, 3)
	for i := range meters {
		meters[i].Source = burner.Source{VM: fmt.Sprint(i % 2), Incarnation: uint64(i)}
	}
	for step := range 2000 {
		now := epoch.Add(time.Duration(step) * time.Second)
		good := random.IntN(3) > 0
		meter := &meters[random.IntN(len(meters))]
		meter.Observe(now, burner.Pair{Service: "s", Organisation: fmt.Sprint(random.IntN(4))}, good)
		if good {
			naive.Good++
		} else {
			naive.Bad++
		}
		sent = append(sent, meter.Records()...)
		ledger.Merge(sent[random.IntN(len(sent))])
	}
	for _, i := range random.Perm(len(sent)) {
		ledger.Merge(sent[i])
	}
	report := burner.Summarize(&ledger, epoch.Add(2000*time.Second), []burner.Objective{{Service: "s", Share: 0.9}})
	is.Equal(len(report.Rows), 5)
	for _, row := range report.Rows {
		if row.Pair.Organisation == burner.All {
			is.Equal(row.Burns[4].Counts, naive)
		}
	}
}

func TestMeterDropsOnlyCompletelyStoredBuckets(t *testing.T) {
	is := is.New(t)
	meter := burner.Meter{Source: burner.Source{VM: "vm-01", Incarnation: 1}}
	pair := burner.Pair{Service: "s"}
	meter.Observe(epoch, pair, true)
	kept := burner.Kept{Source: meter.Source, Bucket: burner.BucketAt(epoch), Total: 1}
	meter.Drop(epoch, kept) // the bucket has not ended
	is.Equal(len(meter.Records()), 1)
	meter.Observe(epoch, pair, true)
	later := epoch.Add(burner.BucketLength)
	meter.Drop(later, kept) // one answer is not stored
	is.Equal(len(meter.Records()), 1)
	kept.Total = 2
	meter.Drop(later, kept)
	is.Equal(len(meter.Records()), 0)
}

func TestMeterMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	var meter burner.Meter
	for bucket := range 300 {
		now := epoch.Add(time.Duration(bucket) * burner.BucketLength)
		for organisation := range 600 {
			meter.Observe(now, burner.Pair{Service: "s", Organisation: fmt.Sprint(organisation)}, true)
		}
	}
	records := meter.Records()
	is.Equal(len(records), 288)
	is.Equal(len(records[0].Lines), 513)
	is.Equal(records[0].Total(), uint64(600))
	is.Equal(meter.Lost(), uint64(12*600))
}

func TestAlarmNeedsBothWindows(t *testing.T) {
	tests := []struct {
		name string
		// bad is the number of bad answers of 1000 in a bucket of the age.
		bad  func(age time.Duration) int
		want burner.Level
	}{
		{"good", func(time.Duration) int { return 0 }, burner.LevelNone},
		{"failing now", func(age time.Duration) int { return badDuring(age < time.Hour, 20) }, burner.LevelPage},
		{"failing until half an hour ago", func(age time.Duration) int { return badDuring(age > 30*time.Minute && age < time.Hour, 40) }, burner.LevelNone},
		{"six hours at a third", func(age time.Duration) int { return badDuring(age < 6*time.Hour, 7) }, burner.LevelPage},
		{"slow burn", func(time.Duration) int { return 2 }, burner.LevelTicket},
		{"slow burn ended", func(age time.Duration) int { return badDuring(age > 7*time.Hour, 2) }, burner.LevelNone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var ledger burner.Ledger
			for age := time.Duration(0); age < 71*time.Hour; age += burner.BucketLength {
				bad := uint64(test.bad(age))
				ledger.Merge(burner.Record{Bucket: burner.BucketAt(epoch.Add(-age)), Lines: []burner.Line{
					{Pair: burner.Pair{Service: "s"}, Counts: burner.Counts{Good: 1000 - bad, Bad: bad}}}})
			}
			report := burner.Summarize(&ledger, epoch, []burner.Objective{{Service: "s", Share: 0.999}})
			is.New(t).Equal(report.Rows[0].Level, test.want)
		})
	}
}

func badDuring(when bool, bad int) int {
	if when {
		return bad
	}
	return 0
}

func BenchmarkObserve(b *testing.B) {
	for _, services := range []int{4, 200, 2100} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			pairs := make([]burner.Pair, services)
			for i := range pairs {
				pairs[i] = burner.Pair{Service: fmt.Sprintf("/t/services/s%d", i), Organisation: "/t/organisations/o"}
			}
			var meter burner.Meter
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				meter.Observe(epoch, pairs[i%services], true)
			}
		})
	}
}

func TestUploadersAreSharedByGroups(t *testing.T) {
	is := is.New(t)
	var names []string
	for i := range 580 {
		names = append(names, fmt.Sprintf("vm-%04d", i))
	}
	load := make(map[string]int)
	for _, name := range names {
		load[burner.Uploaders(name, names)[0]]++
	}
	is.True(len(load) <= 37)
	for _, senders := range load {
		is.True(senders < 3*burner.GroupSize)
	}
	alone := burner.Uploaders("vm-0001", []string{"vm-0001"})
	is.Equal(alone, []string{"vm-0001"})
}
