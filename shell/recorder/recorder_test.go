package recorder_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/confirmer"
	"godwitramp.example/shell/connector"
	"godwitramp.example/shell/faker"
	"godwitramp.example/shell/recorder"
)

// change returns a change that adds one organisation, named after the
// revision.
func change(team, id string, revision uint64) configurator.Change {
	entry := configurator.Entry{
		Path:   configurator.Path(fmt.Sprintf("/%s/organisations/o%d", team, revision)),
		Fields: []configurator.Field{{Name: "burst", Value: "5"}, {Name: "rate", Value: "1"}},
	}
	return configurator.Change{ID: id, Revision: revision, Team: team, Puts: []configurator.Entry{entry}}
}

// record records changes of team a up to the revision last.
func record(t *testing.T, records *recorder.Recorder, last uint64) {
	t.Helper()
	is := is.New(t)
	for {
		head, err := records.Head(t.Context())
		is.NoErr(err)
		if head.Revision >= last {
			return
		}
		team, err := records.Team(t.Context(), "a")
		is.NoErr(err)
		next := head.Revision + 1
		is.NoErr(records.Record(t.Context(), head, team, change("a", fmt.Sprint(next), next)))
	}
}

func TestConcurrentRecordsConflict(t *testing.T) {
	is := is.New(t)
	records := &recorder.Recorder{Platform: faker.New()}
	head, err := records.Head(t.Context())
	is.NoErr(err)
	a, err := records.Team(t.Context(), "a")
	is.NoErr(err)
	b, err := records.Team(t.Context(), "b")
	is.NoErr(err)
	is.NoErr(records.Record(t.Context(), head, a, change("a", "first", 1)))
	var conflict *recorder.ConflictError
	is.True(errors.As(records.Record(t.Context(), head, a, change("a", "second", 1)), &conflict))
	is.Equal(*conflict, recorder.ConflictError{Team: "a", Expected: 0, Found: 1})
	var moved *recorder.HeadMovedError
	is.True(errors.As(records.Record(t.Context(), head, b, change("b", "third", 1)), &moved))
	recorded, _, err := records.Change(t.Context(), 1)
	is.NoErr(err)
	is.Equal(recorded.ID, "first")
}

func TestLostAnswerIsResolvedByReading(t *testing.T) {
	is := is.New(t)
	platform := faker.New()
	records := &recorder.Recorder{Platform: platform}
	head, _ := records.Head(t.Context())
	team, _ := records.Team(t.Context(), "a")
	platform.SetFaults(faker.Faults{LoseAnswers: true})
	is.NoErr(records.Record(t.Context(), head, team, change("a", "mine", 1)))
	// A write at the same revision with another ID must not be taken for this one.
	platform.SetFaults(faker.Faults{})
	var conflict *recorder.ConflictError
	is.True(errors.As(records.Record(t.Context(), head, team, change("a", "other", 1)), &conflict))
	head, _ = records.Head(t.Context())
	is.Equal(head.Revision, uint64(1)) // written once
	var uncertain *recorder.UncertainError
	platform.SetFaults(faker.Faults{Outage: true})
	err := records.Record(t.Context(), head, team, change("a", "never", 2))
	is.True(err != nil && !errors.As(err, &uncertain)) // a refused call is not uncertain
}

func TestLoadFromSnapshots(t *testing.T) {
	const changes = 1400
	for _, test := range []struct {
		name            string
		damage          []uint64
		trim            bool
		damaged, missed int
	}{
		{name: "undamaged"},
		{name: "newest damaged", damage: []uint64{1300}, damaged: 1},
		{name: "both damaged", damage: []uint64{1300, 1200}, damaged: 2},
		{name: "trimmed", trim: true},
		{name: "trimmed and newest damaged", trim: true, damage: []uint64{1300}, damaged: 1},
		{name: "trimmed and both damaged", trim: true, damage: []uint64{1300, 1200}, damaged: 2, missed: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			platform := faker.New()
			damaged := 0
			records := &recorder.Recorder{Platform: platform, OnSnapshotError: func(uint64, error) { damaged++ }}
			record(t, records, 1200)
			storeSnapshot(t, records)
			record(t, records, 1300)
			storeSnapshot(t, records)
			record(t, records, changes)
			if test.trim {
				trimAll(t, records)
			}
			for _, revision := range test.damage {
				name := fmt.Sprintf("config/snapshot/%012d", revision)
				data, err := platform.Object(t.Context(), name)
				is.NoErr(err)
				data[len(data)/2]++
				is.NoErr(platform.PutObject(t.Context(), name, data))
			}
			state, _, err := records.Load(t.Context())
			is.Equal(damaged, test.damaged)
			if test.missed > 0 {
				var missing *recorder.MissingChangeError
				is.True(errors.As(err, &missing))
				return
			}
			is.NoErr(err)
			is.Equal(state.Revision, uint64(changes))
			is.Equal(len(state.Snapshot().Entries), changes)
		})
	}
}

func storeSnapshot(t *testing.T, records *recorder.Recorder) {
	t.Helper()
	is := is.New(t)
	state, _, err := records.Load(t.Context())
	is.NoErr(err)
	known, err := records.Snapshots(t.Context())
	is.NoErr(err)
	is.NoErr(records.StoreSnapshot(t.Context(), known, state.Snapshot()))
}

func trimAll(t *testing.T, records *recorder.Recorder) {
	t.Helper()
	is := is.New(t)
	for more := true; more; {
		known, err := records.Snapshots(t.Context())
		is.NoErr(err)
		more, err = records.TrimChanges(t.Context(), known)
		is.NoErr(err)
	}
	_, ok, err := records.Change(t.Context(), 1)
	is.NoErr(err)
	is.True(!ok) // the first change is trimmed
}

func TestDeregisterKeepsNewerIncarnation(t *testing.T) {
	is := is.New(t)
	platform := faker.New()
	records := &recorder.Recorder{Platform: platform}
	old := registration(1)
	is.NoErr(records.Register(t.Context(), old))
	is.NoErr(records.Register(t.Context(), registration(2)))
	is.NoErr(records.Deregister(t.Context(), old))
	rows, err := platform.Scan(t.Context(), "config/vm/", 2)
	is.NoErr(err)
	is.Equal(len(rows), 1)
	is.NoErr(records.Deregister(t.Context(), registration(2)))
	row, err := platform.Row(t.Context(), "config/vm/v")
	is.NoErr(err)
	is.Equal(row, connector.Row{Key: "config/vm/v"})
}

func registration(incarnation uint64) confirmer.Registration {
	return confirmer.Registration{VM: "v", Incarnation: incarnation, DataCentre: "d"}
}
