package verifier_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"godwitramp.example/core/verifier"
)

func TestConfigurationOlderThanALostOneIsWithheld(t *testing.T) {
	is := is.New(t)
	var started, late, ordinary verifier.Withholder
	started.RecordReading(10, 2, 0)
	started.RecordPeer(verifier.Origin{Version: 11, Era: 1})
	is.Equal(started.Required(), uint64(11))
	is.True(started.AsOf() < -time.Minute)
	started.RecordPeer(verifier.Origin{Version: 12, Era: 2}) // is on its way, but not here yet
	is.Equal(started.Required(), uint64(11))
	started.RecordReading(12, 2, 0)
	is.Equal(started.Required(), uint64(0))

	late.RecordReading(10, 1, 0)
	late.RecordPeer(verifier.Origin{Version: 11, Era: 1})
	is.Equal(late.Required(), uint64(0))
	late.RecordReading(10, 2, 7*time.Second)
	is.Equal(late.Required(), uint64(11))
	is.Equal(late.AsOf(), 7*time.Second)
	late.RecordReading(10, 3, 7*time.Second) // another restore
	is.Equal(late.AsOf(), 7*time.Second)

	late.RecordReading(11, 3, 7*time.Second)
	late.RecordPeer(verifier.Origin{Version: 12, Era: 3})
	is.Equal(late.Required(), uint64(0))
	late.RecordPeer(verifier.Origin{Version: 12, Era: 2}) // was lost and has been written again
	is.Equal(late.Required(), uint64(12))

	var shadowed verifier.Withholder
	shadowed.RecordReading(10, 1, 0)
	shadowed.RecordPeer(verifier.Origin{Version: 11, Era: 1})
	shadowed.RecordPeer(verifier.Origin{Version: 12, Era: 2}) // newer, but not lost
	shadowed.RecordReading(10, 2, 7*time.Second)
	is.Equal(shadowed.Required(), uint64(11))

	ordinary.RecordReading(10, 2, 0)
	ordinary.RecordPeer(verifier.Origin{Version: 11, Era: 2})
	ordinary.RecordPeer(verifier.Origin{Version: 9, Era: 1})
	ordinary.RecordPeer(verifier.Origin{})
	is.Equal(ordinary.Required(), uint64(0))
}

// A VM that has heard of a newer version must pass that on, also before it knows that the store has lost it.
func TestVersionOfAPeerIsToldToOthers(t *testing.T) {
	is := is.New(t)
	own := verifier.Origin{Version: 10, Era: 1}
	var withholder verifier.Withholder
	is.Equal(withholder.Newest(own), own)
	withholder.RecordReading(10, 1, 0)
	withholder.RecordPeer(verifier.Origin{Version: 9, Era: 1})
	is.Equal(withholder.Newest(own), own)
	withholder.RecordPeer(verifier.Origin{Version: 11, Era: 1})
	is.Equal(withholder.Newest(own), verifier.Origin{Version: 11, Era: 1})
	withholder.RecordReading(10, 2, 0)
	withholder.RecordPeer(verifier.Origin{Version: 12, Era: 2})
	is.Equal(withholder.Newest(own), verifier.Origin{Version: 11, Era: 1}) // is lost, 12 isn't
	own = verifier.Origin{Version: 12, Era: 2}
	withholder.RecordReading(12, 2, 0)
	is.Equal(withholder.Newest(own), own)
}

func TestStoreWithoutErasWithholdsNothing(t *testing.T) {
	is := is.New(t)
	var withholder verifier.Withholder
	withholder.RecordReading(10, 0, 0)
	withholder.RecordPeer(verifier.Origin{Version: math.MaxUint64})
	is.Equal(withholder.Required(), uint64(0))
}

// Whatever peers say, a configuration is withheld only while a peer holds a newer one of an
// ended era, and one that is as new ends it.
func TestWithheldUntilOneAsNewIsRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var withholder verifier.Withholder
		var inForce, era, newest uint64
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "reading") {
				inForce = max(inForce, rapid.Uint64Range(1, 9).Draw(t, "in-force"))
				era = max(era, rapid.Uint64Range(0, 9).Draw(t, "era"))
				withholder.RecordReading(inForce, era, time.Duration(era))
			} else {
				peer := verifier.Origin{Version: rapid.Uint64Range(0, 9).Draw(t, "version"), Era: rapid.Uint64().Draw(t, "peer-era")}
				newest = max(newest, peer.Version)
				withholder.RecordPeer(peer)
			}
			required := withholder.Required()
			if required > 0 && (required <= inForce || required > newest) {
				t.Fatalf("%d is required, in force is %d, peers had %d", required, inForce, newest)
			}
		}
	})
}
