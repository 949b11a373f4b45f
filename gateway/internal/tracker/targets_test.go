package tracker

import (
	"bytes"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"godwitramp.example/platform"
)

func newTargets() *targets {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &targets{log: logrus.NewEntry(log)}
}

func entry(id string, version uint64, sequence int) platform.Row {
	return platform.Row{Key: id, Version: version, Value: fmt.Appendf(nil,
		`{"Service":"s","Address":"10.0.0.1:80","Zone":"z","Version":"v1","WarmupRemaining":"0ms","Slots":4,"State":"ready","Sequence":%d,"born":7}`, sequence)}
}

// The store doesn't tell of writes that change nothing but their number: a target that was taken
// for gone before the restore, and lives, must not be left out for good.
func TestEntryThatTheStoreKeepsAfterARestoreIsBelieved(t *testing.T) {
	is := is.New(t)
	targets := newTargets()
	targets.apply([]platform.Row{entry("a", 5, 3), entry("b", 6, 3), entry("c", 7, 3)}, true, 1, 0)
	for _, id := range []string{"a", "b", "c"} {
		targets.apply([]platform.Row{{Key: id, Deleted: true, Version: 9}}, false, 1, time.Second)
	}
	copied := []platform.Row{entry("a", 5, 3), entry("b", 6, 8), entry("c", 7, 3)}
	is.True(!targets.apply(copied, true, 2, 2*time.Second))
	is.True(!targets.releaseHeld(2*time.Second + holdTime - 1))
	targets.apply([]platform.Row{{Key: "b", Deleted: true, Version: 8}}, false, 2, 5*time.Second)
	is.True(!targets.apply([]platform.Row{entry("a", 5, 3)}, true, 2, 6*time.Second)) // doesn't begin anew
	is.True(targets.releaseHeld(2*time.Second + holdTime))
	is.Equal(len(targets.byID), 1)
	is.Equal(targets.byID["a"].ID, "a")
}

func TestMemoryOfTargetsThatHaveGoneIsBounded(t *testing.T) {
	is := is.New(t)
	targets := newTargets()
	for i := range 3 * maxGone {
		id := fmt.Sprint(i)
		targets.apply([]platform.Row{entry(id, 5, 3)}, false, 1, time.Duration(i))
		targets.apply([]platform.Row{{Key: id, Deleted: true, Version: 9}}, false, 1, time.Duration(i))
	}
	is.Equal(len(targets.sightings), maxGone)
	_, oldest := targets.sightings["0"]
	is.True(!oldest)
	targets.forgetGone(time.Second + goneMemory)
	is.Equal(len(targets.sightings), 0)
}

// A heartbeat that the store performs after the target's report that it drains must not bring the target back.
func TestLateHeartbeatBringsALeavingTargetBack(t *testing.T) {
	is := is.New(t)
	targets := newTargets()
	leaving := func(id string, version uint64, sequence int) platform.Row {
		row := entry(id, version, sequence)
		row.Value = bytes.Replace(row.Value, []byte("ready"), []byte("draining"), 1)
		return row
	}
	startedAgain := func(id string, version uint64, sequence int, born string) platform.Row {
		row := entry(id, version, sequence)
		row.Value = bytes.Replace(row.Value, []byte(`"born":7`), []byte(born), 1)
		return row
	}
	targets.apply([]platform.Row{entry("a", 5, 3)}, true, 1, 0)
	is.True(targets.apply([]platform.Row{leaving("a", 6, 5)}, false, 1, time.Second))
	is.True(!targets.apply([]platform.Row{entry("a", 7, 4)}, false, 1, 2*time.Second))
	is.True(targets.byID["a"].Leaving)
	is.True(targets.apply([]platform.Row{entry("a", 8, 6)}, false, 1, 3*time.Second)) // it has changed its mind
	is.True(!targets.byID["a"].Leaving)
	targets.apply([]platform.Row{leaving("a", 9, 7)}, false, 1, 4*time.Second)
	is.True(targets.apply([]platform.Row{startedAgain("a", 10, 1, `"born":8`)}, false, 1, 5*time.Second))
	is.True(!targets.byID["a"].Leaving)
	targets.apply([]platform.Row{startedAgain("b", 11, 9, `"x":0`)}, false, 1, 6*time.Second)
	targets.apply([]platform.Row{{Key: "b", Version: 12, Value: bytes.Replace(startedAgain("b", 12, 10, `"x":0`).Value, []byte("ready"), []byte("draining"), 1)}}, false, 1, 7*time.Second)
	is.True(targets.apply([]platform.Row{startedAgain("b", 13, 1, `"x":0`)}, false, 1, 8*time.Second)) // when it started isn't known
}

// withoutStart returns an entry that lacks the time of the target's start.
func withoutStart(row platform.Row) platform.Row {
	row.Value = bytes.Replace(row.Value, []byte(`,"born":7`), nil, 1)
	return row
}

// An entry of another writer may lack the start that the target's own entries state. It must not bring back a target that
// drains, whatever other entries come before it, and must not keep a sound one away for long.
func TestEntryWithoutStartBringsALeavingTargetBack(t *testing.T) {
	for _, test := range []struct {
		name   string
		before []platform.Row
	}{
		{"after its report", nil},
		{"after bytes that can't be read", []platform.Row{{Key: "a", Version: 7, Value: []byte("{")}}},
		{"after it is gone", []platform.Row{{Key: "a", Version: 7, Deleted: true}}},
		{"after another one", []platform.Row{withoutStart(entry("a", 7, 9))}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			targets := newTargets()
			targets.apply([]platform.Row{entry("a", 5, 3)}, true, 1, 0)
			leaving := entry("a", 6, 4)
			leaving.Value = bytes.Replace(leaving.Value, []byte("ready"), []byte("draining"), 1)
			targets.apply([]platform.Row{leaving}, false, 1, time.Second)
			targets.apply(test.before, false, 1, 2*time.Second)
			targets.apply([]platform.Row{withoutStart(entry("a", 8, 3))}, false, 1, 3*time.Second)
			is.Equal(len(targets.byID), 0)
			own := entry("a", 9, 5)
			own.Value = leaving.Value
			targets.apply([]platform.Row{own}, false, 1, 4*time.Second)
			is.True(targets.byID["a"].Leaving)
			is.True(!targets.releaseHeld(time.Minute)) // the target's own entry stands
		})
	}
}

// A target may start again with software that doesn't state its start. Its entry stays, and must be believed then.
func TestTargetThatNoLongerStatesItsStartIsLeftOut(t *testing.T) {
	is := is.New(t)
	targets := newTargets()
	targets.apply([]platform.Row{entry("a", 5, 3)}, true, 1, 0)
	is.True(targets.apply([]platform.Row{withoutStart(warmEntry(6, 1, "4s"))}, false, 1, time.Second))
	targets.apply([]platform.Row{withoutStart(warmEntry(7, 2, "2s"))}, false, 1, 3*time.Second)
	is.Equal(len(targets.byID), 0)
	is.True(!targets.releaseHeld(time.Second + holdTime - 1))
	is.True(targets.releaseHeld(time.Second + holdTime))
	is.Equal(targets.byID["a"].Warmup, 2*time.Second)
	targets.apply([]platform.Row{withoutStart(entry("a", 8, 3))}, false, 1, time.Minute)
	is.Equal(targets.byID["a"].Warmup, time.Duration(0))
}

func warmEntry(version uint64, sequence int, remaining string) platform.Row {
	row := entry("a", version, sequence)
	row.Value = bytes.Replace(row.Value, []byte("0ms"), []byte(remaining), 1)
	return row
}

// The same row comes from the store and from other VMs, and again with each full read: that must not make a target cold
// for longer. One that reports the same remaining time later must.
func TestRepeatedRowRenewsAWarmup(t *testing.T) {
	is := is.New(t)
	targets := newTargets()
	for i, step := range []struct {
		row    platform.Row
		era    uint64
		warmup time.Duration
		at     time.Duration // in seconds
	}{
		{warmEntry(5, 1, "2s"), 1, 2 * time.Second, 1},
		{warmEntry(5, 1, "2s"), 1, 2 * time.Second, 1}, // the same
		{warmEntry(6, 2, "2s"), 1, 2 * time.Second, 3}, // it has become cold again
		{warmEntry(7, 1, "3s"), 1, 2 * time.Second, 3}, // written late
		{warmEntry(5, 1, "3s"), 2, 2 * time.Second, 3}, // the store is older
		{warmEntry(8, 3, "0ms"), 2, 0, 6},
		{warmEntry(9, 4, "0ms"), 2, 0, 6}, // nothing new
		{warmEntry(10, 5, "1s"), 2, time.Second, 8},
	} {
		now := time.Duration(i+1) * time.Second
		targets.apply([]platform.Row{step.row}, false, step.era, now)
		is.Equal(targets.byID["a"].Warmup, step.warmup)
		is.Equal(targets.byID["a"].WarmupAt, step.at*time.Second)
	}
}
