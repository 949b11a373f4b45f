package burner

import (
	"cmp"
	"slices"
	"time"
)

// All stands for all organisations of a service.
const All = "all"

// Objective is the share of answers of a service that are to be good.
type Objective struct {
	Service string
	// Share is from 0 to 1.
	Share float64
}

// Level says how urgent a burn is.
type Level string

// The levels, most urgent first.
const (
	LevelPage   Level = "page"
	LevelTicket Level = "ticket"
	LevelNone   Level = "none"
)

// Alarm is a pair of windows that must both burn faster than the threshold.
// The short window ends the alarm soon after the cause is gone.
type Alarm struct {
	Long      time.Duration
	Short     time.Duration
	Threshold float64
	Level     Level
}

// Alarms are checked in order; the first that holds gives the level. A burn of
// 1 spends the budget of 30 days in 30 days.
var Alarms = []Alarm{
	{Long: time.Hour, Short: 5 * time.Minute, Threshold: 14.4, Level: LevelPage},
	{Long: 6 * time.Hour, Short: 30 * time.Minute, Threshold: 6, Level: LevelPage},
	{Long: 72 * time.Hour, Short: 6 * time.Hour, Threshold: 1, Level: LevelTicket},
}

// Windows are the lengths over which burns are reported.
var Windows = []time.Duration{
	5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour,
}

// Retention is how long counts are needed.
const Retention = 72 * time.Hour

// Burn is the burn of one pair over one window.
type Burn struct {
	Window time.Duration
	Counts Counts
	// Rate is the share of bad answers divided by the share that the objective
	// allows; 0 without answers.
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
// level the row for all organisations of a service comes before the others.
type Report struct {
	// Until is the end of the newest bucket.
	Until time.Time
	Rows  []Row
}

// Summarize reports the burns up to now. Windows count whole buckets and end
// with the bucket of now, so that the shortest covers 5 to 10 minutes. Services
// without an objective are left out.
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

// rank puts the row for all organisations first.
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
		for bucket, inside := range buckets {
			if bucket <= last && bucket > last-1-Bucket(window/BucketLength) {
				counts = counts.plus(inside)
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
		if row.over(alarm.Long) >= alarm.Threshold && row.over(alarm.Short) >= alarm.Threshold {
			return alarm.Level
		}
	}
	return LevelNone
}

func (row Row) over(window time.Duration) float64 {
	for _, burn := range row.Burns {
		if burn.Window == window {
			return burn.Rate
		}
	}
	return 0
}
