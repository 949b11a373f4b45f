package messenger

import (
	"bytes"
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"godwitramp.example/core/placer"
)

// Kind is what a event tells.
type Kind uint8

// The kinds of events.
const (
	// Admitted tells of a request that an organisation was charged for.
	Admitted Kind = iota + 1
	// AttemptStarted tells of the first attempt of a request.
	AttemptStarted
	// RetryStarted tells of a further attempt of a request.
	RetryStarted
	// AttemptDone tells how an attempt ended whose beginning was told.
	AttemptDone
	// RequestFailed tells of a request that was refused or failed.
	RequestFailed
	// AttemptOutcome tells how an attempt ended, to VMs that weren't told of its beginning.
	AttemptOutcome
	// TargetLeaving tells that a target said it leaves.
	TargetLeaving
)

// Event is one thing that a VM tells others.
type Event struct {
	Kind Kind
	// Name is the organisation of Admitted, and otherwise the target.
	Name string
	// Service is that of Begun, BegunAgain, Ended and Unserved.
	Service string
	// Outcome is that of Ended and Told.
	Outcome placer.Outcome
	// Incarnation is the start of the target that Left is about.
	Incarnation int64
}

// message is what one datagram holds.
type message struct {
	From       string
	DataCentre string
	Address    string
	// Hello asks for an answer.
	Hello bool
	// Leaving tells that the sender stops for good or for a restart.
	Leaving bool
	// Relay asks to pass the events on in the receiver's group.
	Relay  bool
	Events []Event
	Claims []Claim
	// StoreUnreachable is true while the store does not answer the sender.
	StoreUnreachable bool
}

// Claim is what the sender knows of a table of the store by itself.
type Claim struct {
	Table   string
	Version uint64
	// StoreTime is a time of the store's clock.
	StoreTime time.Duration
	// Rows are what changed between After and Change, if there are any.
	After       uint64
	Rows        []Row
	AfterOutage bool
	// Transferring is true while the sender gets a long answer that follows After.
	Transferring bool
}

// Row is a changed row of the store.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	Deleted bool
}

// maxClaimBytes bounds the rows of a claim. The VMs ask the store for longer ones
// by themselves.
const maxClaimBytes = 24 << 10

// bounded leaves the rows out if they are too long for a datagram.
func (claim Claim) bounded() Claim {
	size := 0
	for _, row := range claim.Rows {
		size += len(row.Key) + len(row.Value)
	}
	if size > maxClaimBytes {
		claim.After, claim.Rows = 0, nil
	}
	return claim
}

// sealer encrypts messages with the fleet's key.
type sealer struct {
	aead cipher.AEAD
}

func newSealer(key []byte) (*sealer, error) {
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, fmt.Errorf("use the fleet's key: %w", err)
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return nil, fmt.Errorf("use the fleet's key: %w", err)
	}
	return &sealer{aead: aead}, nil
}

func (sealer *sealer) seal(message message) ([]byte, error) {
	var plain bytes.Buffer
	encoder := msgpack.NewEncoder(&plain)
	encoder.UseArrayEncodedStructs(true) // names of fields would double the size
	if err := encoder.Encode(&message); err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	nonce := make([]byte, sealer.aead.NonceSize(), sealer.aead.NonceSize()+plain.Len()+sealer.aead.Overhead())
	if _, err := rand.Read(nonce); err != nil {
		return nil, fmt.Errorf("draw nonce: %w", err)
	}
	return sealer.aead.Seal(nonce, nonce, plain.Bytes(), nil), nil
}

var errNotAuthenticated = errors.New("the datagram is not from this fleet")

func (sealer *sealer) open(datagram []byte) (message, error) {
	size := sealer.aead.NonceSize()
	if len(datagram) < size {
		return message{}, errNotAuthenticated
	}
	plain, err := sealer.aead.Open(nil, datagram[:size], datagram[size:], nil)
	if err != nil {
		return message{}, errNotAuthenticated
	}
	var decoded message
	if err := msgpack.Unmarshal(plain, &decoded); err != nil {
		return message{}, fmt.Errorf("decode message: %w", err)
	}
	return decoded, nil
}
