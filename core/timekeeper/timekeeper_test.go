package timekeeper_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/timekeeper"
)

func TestLeaseWithMisleadingClocks(t *testing.T) {
	lease := timekeeper.Lease{Start: timekeeper.At(0), Length: 10 * time.Second}
	tests := []struct {
		name        string
		now         timekeeper.Reading
		lapsed      bool
		reclaimable bool
	}{
		{"both before the end", timekeeper.At(9 * time.Second), false, false},
		{"both at the end", timekeeper.At(10 * time.Second), true, false},
		{"both past the margin", timekeeper.At(12 * time.Second), true, true},
		{"suspended: only wall time passed", timekeeper.Reading{Mono: time.Second, Wall: time.Minute}, true, false},
		{"wall clock set back", timekeeper.Reading{Mono: time.Minute, Wall: -time.Hour}, true, false},
		{"wall clock set back a little", timekeeper.Reading{Mono: 5 * time.Second, Wall: -time.Hour}, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(lease.Lapsed(test.now), test.lapsed)
			is.Equal(lease.Reclaimable(test.now, timekeeper.Drift), test.reclaimable)
		})
	}
}
