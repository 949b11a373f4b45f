// Package fingerprinter recognises requests that come again: with the same method, host,
// target, caller and body, whatever their ID.
//
// Fingerprints are keyed, so that nobody who reads logs or messages without the key can test
// a guess of a body against them.
//
// # Usage
//
//	fingerprinter := fingerprinter.New(key)
//	fingerprint := fingerprinter.Sum(fingerprinter.Request{Method: "GET", Host: host, Target: target, Caller: caller})
package fingerprinter

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// Fingerprint identifies requests that are the same. It is the beginning of an HMAC-SHA256.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal digits, for logs.
func (fingerprint Fingerprint) String() string { return hex.EncodeToString(fingerprint[:]) }

// Parse returns the fingerprint with these bytes. It returns false if their number is wrong.
func Parse(bytes string) (Fingerprint, bool) {
	var fingerprint Fingerprint
	if len(bytes) != len(fingerprint) {
		return fingerprint, false
	}
	copy(fingerprint[:], bytes)
	return fingerprint, true
}

// Request is what makes a request the same as another.
type Request struct {
	Method string
	Host   string
	// Target is the request target, path and query.
	Target string
	// Caller is the caller's organisation, empty for callers without a key.
	Caller string
	Body   []byte
}

// Fingerprinter computes fingerprints under one key. It is safe for concurrent use.
type Fingerprinter struct {
	key []byte
}

// purpose separates these uses of the key from all others.
const purpose = "fingerprints of requests"

// New returns a Fingerprinter with a key that is derived from the given one.
func New(key []byte) *Fingerprinter {
	derived := hmac.New(sha256.New, key)
	_, _ = derived.Write([]byte(purpose)) // never fails
	return &Fingerprinter{key: derived.Sum(nil)}
}

// Sum returns the fingerprint of a request.
func (fingerprinter *Fingerprinter) Sum(request Request) Fingerprint {
	sum := hmac.New(sha256.New, fingerprinter.key)
	for _, part := range []string{request.Method, request.Host, request.Target, request.Caller} {
		writePart(sum, []byte(part))
	}
	writePart(sum, request.Body)
	var fingerprint Fingerprint
	copy(fingerprint[:], sum.Sum(nil))
	return fingerprint
}

// writePart writes a part behind its length, so that parts can't be shifted into each other.
func writePart(sum hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = sum.Write(length[:]) // never fails
	_, _ = sum.Write(part)
}
