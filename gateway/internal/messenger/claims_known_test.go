package messenger

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// A VM that joins must not take silence for consent: what its group claims is known once all have said so, or
// count as silent.
func TestVMThatJoinsActsBeforeItsGroupHasAnswered(t *testing.T) {
	is := is.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	now := time.Duration(0)
	messenger := &Messenger{ // doesn't run, so that there are no heartbeats
		Self: Peer{Name: "self", DataCentre: "d", Address: "127.0.0.1:0"}, Key: make([]byte, keyBytes),
		Clock: func() time.Duration { return now }, Log: logrus.NewEntry(log),
		StoreUnreachable: func() bool { return false }, OnClaim: func(Claim) {},
	}
	is.NoErr(messenger.Open())
	t.Cleanup(func() { _ = messenger.connection.Close() })
	is.True(!messenger.ClaimsKnown())
	messenger.AddPeers([]Peer{{Name: "a", DataCentre: "d", Address: "127.0.0.1:1"}, {Name: "b", DataCentre: "d", Address: "127.0.0.1:2"}})
	is.True(!messenger.ClaimsKnown())
	messenger.receive(message{From: "a", DataCentre: "d", Address: "127.0.0.1:1"}) // without claims
	is.True(!messenger.ClaimsKnown())
	for _, name := range []string{"a", "other"} {
		messenger.receive(message{From: name, DataCentre: "d", Address: "127.0.0.1:1", Claims: []Claim{{Table: "t", InForce: 21, InForceEra: 1}}})
	}
	is.True(!messenger.ClaimsKnown())
	now = silenceTimeout + time.Millisecond
	messenger.detectSilence()
	is.True(messenger.ClaimsKnown())
	messenger.receive(message{From: "c", DataCentre: "d", Address: "127.0.0.1:3"}) // one that starts later
	is.True(messenger.ClaimsKnown())
}
