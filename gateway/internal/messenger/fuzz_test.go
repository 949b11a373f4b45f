package messenger

import (
	"bytes"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"godwitramp.example/core/placer"
	"godwitramp.example/core/spreader"
)

// No message of a VM that holds the fleet's key may end the process, however malformed.
func FuzzReceive(f *testing.F) {
	for _, seed := range []message{
		{From: "a", DataCentre: "d", Address: "127.0.0.1:9", Hello: true},
		{From: "a", DataCentre: "d", Address: "127.0.0.1:9", Leaving: true},
		{From: "a", DataCentre: "e", Address: "127.0.0.1:9", Relay: true, RelayPart: spreader.Part{First: -3, End: 1 << 30},
			Events: []Event{{Kind: AttemptOutcome, Name: "t", Outcome: placer.Failed}, {Kind: 200, Load: 1}}},
		{From: "a", DataCentre: "d", Address: "nowhere", Claims: []Claim{{Table: "t", Version: 1 << 60, Rows: []Row{{Key: "k"}}}}},
		{From: "a", DataCentre: "d", Address: "127.0.0.1:9", Claims: []Claim{{Table: "t", Era: 1<<64 - 1, Version: 1<<64 - 1}, {Table: erasPrefix}}},
		{From: "a", DataCentre: "d", Address: "127.0.0.1:9", Asks: []ask{{ID: 1, Organisation: "o", Tokens: -1}}, Grants: []grant{{ID: 2, Tokens: 1e300}}},
	} {
		var plain bytes.Buffer
		encoder := msgpack.NewEncoder(&plain)
		encoder.UseArrayEncodedStructs(true)
		if err := encoder.Encode(&seed); err != nil {
			f.Fatal(err)
		}
		f.Add(plain.Bytes())
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	messenger := &Messenger{
		Self: Peer{Name: "self", DataCentre: "d", Address: "127.0.0.1:0"}, Key: make([]byte, keyBytes),
		Regions: map[string]string{"d": "r", "e": "r"}, Clock: func() time.Duration { return 0 }, Log: logrus.NewEntry(log),
		OnEvent: func(Peer, Event) {}, OnClaim: func(Claim) {}, StoreUnreachable: func() bool { return false },
		OnAsk: func(string, float64) float64 { return 0 }, OnTokens: func(string, string, float64) {},
	}
	if err := messenger.Open(); err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = messenger.connection.Close() })
	_ = messenger.connection.SetWriteDeadline(time.Unix(1, 0)) // nothing leaves the test
	f.Fuzz(func(_ *testing.T, plain []byte) {
		decoded, err := decodeMessage(plain)
		if err != nil {
			return
		}
		messenger.receive(decoded)
		if len(messenger.peers) > maxFuzzedPeers {
			messenger.peers = make(map[string]*peer)
			messenger.contacts = make(map[string][]netip.AddrPort)
		}
	})
}

const (
	keyBytes = 32
	// maxFuzzedPeers keeps the state small, so that the fuzzer stays quick.
	maxFuzzedPeers = 64
)
