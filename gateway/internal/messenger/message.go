package messenger

import (
	"bytes"
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"godwitramp.example/core/keeper"
	"godwitramp.example/core/placer"
	"godwitramp.example/core/spreader"
)

// Kind is the kind of an event. The numbers are sent between VMs.
type Kind uint8

// Kinds of events.
const (
	// Admitted: a request was charged to the rate of an organisation, or tokens of it were
	// lent to another group.
	Admitted Kind = iota + 1
	// AttemptStarted: the first attempt of a request has started.
	AttemptStarted
	// RetryStarted: a further attempt of a request has started.
	RetryStarted
	// AttemptDone: an attempt has ended whose start was sent to the same VMs.
	AttemptDone
	// RequestFailed: a request was refused or failed.
	RequestFailed
	// AttemptOutcome: an attempt has ended whose start was not sent to these VMs.
	AttemptOutcome
	// TargetLeaving: a target has announced that it is leaving.
	TargetLeaving
	// Deposited: tokens that other groups lent are added to the group's bucket.
	Deposited
	// FleetFailure: a request that can't be sent again has failed at a target, in another
	// group than the receiver's. It is a kind of its own because a relay's messages to its
	// group look like those of a VM of the group.
	FleetFailure
	// TargetLimited: a target names in its answers the requests a second that it takes from all
	// VMs together.
	TargetLimited
	// TargetUnlimited: a target that has named a limit names none any more.
	TargetUnlimited
	// RequestCrashed: a request ran at a target that crashed meanwhile.
	RequestCrashed
	// RequestCleared: a request that ran at targets that crashed was answered well.
	RequestCleared
	// RequestBlocked: a request is blocked, as it crashes the targets that run it.
	RequestBlocked
	// HedgesOffered: a group leaves hedges of a service to another one. Name is the number of the group, Tokens are
	// the hedges, Load the requests of which they are a share, and Limit the hedges that it keeps. VMs of earlier versions
	// ignore it.
	HedgesOffered
	// TargetCold: a probe has found a target cold. VMs of earlier versions ignore it.
	TargetCold
)

// Event is something that a VM reports to others.
type Event struct {
	Kind Kind
	// Name is the organisation for Admitted and Deposited, the target for the other kinds,
	// and empty for RequestFailed, FleetFailure, RequestCleared and RequestBlocked.
	Name string
	// Service is set for AttemptStarted, RetryStarted, AttemptDone, RequestFailed and
	// FleetFailure.
	Service string
	// Outcome is set for AttemptDone and AttemptOutcome.
	Outcome placer.Outcome
	// Incarnation is the target's incarnation for TargetLeaving, TargetLimited, TargetUnlimited,
	// TargetCold and RequestCrashed.
	Incarnation int64
	// Tokens is set for Admitted and Deposited. Zero is one token for Admitted.
	Tokens float64
	// Load is the sender's placer.Load of the service, for FleetFailure.
	Load float64
	// Limit is the limit for TargetLimited.
	Limit float64
	// Fingerprint is the fingerprint of the request, as bytes, for RequestCrashed, RequestCleared
	// and RequestBlocked.
	Fingerprint string
	// StartedAgo is how long before the message the run began, for RequestCrashed. EndedAgo is how
	// long before it the last crash was, for RequestCrashed and RequestBlocked.
	StartedAgo, EndedAgo time.Duration
	// Remaining is how much longer the request is blocked, and Blocks how often it has been, for
	// RequestBlocked. For TargetCold, Remaining is how much longer the target is cold.
	Remaining time.Duration
	Blocks    int
	// Follows is true if the run was a retry after another crash, for RequestCrashed.
	Follows bool
	// Hedge is true for RetryStarted and AttemptDone if the attempt was a hedge within a limit.
	Hedge bool
	// Again is true for AttemptStarted if the request was counted by an earlier event.
	Again bool
	// Latency is how long the attempt took of a request on Route, for AttemptDone. It is only set for services with a
	// limit of hedges, and if the attempt shows how long the answers of the route take. Route is also set for
	// AttemptStarted and RetryStarted, at services whose requests are ordered by priority.
	Latency time.Duration
	Route   string
}

// message is the content of one datagram. Messages and events are encoded as arrays: the
// order and the types of the fields are part of the protocol, and new ones come at the end.
// Fields after those of the first version are left out if they are zero, as VMs of that
// version refuse longer arrays.
type message struct {
	From       string
	DataCentre string
	Address    string
	// Hello asks the receiver to send a message back.
	Hello bool
	// Leaving is true if the sender stops, for good or for a restart.
	Leaving bool
	// Relay asks the receiver to forward the events to its own group, and to the other
	// groups of RelayPart.
	Relay  bool
	Events []Event
	Claims []Claim
	// StoreUnreachable is true while the store does not answer the sender. It is only set
	// on messages with claims.
	StoreUnreachable bool
	RelayPart        spreader.Part
	// Asks ask the receiver for tokens, and Grants answer asks of the receiver.
	Asks   []ask
	Grants []grant
	// Era is the newest era of the store that the sender has heard of. It is only set on
	// messages with claims, and left out for a store that was never restored.
	Era uint64
	// Key is the fleet's key, which the store had in Era, for a receiver that may only know
	// an earlier one.
	Key []byte

	// sealedWith is the key that the message was opened with.
	sealedWith []byte
}

// isPlain reports whether the message says nothing, like an answer to a hello.
func (message *message) isPlain() bool {
	return !message.Hello && len(message.Events)+len(message.Claims)+len(message.Asks)+len(message.Grants) == 0
}

// The numbers of fields of the first version.
const (
	firstMessageFields = 9
	firstEventFields   = 5
)

// EncodeMsgpack encodes the message.
func (message *message) EncodeMsgpack(encoder *msgpack.Encoder) error {
	sent := *message
	sent.Claims = splitEras(message.Claims)
	return sent.encode(encoder)
}

func (message *message) encode(encoder *msgpack.Encoder) error {
	used := firstMessageFields
	switch {
	case len(message.Key) > 0:
		used += 5
	case message.Era > 0:
		used += 4
	case len(message.Grants) > 0:
		used += 3
	case len(message.Asks) > 0:
		used += 2
	case message.RelayPart != spreader.Part{}:
		used++
	}
	return encodeFields(encoder, message.fields()[:used])
}

// DecodeMsgpack decodes a message of any version.
func (message *message) DecodeMsgpack(decoder *msgpack.Decoder) error {
	if err := decodeFields(decoder, message.fields(), firstMessageFields); err != nil {
		return err
	}
	message.Claims = joinEras(message.Claims)
	return nil
}

func (message *message) fields() []any {
	return []any{
		&message.From, &message.DataCentre, &message.Address, &message.Hello, &message.Leaving, &message.Relay, &message.Events,
		&message.Claims, &message.StoreUnreachable, &message.RelayPart, &message.Asks, &message.Grants, &message.Era, &message.Key,
	}
}

// EncodeMsgpack encodes the event.
func (event *Event) EncodeMsgpack(encoder *msgpack.Encoder) error {
	used := firstEventFields
	switch {
	case event.Route != "":
		used += 13
	case event.Again:
		used += 11
	case event.Hedge:
		used += 10
	case event.Follows:
		used += 9
	case event.Remaining != 0:
		used += 8
	case event.Fingerprint != "":
		used += 6
	case event.Limit != 0:
		used += 3
	case event.Load != 0:
		used += 2
	case event.Tokens != 0:
		used++
	}
	return encodeFields(encoder, event.fields()[:used])
}

// DecodeMsgpack decodes an event of any version.
func (event *Event) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeFields(decoder, event.fields(), firstEventFields)
}

func (event *Event) fields() []any {
	return []any{
		&event.Kind, &event.Name, &event.Service, &event.Outcome, &event.Incarnation, &event.Tokens, &event.Load, &event.Limit,
		&event.Fingerprint, &event.StartedAgo, &event.EndedAgo, &event.Remaining, &event.Blocks,
		&event.Follows, &event.Hedge, &event.Again, &event.Latency, &event.Route,
	}
}

func encodeFields(encoder *msgpack.Encoder, fields []any) error {
	if err := encoder.EncodeArrayLen(len(fields)); err != nil {
		return fmt.Errorf("encode number of fields: %w", err)
	}
	return encoder.EncodeMulti(fields...)
}

// decodeFields decodes an array with at least the given number of fields, and skips those
// that this version doesn't know.
func decodeFields(decoder *msgpack.Decoder, fields []any, least int) error {
	length, err := decoder.DecodeArrayLen()
	if err != nil {
		return fmt.Errorf("decode number of fields: %w", err)
	}
	if length < least {
		return fmt.Errorf("%d fields, must be %d or more", length, least)
	}
	if err := decoder.DecodeMulti(fields[:min(length, len(fields))]...); err != nil {
		return fmt.Errorf("decode fields: %w", err)
	}
	for range length - len(fields) {
		if err := decoder.Skip(); err != nil {
			return fmt.Errorf("skip unknown field: %w", err)
		}
	}
	return nil
}

// Claim states up to when a table of the store had not changed since Version, as the sender
// read it from the store itself.
type Claim struct {
	Table   string
	Version uint64
	// StoreTime is on the store's clock.
	StoreTime time.Duration
	// Rows are all rows that changed between After and Version. They may be left out.
	After uint64
	Rows  []Row
	// AfterOutage is true if Rows came in the first answer after an outage of the store.
	AfterOutage bool
	// Transferring is true while the sender receives a long answer of the store with the
	// changes since After.
	Transferring bool
	// Era is the era of the store to which Version and StoreTime belong, see erasPrefix.
	Era uint64 `msgpack:"-"`
	// InForce is the newest version of the configuration that the sender knows of, and InForceEra
	// the era in which it was read, in claims about its table.
	InForce    uint64 `msgpack:"-"`
	InForceEra uint64 `msgpack:"-"`
	// ServedSince is the time on the store's clock since which it has answered the sender and its peers without an
	// interruption, 0 if that isn't known.
	ServedSince time.Duration `msgpack:"-"`
	// Settled is true if the sender's readings of Era count as up to date, in claims about the
	// table of the configuration.
	Settled bool `msgpack:"-"`
	// KnownAsOf is the time up to which InForce is known to have been the newest, on the clock of
	// the VM that has the claim, 0 if that isn't known. It is told in answers to a survey only, see
	// surveyTable: a datagram may be read long after it was sent.
	KnownAsOf time.Duration `msgpack:"-"`
	// AskedAt is when this VM asked for the claim, 0 if it didn't, and DataCentre that of the sender
	// if it isn't this VM's. Both are set by the receiver.
	AskedAt    time.Duration `msgpack:"-"`
	DataCentre string        `msgpack:"-"`
}

// erasPrefix and the name of a table are the table of an extra claim, which is sent along
// with those of the message. It carries fields of the claim about that table: Era as Version,
// InForce as After, ServedSince as StoreTime, InForceEra as the Version of its only row, if it isn't 0, and Settled as
// AfterOutage. All versions refuse claims with more fields, but ignore and relay claims about tables that they don't know.
const erasPrefix = "//era/"

// splitEras adds the extra claims.
func splitEras(claims []Claim) []Claim {
	sent := claims[:len(claims):len(claims)]
	for _, claim := range claims {
		if claim.Era == 0 && claim.InForce == 0 && claim.ServedSince == 0 {
			continue
		}
		extra := Claim{Table: erasPrefix + claim.Table, Version: claim.Era, After: claim.InForce, StoreTime: claim.ServedSince, AfterOutage: claim.Settled}
		if claim.InForceEra > 0 {
			extra.Rows = []Row{{Version: claim.InForceEra}}
		}
		sent = append(sent, extra)
	}
	return sent
}

// joinEras takes the extra claims out and sets the fields that they carry.
func joinEras(received []Claim) []Claim {
	var claims []Claim
	extra := make(map[string]Claim)
	for _, claim := range received {
		if table, ok := strings.CutPrefix(claim.Table, erasPrefix); ok {
			extra[table] = claim
			continue
		}
		claims = append(claims, claim)
	}
	for i := range claims {
		found := extra[claims[i].Table]
		claims[i].Era, claims[i].InForce, claims[i].ServedSince = found.Version, found.After, found.StoreTime
		claims[i].Settled = found.AfterOutage
		if len(found.Rows) > 0 {
			claims[i].InForceEra = found.Rows[0].Version
		}
	}
	return claims
}

// Row is a changed or deleted row of the store.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	Deleted bool
}

// maxClaimBytes limits the keys and values of the rows in a claim. VMs read larger changes
// from the store themselves.
const maxClaimBytes = 24 << 10

// bounded returns the claim, without rows if these exceed maxClaimBytes.
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

// sealer encrypts and authenticates messages with the fleet's keys by AES-GCM. Only open is
// not safe for concurrent use.
type sealer struct {
	mutex sync.RWMutex
	keys  *keeper.Keys
	// ciphers are those of keys.Held.
	ciphers []cipher.AEAD
	// seen are the nonces of the last messages, and recent the same in their order, from
	// position next on.
	seen   map[string]bool
	recent []string
	next   int
}

// nonceSize is that of AES-GCM.
const nonceSize = 12

// maxNonces is the number of nonces that are remembered: those of some seconds on a busy VM.
const maxNonces = 4096

// addNonce remembers a nonce, and reports whether it is new.
func (sealer *sealer) addNonce(nonce string) bool {
	if sealer.seen[nonce] {
		return false
	}
	sealer.seen[nonce] = true
	if len(sealer.recent) < maxNonces {
		sealer.recent = append(sealer.recent, nonce)
		return true
	}
	delete(sealer.seen, sealer.recent[sealer.next])
	sealer.recent[sealer.next] = nonce
	sealer.next = (sealer.next + 1) % maxNonces
	return true
}

func newSealer(era uint64, key []byte) (*sealer, error) {
	sealer := &sealer{keys: keeper.NewKeys(era, key), seen: make(map[string]bool)}
	aead, err := newCipher(key)
	if err != nil {
		return nil, err
	}
	sealer.ciphers = []cipher.AEAD{aead}
	return sealer, nil
}

func newCipher(key []byte) (cipher.AEAD, error) {
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, fmt.Errorf("create cipher from the fleet's key: %w", err)
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return nil, fmt.Errorf("create cipher from the fleet's key: %w", err)
	}
	return aead, nil
}

// confirm takes in that the store had the key in an era, and reports whether another key is
// in use now.
func (sealer *sealer) confirm(era uint64, key []byte) (bool, error) {
	if _, err := newCipher(key); err != nil {
		return false, err
	}
	sealer.mutex.Lock()
	defer sealer.mutex.Unlock()
	changed := sealer.keys.Confirm(era, key)
	if !changed {
		return false, nil
	}
	sealer.ciphers = nil
	for _, key := range sealer.keys.Held() {
		aead, err := newCipher(key)
		if err != nil {
			return false, err
		}
		sealer.ciphers = append(sealer.ciphers, aead)
	}
	return true, nil
}

// current returns the key in use, and the newest era in which the store was known to have it.
func (sealer *sealer) current() (uint64, []byte) {
	sealer.mutex.RLock()
	defer sealer.mutex.RUnlock()
	return sealer.keys.Era(), sealer.keys.Held()[0]
}

// seal encrypts a message with a key, or with the one in use if the key is nil or no longer
// held.
func (sealer *sealer) seal(message message, key []byte) ([]byte, error) {
	sealer.mutex.RLock()
	aead := sealer.ciphers[max(0, sealer.indexOf(key))]
	sealer.mutex.RUnlock()
	var plain bytes.Buffer
	encoder := msgpack.NewEncoder(&plain)
	encoder.UseArrayEncodedStructs(true) // field names would double the size
	if err := encoder.Encode(&message); err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	nonce := make([]byte, nonceSize, nonceSize+plain.Len()+aead.Overhead())
	if _, err := rand.Read(nonce); err != nil {
		return nil, fmt.Errorf("generate nonce: %w", err)
	}
	return aead.Seal(nonce, nonce, plain.Bytes(), nil), nil
}

// indexOf returns the position of a key among those held, -1 if it isn't. The caller holds
// the mutex.
func (sealer *sealer) indexOf(key []byte) int {
	return slices.IndexFunc(sealer.keys.Held(), func(held []byte) bool { return bytes.Equal(held, key) })
}

var errDoubled = errors.New("datagram arrived twice")

var errNotAuthenticated = errors.New("datagram is too short or not authenticated by the fleet's key")

// open decrypts a message. It refuses a datagram that the network has doubled: the tokens in
// a message must count once.
func (sealer *sealer) open(datagram []byte) (message, error) {
	plain, key, err := sealer.decrypt(datagram)
	if err != nil {
		return message{}, err
	}
	if !sealer.addNonce(string(datagram[:nonceSize])) {
		return message{}, errDoubled
	}
	decoded, err := decodeMessage(plain)
	if err != nil {
		return message{}, err
	}
	decoded.sealedWith = key
	return decoded, nil
}

// decodeMessage decodes a message. It reads it once without storing anything before: the
// decoder would allocate whatever length an array claims to have.
func decodeMessage(plain []byte) (message, error) {
	if err := msgpack.NewDecoder(bytes.NewReader(plain)).Skip(); err != nil {
		return message{}, fmt.Errorf("check lengths in message: %w", err)
	}
	var decoded message
	if err := msgpack.Unmarshal(plain, &decoded); err != nil {
		return message{}, fmt.Errorf("decode message: %w", err)
	}
	return decoded, nil
}

// decrypt returns the content of a datagram and the key that opened it.
func (sealer *sealer) decrypt(datagram []byte) (plain, key []byte, err error) {
	sealer.mutex.RLock()
	defer sealer.mutex.RUnlock()
	for i, aead := range sealer.ciphers {
		if len(datagram) < nonceSize {
			break
		}
		if plain, err := aead.Open(nil, datagram[:nonceSize], datagram[nonceSize:], nil); err == nil {
			return plain, sealer.keys.Held()[i], nil
		}
	}
	return nil, nil, errNotAuthenticated
}
