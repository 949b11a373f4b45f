package verifier_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"godwitramp.example/core/verifier"
)

const (
	// old is a time long before the reading of a survey, and fresh one shortly before it.
	old   = 10 * time.Second
	fresh = 19 * time.Second
	// readAt is that of the reading.
	readAt = 20 * time.Second
)

// newSurvey returns a survey of a VM that was up before the era, or has started in it, after one round.
func newSurvey(started bool, asked verifier.Asked) *verifier.Surveyor {
	surveyor := &verifier.Surveyor{}
	if !started {
		surveyor.RecordReading(1, 30, false, 0)
	}
	surveyor.RecordReading(2, 20, true, readAt)
	asked.Far = true
	surveyor.RecordAsked(asked, readAt)
	return surveyor
}

func TestSurveyEndsWhenTheAnswersSuffice(t *testing.T) {
	three := verifier.Asked{DataCentres: 3}
	for _, test := range []struct {
		name           string
		started        bool
		asked          verifier.Asked
		answered, mute []string
		asOf           time.Duration
		// soon and late say whether the survey has ended at once, and after the patience.
		soon, late bool
	}{
		{name: "nobody answers", asked: three, asOf: fresh},
		{name: "its own data centre answers", asked: three, answered: []string{""}, asOf: fresh, late: true},
		{name: "its own data centre knows no better", asked: three, answered: []string{""}, asOf: old},
		{name: "one of three answers", asked: three, answered: []string{"b"}, asOf: fresh, late: true},
		{name: "half of all know no better", asked: three, answered: []string{"", "b"}, asOf: old},
		{name: "most know no better", asked: three, answered: []string{"b", "c"}, asOf: old, late: true},
		{name: "all answer", asked: three, answered: []string{"b", "c", "d"}, asOf: fresh, soon: true, late: true},
		{name: "all know no better", asked: three, answered: []string{"b", "c", "d"}, asOf: old, late: true},
		{name: "the group knows no better", asked: verifier.Asked{}, answered: []string{""}, asOf: old, late: true},
		{name: "the group is silent", asked: verifier.Asked{}, asOf: fresh},
		{name: "no other VM is known", asked: verifier.Asked{Alone: true}, asOf: fresh, soon: true, late: true},
		{name: "no other VM is known to one that knows little", asked: verifier.Asked{Alone: true}, asOf: old, late: true},
		{name: "all can't say", asked: three, mute: []string{"b", "c", "d"}, asOf: fresh},
		{name: "all can't say to one that has started", started: true, asked: three, mute: []string{"b", "c", "d"}, asOf: old, late: true},
		{name: "one that has started hears its group only", started: true, asked: three, answered: []string{""}, asOf: old},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			surveyor := newSurvey(test.started, test.asked)
			for _, dataCentre := range test.answered {
				surveyor.RecordAnswer(verifier.Answer{DataCentre: dataCentre, AskedAt: readAt})
			}
			for _, dataCentre := range test.mute {
				surveyor.RecordAnswer(verifier.Answer{DataCentre: dataCentre, Mute: true})
			}
			is.Equal(surveyor.Settle(test.asOf, readAt+100*time.Millisecond), test.soon)
			surveyor.Settle(test.asOf, readAt+time.Second)
			is.Equal(surveyor.Settled(), test.late)
		})
	}
}

func TestOperatorWhoWritesEndsASurvey(t *testing.T) {
	is := is.New(t)
	surveyor := newSurvey(false, verifier.Asked{DataCentres: 3})
	surveyor.RecordWrite(20) // the copy has it
	is.True(!surveyor.Settled())
	surveyor.RecordReading(2, 21, true, readAt) // no first reading
	surveyor.RecordWrite(21)
	is.True(surveyor.Settled())
	is.True(surveyor.RecordReading(3, 20, true, readAt))
	is.True(!surveyor.Settled())
}

func TestStoreThatWasNeverRestoredNeedsNoSurvey(t *testing.T) {
	is := is.New(t)
	var surveyor verifier.Surveyor
	is.True(!surveyor.Due(0))
	is.True(!surveyor.RecordReading(1, 30, false, 0))
	is.True(surveyor.Settled())
	is.True(!surveyor.Surveying())
}

// A survey asks a few times if the first answers suffice but come from VMs that may have missed something, and ever
// more rarely if none come.
func TestRoundsOfASurvey(t *testing.T) {
	rounds := func(surveyor *verifier.Surveyor, duration time.Duration) int {
		rounds := 1
		for now := readAt; now < readAt+duration; now += 10 * time.Millisecond {
			if surveyor.Due(now) {
				surveyor.RecordAsked(verifier.Asked{DataCentres: 1, Far: true}, now)
				rounds++
			}
		}
		return rounds
	}
	for knownAsOf, expected := range map[time.Duration]int{fresh: 1, old: 3, 0: 3} {
		is := is.New(t)
		surveyor := newSurvey(false, verifier.Asked{DataCentres: 1})
		surveyor.RecordAnswer(verifier.Answer{DataCentre: "b", AskedAt: readAt, KnownAsOf: knownAsOf})
		is.True(surveyor.Settle(fresh, readAt+time.Millisecond))
		is.Equal(rounds(surveyor, time.Minute), expected)
		is.True(!surveyor.Surveying())
	}
	is := is.New(t)
	is.Equal(rounds(newSurvey(false, verifier.Asked{DataCentres: 1}), time.Second), 3)
	is.True(rounds(newSurvey(false, verifier.Asked{DataCentres: 1}), time.Hour) < 1900)
}

// Traffic between data centres is paid for: of a group that is up to date, only the first VM asks in others, unless it
// doesn't end its survey.
func TestFirstOfAGroupAsksForIt(t *testing.T) {
	is := is.New(t)
	started, up := newSurvey(true, verifier.Asked{}), newSurvey(false, verifier.Asked{})
	soon, late := readAt+time.Second, readAt+1200*time.Millisecond
	is.True(up.Far(true, fresh, readAt))
	is.True(!up.Far(false, fresh, soon))
	is.True(up.Far(false, fresh, late))
	is.True(up.Far(false, old, readAt)) // can't trust keys
	is.True(started.Far(true, old, readAt))
	is.True(!started.Far(false, old, soon))
	is.True(started.Far(false, old, late))
	near := &verifier.Surveyor{}
	near.RecordReading(2, 20, true, readAt)
	near.RecordAsked(verifier.Asked{DataCentres: 2}, readAt)
	near.RecordAnswer(verifier.Answer{})
	is.True(!near.Settle(fresh, readAt+time.Minute)) // it has not asked in the others
	near.RecordSettled(1)
	is.True(!near.SettledIn(2))
	near.RecordSettled(2)
	is.True(near.SettledIn(2) && !near.SettledIn(1))
	is.True(!near.Surveying())
}

// Answers that were read late, as after a suspension, must not count for a later survey.
func TestLateAnswersCountForNoSurvey(t *testing.T) {
	is := is.New(t)
	surveyor := newSurvey(false, verifier.Asked{DataCentres: 1})
	for _, askedAt := range []time.Duration{0, readAt - 1} {
		surveyor.RecordAnswer(verifier.Answer{DataCentre: "b", AskedAt: askedAt})
		is.True(!surveyor.Settle(fresh, readAt+29*time.Second))
	}
	surveyor.RecordAnswer(verifier.Answer{DataCentre: "b", AskedAt: readAt})
	is.True(surveyor.Settle(fresh, readAt+time.Minute))
}

// The last VM of a fleet serves again some time after a restore if it was up to date. One that wasn't does not, nor
// one that has just started.
func TestVMThatNobodyAnswersGoesByWhatItKnew(t *testing.T) {
	is := is.New(t)
	three := verifier.Asked{DataCentres: 3}
	last := newSurvey(false, three)
	is.True(!last.Settle(fresh, readAt+29*time.Second))
	is.True(last.Settle(fresh, readAt+30*time.Second))
	is.True(!newSurvey(false, three).Settle(old, readAt+time.Hour))
	is.True(!newSurvey(true, three).Settle(-time.Hour, readAt+time.Hour))
}

// Whatever order things come in, a VM that the store turned away and that has heard nobody, though it knows others,
// believes the copy only once the operator has written.
func TestVMThatHearsNobodyNeverBelievesTheCopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		surveyor := newSurvey(rapid.Bool().Draw(t, "started"), verifier.Asked{DataCentres: 2})
		now, written := readAt, false
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "milliseconds")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				surveyor.RecordAsked(verifier.Asked{DataCentres: rapid.IntRange(0, 9).Draw(t, "asked"), Far: rapid.Bool().Draw(t, "far")}, now)
			case 1:
				surveyor.RecordReading(2, rapid.Uint64().Draw(t, "version"), true, now)
			case 2:
				surveyor.Settle(time.Duration(rapid.Int64Range(0, int64(old)).Draw(t, "as-of")), now)
			case 3:
				version := rapid.Uint64Range(10, 22).Draw(t, "written")
				written = written || version > 20
				surveyor.RecordWrite(version)
			}
			if surveyor.Settled() != written {
				t.Fatalf("settled=%t, the operator has written=%t", surveyor.Settled(), written)
			}
		}
	})
}
