package watcher

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Status is the state of a VM according to the fleet.
type Status int

// The statuses of a VM. Of two records with the same incarnation and version,
// the one with the greater status wins.
const (
	Alive Status = iota
	// Suspect means that calls from at least one VM to it have failed.
	Suspect
	// Dead means that the VM did not refute the suspicion in time.
	Dead
	// Left means that the VM has announced that it is stopping.
	Left
)

// String returns the status in lower case.
func (status Status) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[status]
}

// Record is the state of one VM as other VMs gossip it.
type Record struct {
	Peer   Peer
	Status Status
	// Version rises each time the VM refutes a record about itself, and when it
	// leaves.
	Version uint64
}

// compare orders two records of the same VM. The greater one is newer.
func (record Record) compare(other Record) int {
	return cmp.Or(
		cmp.Compare(record.Peer.Incarnation, other.Peer.Incarnation),
		cmp.Compare(record.Version, other.Version),
		cmp.Compare(record.Status, other.Status),
	)
}

// usable reports whether the VM may still answer calls.
func (record Record) usable() bool { return record.Status <= Suspect }

// Digest is a checksum of a set of records: the sum of the records' hashes, so
// that adding and removing one record is cheap.
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

// bucketCount is the number of buckets that records are hashed into. When the
// tables of two VMs differ, they compare digests per bucket.
const bucketCount = 64

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }
