package watcher

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Status is what the fleet believes of a VM.
type Status int

// The statuses of a VM. Of two records of the same version the one with the
// later status wins.
const (
	Alive Status = iota
	// Suspect means that a VM which should reach it can't.
	Suspect
	// Dead means that it did not contradict the suspicion in time.
	Dead
	// Left means that it has said that it stops.
	Left
)

// String returns the status in lower case.
func (status Status) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[status]
}

// Record is what one VM tells another about a third.
type Record struct {
	Peer   Peer
	Status Status
	// Version rises each time the VM contradicts what is said of it.
	Version uint64
}

// compare orders two records of the same VM; the greater one is newer.
func (record Record) compare(other Record) int {
	return cmp.Or(
		cmp.Compare(record.Peer.Incarnation, other.Peer.Incarnation),
		cmp.Compare(record.Version, other.Version),
		cmp.Compare(record.Status, other.Status),
	)
}

// usable reports whether calls to the VM make sense.
func (record Record) usable() bool { return record.Status <= Suspect }

// Digest is a checksum over a set of records.
type Digest uint64

func (record Record) digest() Digest {
	var numbers [24]byte
	binary.LittleEndian.PutUint64(numbers[0:], record.Peer.Incarnation)
	binary.LittleEndian.PutUint64(numbers[8:], record.Version)
	binary.LittleEndian.PutUint64(numbers[16:], uint64(record.Status))
	hash := xxhash.New()
	_, _ = hash.WriteString(record.Peer.Name) // never fails
	_, _ = hash.Write(numbers[:])
	return Digest(hash.Sum64())
}

// bucketCount is the number of groups of records that are compared one by one
// when the tables of two VMs differ.
const bucketCount = 64

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }
