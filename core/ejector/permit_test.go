package ejector_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/ejector"
	"godwitramp.example/core/timekeeper"
)

func newClaimer(holder string) *ejector.Claimer {
	return &ejector.Claimer{Permit: &ejector.Permit{Holder: holder, ID: ejector.PermitID{Group: ejector.Group{Service: group, Region: "r1"}}}}
}

func TestPermitLapsesBeforeTakeover(t *testing.T) {
	is := is.New(t)
	at := timekeeper.At
	first, second := newClaimer("vm-1"), newClaimer("vm-2")
	first.ObserveRow(0, ejector.Claim{}, at(0))
	claim := first.BeginWrite("a", at(time.Second))
	first.ObserveRow(1, claim, at(time.Minute)) // the answer was lost, but the row shows the write
	second.ObserveRow(1, claim, at(time.Minute))
	end := time.Second + ejector.PermitLease // the lease starts before the write
	is.True(first.Permit.Eject(targetPath(0), time.Hour, 1, at(end-5*time.Second)))
	is.Equal(first.Permit.Statement(at(end-5*time.Second)).Left, 5*time.Second) // limited by the permit's lease
	is.True(!first.Permit.Held(at(end)))
	is.True(!first.Permit.Held(timekeeper.Reading{Mono: time.Minute, Wall: end})) // after a suspension, in which the monotonic clock stood still
	first.Permit.EndEjection()
	is.True(!first.Permit.Eject(targetPath(1), time.Hour, 1, at(end+time.Hour)))
	is.True(!second.MayWrite(at(time.Minute + ejector.PermitLease + timekeeper.DriftMargin - 1)))
	is.True(second.MayWrite(at(time.Minute + ejector.PermitLease + timekeeper.DriftMargin)))
}

func TestNewHolderWaitsForPreviousEjection(t *testing.T) {
	is := is.New(t)
	claimer := newClaimer("vm-2")
	claimer.ObserveRow(4, ejector.Claim{Holder: "vm-1", Released: true}, timekeeper.At(0))
	claimer.ObserveRow(5, claimer.BeginWrite("b", timekeeper.At(0)), timekeeper.At(0))
	free := ejector.EjectionLease + timekeeper.DriftMargin
	is.True(!claimer.Permit.Eject(targetPath(0), time.Minute, 1, timekeeper.At(free-1)))
	is.True(claimer.Permit.Eject(targetPath(0), time.Minute, 1, timekeeper.At(free)))
}

func TestRestartTakesOverPermit(t *testing.T) {
	for _, test := range []struct {
		boot, row string
		want      bool
	}{
		{"boot-1 127.0.0.1:9001", "boot-1 127.0.0.1:9001", true},
		{"boot-2 127.0.0.1:9001", "boot-1 127.0.0.1:9001", false}, // another VM has the same name now
		{"", "", false}, // unknown boots prove nothing
	} {
		is := is.New(t)
		claimer := newClaimer("vm-1")
		claimer.Boot = test.boot
		claimer.ObserveRow(1, ejector.Claim{Holder: "vm-1", Nonce: "old", Boot: test.row}, timekeeper.At(0))
		is.Equal(claimer.MayWrite(timekeeper.At(time.Minute)), test.want)
	}
}

func TestFlappingLengthensEjection(t *testing.T) {
	is := is.New(t)
	var ejectionTimes ejector.EjectionTimes
	now := time.Duration(0)
	for _, want := range []time.Duration{10 * time.Second, 20 * time.Second, 40 * time.Second} {
		length, strikes := ejectionTimes.Next("t", now)
		is.Equal(length, want)
		now += length
		ejectionTimes.RecordEnd("t", strikes, now)
	}
	length, _ := ejectionTimes.Next("t", now+15*time.Minute)
	is.Equal(length, 10*time.Second) // strikes expire after good service
}
