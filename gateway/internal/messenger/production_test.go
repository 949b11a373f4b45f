package messenger

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"godwitramp.example/core/placer"
	"godwitramp.example/core/spreader"
)

// productionMessages are messages of every kind of content, as the build in production sends them.
func productionMessages() []message {
	from := message{From: "vm-1", DataCentre: "d", Address: "127.0.0.1:9"}
	with := func(change func(message *message)) message {
		message := from
		change(&message)
		return message
	}
	fingerprint := "0123456789abcdef"
	return []message{
		from,
		with(func(message *message) { message.Hello = true }),
		with(func(message *message) { message.Leaving = true }),
		with(func(message *message) {
			message.Relay, message.RelayPart = true, spreader.Part{First: 1, End: 4}
			message.Events = []Event{
				{Kind: Admitted, Name: "crews"}, {Kind: Admitted, Name: "crews", Tokens: 0.25}, {Kind: Deposited, Name: "crews", Tokens: 2},
				{Kind: AttemptStarted, Name: "t", Service: "s"}, {Kind: RetryStarted, Name: "t", Service: "s"},
				{Kind: AttemptDone, Name: "t", Service: "s", Outcome: placer.Slow}, {Kind: RequestFailed, Service: "s"},
				{Kind: AttemptOutcome, Name: "t", Outcome: placer.Failed}, {Kind: TargetLeaving, Name: "t", Incarnation: 7},
				{Kind: FleetFailure, Service: "s", Load: 3.5}, {Kind: TargetLimited, Name: "t", Incarnation: 7, Limit: 1.5},
				{Kind: TargetUnlimited, Name: "t", Incarnation: 7},
				{Kind: RequestCrashed, Name: "t", Incarnation: 7, Fingerprint: fingerprint, StartedAgo: time.Second, EndedAgo: time.Millisecond},
				{Kind: RequestCrashed, Name: "t", Incarnation: 7, Fingerprint: fingerprint, StartedAgo: time.Second, EndedAgo: time.Millisecond, Follows: true},
				{Kind: RequestCleared, Fingerprint: fingerprint},
				{Kind: RequestBlocked, Fingerprint: fingerprint, EndedAgo: time.Second, Remaining: time.Minute, Blocks: 2},
			}
		}),
		with(func(message *message) {
			message.Claims = []Claim{{
				Table: "op", Version: 12, StoreTime: time.Minute, After: 9, Rows: []Row{{Key: "config", Value: []byte{1, 2}, Version: 11}, {Key: "x", Version: 12, Deleted: true}},
				AfterOutage: true, Transferring: true, Era: 3, InForce: 11, InForceEra: 2,
			}}
			message.StoreUnreachable, message.Era, message.Key = true, 3, bytes.Repeat([]byte{7}, 32)
		}),
		with(func(message *message) { message.Asks = []ask{{ID: 9, Organisation: "crews", Tokens: 0.5}} }),
		with(func(message *message) { message.Grants = []grant{{ID: 9, Tokens: 0.5}} }),
	}
}

const productionFile = "testdata/f78941f.txt"

// A message that the build in production reads otherwise than this one would spoil the shared state of a fleet
// during an upgrade.
func TestMessagesAreThoseOfTheBuildInProduction(t *testing.T) {
	is := is.New(t)
	file, err := os.Open(productionFile)
	is.NoErr(err)
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for _, sent := range productionMessages() {
		is.True(lines.Scan())
		production, err := hex.DecodeString(lines.Text())
		is.NoErr(err)
		var own bytes.Buffer
		encoder := msgpack.NewEncoder(&own)
		encoder.UseArrayEncodedStructs(true)
		is.NoErr(encoder.Encode(&sent))
		is.Equal(hex.EncodeToString(own.Bytes()), lines.Text())
		var read message
		is.NoErr(msgpack.Unmarshal(production, &read))
		is.Equal(read, sent)
	}
	is.True(!lines.Scan())
}
