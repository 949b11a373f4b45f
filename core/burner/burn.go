package burner

import (
	"cmp"
	"slices"
	"time"
)

// All stands for all organisations of a service.
const All = "all"

// Objective is the share of a service's answers that must be good.
type Objective struct {
	Service string
	// Share is in [0, 1]; at 1 the burn rate is reported as 0.
	Share float64
}

// Level is the urgency of a burn.
type Level string

// The levels, most urgent first.
const (
	LevelPage   Level = "page"
	LevelTicket Level = "ticket"
	LevelNone   Level = "none"
)

// Alarm fires while the burn rates over both windows are at or above the
// threshold. The short window ends the alarm soon after the cause is fixed.
type Alarm struct {
	Long      time.Duration
	Short     time.Duration
	Threshold float64
	Level     Level
}

// Alarms are checked in order; the first that fires determines the level. At a
// burn rate of 1, the error budget of 30 days lasts 30 days.
var Alarms = []Alarm{
	{Long: time.Hour, Short: 5 * time.Minute, Threshold: 14.4, Level: LevelPage},
	{Long: 6 * time.Hour, Short: 30 * time.Minute, Threshold: 6, Level: LevelPage},
	{Long: 72 * time.Hour, Short: 6 * time.Hour, Threshold: 1, Level: LevelTicket},
}

// Windows are the windows over which burn rates are reported. They include
// those of all Alarms.
var Windows = []time.Duration{
	5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour,
}

// Retention is how long counts must be kept: the longest window.
const Retention = 72 * time.Hour

// Burn is the burn rate of one pair over one window.
type Burn struct {
	Window time.Duration
	Counts Counts
	// Rate is the share of bad answers divided by the share that the objective
	// allows; 0 if there are no answers.
	Rate float64
}

// Point is one bucket of a pair's history.
type Point struct {
	Bucket Bucket
	Counts Counts
	Rate   float64
}

// Row is one pair in a report.
type Row struct {
	Pair      Pair
	Objective float64
	Level     Level
	// Burns are in the order of Windows.
	Burns []Burn
	// Points has the buckets with answers, oldest first.
	Points []Point
}

// Report has a row for each pair with answers, the most urgent first. Within a
// level, rows are sorted by service, and the row for all organisations of a
// service comes first.
type Report struct {
	// Until is the end of the newest bucket.
	Until time.Time
	Rows  []Row
}

// Summarize reports the burn rates up to now. A window consists of the bucket of
// now and the full window length before it, so that the shortest covers 5 to 10
// minutes. Services without an objective are omitted.
func Summarize(ledger *Ledger, now time.Time, objectives []Objective) Report {
	shares := make(map[string]float64, len(objectives))
	for _, objective := range objectives {
		shares[objective.Service] = objective.Share
	}
	last := BucketAt(now)
	report := Report{Until: (last + 1).Start(), Rows: []Row{}}
	for pair, buckets := range ledger.totals() {
		share, ok := shares[pair.Service]
		if !ok {
			continue
		}
		report.Rows = append(report.Rows, newRow(pair, share, last, buckets))
	}
	slices.SortFunc(report.Rows, func(a, b Row) int {
		return cmp.Or(
			cmp.Compare(slices.Index(levels, a.Level), slices.Index(levels, b.Level)),
			cmp.Compare(a.Pair.Service, b.Pair.Service),
			cmp.Compare(a.rank(), b.rank()),
			a.Pair.compare(b.Pair))
	})
	return report
}

// rank sorts the row for all organisations first.
func (row Row) rank() int {
	if row.Pair.Organisation == All {
		return 0
	}
	return 1
}

var levels = []Level{LevelPage, LevelTicket, LevelNone}

func newRow(pair Pair, share float64, last Bucket, buckets map[Bucket]Counts) Row {
	row := Row{Pair: pair, Objective: share}
	for _, window := range Windows {
		var counts Counts
		for bucket, inBucket := range buckets {
			if bucket <= last && bucket > last-1-Bucket(window/BucketLength) {
				counts = counts.add(inBucket)
			}
		}
		row.Burns = append(row.Burns, Burn{Window: window, Counts: counts, Rate: rate(counts, share)})
	}
	for bucket, counts := range buckets {
		if bucket <= last && bucket > last-Bucket(Retention/BucketLength) {
			row.Points = append(row.Points, Point{Bucket: bucket, Counts: counts, Rate: rate(counts, share)})
		}
	}
	slices.SortFunc(row.Points, func(a, b Point) int { return int(a.Bucket - b.Bucket) })
	row.Level = row.level()
	return row
}

func rate(counts Counts, share float64) float64 {
	if counts.Total() == 0 || share >= 1 {
		return 0
	}
	return float64(counts.Bad) / float64(counts.Total()) / (1 - share)
}

func (row Row) level() Level {
	for _, alarm := range Alarms {
		if row.burnRate(alarm.Long) >= alarm.Threshold && row.burnRate(alarm.Short) >= alarm.Threshold {
			return alarm.Level
		}
	}
	return LevelNone
}

func (row Row) burnRate(window time.Duration) float64 {
	for _, burn := range row.Burns {
		if burn.Window == window {
			return burn.Rate
		}
	}
	return 0
}
