package timekeeper_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/timekeeper"
)

// A lease must end for its holder by the faster clock, and for its owner by the slower
// one, when the VM is suspended or its wall clock is set back.
func TestLeaseWithWrongClocks(t *testing.T) {
	lease := timekeeper.Lease{Start: timekeeper.At(0), Duration: 10 * time.Second}
	tests := []struct {
		name        string
		now         timekeeper.Reading
		lapsed      bool
		reclaimable bool
	}{
		{"both clocks before the end", timekeeper.At(9 * time.Second), false, false},
		{"both clocks at the end", timekeeper.At(10 * time.Second), true, false},
		{"both clocks at the end of the margin", timekeeper.At(12 * time.Second), true, true},
		{"suspended: only the wall clock advanced", timekeeper.Reading{Mono: time.Second, Wall: time.Minute}, true, false},
		{"wall clock set back", timekeeper.Reading{Mono: time.Minute, Wall: -time.Hour}, true, false},
		{"wall clock set back, monotonic before the end", timekeeper.Reading{Mono: 5 * time.Second, Wall: -time.Hour}, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(lease.Lapsed(test.now), test.lapsed)
			is.Equal(lease.Reclaimable(test.now, timekeeper.DriftMargin), test.reclaimable)
		})
	}
}
