package dater_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"godwitramp.example/core/dater"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// The answer of a long poll must be dated when the store made it, not when the call
// was sent.
func TestLongPollAnswerIsDatedByTheStore(t *testing.T) {
	is := is.New(t)
	var dater dater.Dater
	_, known := dater.LocalTime(0)
	is.True(!known)
	dater.Date(10*time.Second, 2*time.Second+4*time.Millisecond) // a quick call
	asOf := dater.Date(11*time.Second, 23*time.Second)           // held for 20 s
	is.Equal(asOf, 31*time.Second-4*time.Millisecond)
}

// For any durations of calls and answers and any offset of the clocks, an answer must
// never be dated later than it was made.
func TestAnswerIsNeverDatedTooLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var dater dater.Dater
		offset := time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "offset"))
		now := time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(t, "calls") {
			now += time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "pause"))
			sent := now
			now += time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "way"))
			made := now
			now += time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "back"))
			if asOf := dater.Date(sent, made+offset); asOf > made {
				t.Fatalf("an answer made at %v was dated later, at %v", made, asOf)
			}
		}
	})
}
