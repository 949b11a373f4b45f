// Package keeper decides how a VM keeps its place in the fleet after the platform's store has
// come back from an older copy, in which rows of VMs and the key of their messages may be
// missing: which key its messages use, when it looks after the rows, and how long a VM that
// joins waits for the rows of the others.
//
// # Usage
//
//	keys := keeper.NewKeys(era, key)
//	changed := keys.Confirm(laterEra, otherKey) // the store has this key
//	delay := keeper.Delay(first, members, rand.Float64())
//	wait := mark.Wait(era, storeTime) // 0 if the table is complete
package keeper

import (
	"bytes"
	"slices"
	"time"
)

// maxKeys is the number of keys that a VM holds.
const maxKeys = 3

// Keys are the keys of the fleet that a VM holds. As the row of the key is only written if
// there is none, the store has at most one key in an era, and that of the newest era is in
// use.
type Keys struct {
	era  uint64
	held [][]byte
}

// NewKeys returns the key that the store had in an era.
func NewKeys(era uint64, key []byte) *Keys { return &Keys{era: era, held: [][]byte{key}} }

// Confirm takes in that the store had the key in an era. It reports whether another key is in
// use now.
func (keys *Keys) Confirm(era uint64, key []byte) bool {
	if era <= keys.era {
		return false
	}
	keys.era = era
	if bytes.Equal(key, keys.held[0]) {
		return false
	}
	others := slices.DeleteFunc(keys.held, func(other []byte) bool { return bytes.Equal(other, key) })
	keys.held = slices.Insert(others, 0, key)
	keys.held = keys.held[:min(len(keys.held), maxKeys)]
	return true
}

// Era returns the newest era in which the store was known to have the key in use.
func (keys *Keys) Era() uint64 { return keys.era }

// Held returns all keys, the one in use first. The others open messages of VMs that don't
// know it yet.
func (keys *Keys) Held() [][]byte { return keys.held }

const (
	// firstSpread is the time over which the first VMs of the groups look after the rows of
	// their groups.
	firstSpread = time.Second
	// minSpread is the time over which the others look after their own, and memberSpread
	// what it has to be for each member.
	minSpread    = 2 * time.Second
	memberSpread = 20 * time.Millisecond
	// SettleTime is the time within which the first VM of a group has heard of a new era and
	// has written the rows of its group again.
	SettleTime = 5 * time.Second
	// firstEra is the era of a store that was never restored.
	firstEra = 1
)

// Restored reports whether a store in the era has come back from a copy at some time.
func Restored(era uint64) bool { return era > firstEra }

// Delay returns how long a VM that has heard of a new era waits before it reads the table.
// Random is from 0 to 1.
func Delay(first bool, members int, random float64) time.Duration {
	spread := max(minSpread, time.Duration(members)*memberSpread)
	if first {
		spread = firstSpread
	}
	return time.Duration(random * float64(spread))
}

// Mark is the time of the store's clock at which the first VM wrote to the table in an era.
type Mark struct {
	Era   uint64        `json:"era"`
	Since time.Duration `json:"since"`
}

// Wait returns how long a VM that joins has to wait until the rows that the copy lacked have
// been written again. A VM that doesn't know of others would spend what is theirs.
func (mark Mark) Wait(era uint64, now time.Duration) time.Duration {
	switch {
	case !Restored(era):
		return 0
	case mark.Era != era:
		return SettleTime
	default:
		return min(SettleTime, max(0, mark.Since+SettleTime-now))
	}
}
