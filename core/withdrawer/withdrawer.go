// Package withdrawer ensures that a withdrawn key never becomes valid again.
//
// Keys are issued and withdrawn by declarations or by command. Older
// declarations, a rollback or a second operator could undo either. A withdrawal
// is therefore a separate entry that contains the key's hash and is never
// deleted; compiling the configuration drops every key that has one.
//
// # Usage
//
//	puts, deletes := configurator.Difference(state.Team(team), entries)
//	puts, deletes = withdrawer.Enforce(state.Team(team), puts, deletes)
package withdrawer

import (
	"slices"
	"strings"

	"godwitramp.example/core/configurator"
)

// Names and values of fields of keys and withdrawals.
const (
	hashField     = "sha-256"
	sourceField   = "source"
	sourceCommand = "command"
)

// nameHexDigits is the number of leading hex digits of the hash that name a
// withdrawal.
const nameHexDigits = 32

// Enforce turns the difference between a team's recorded and declared entries
// into the change to apply. It keeps recorded withdrawals, and keys issued by
// command as long as their organisation exists and the puts contain no
// withdrawal of them. It adds a withdrawal for each key that is valid before
// the change and does not exist after it. The puts are returned sorted by path;
// the arguments are not modified.
func Enforce(
	recorded, puts []configurator.Entry, deletes []configurator.Path,
) ([]configurator.Entry, []configurator.Path) {
	deletes = slices.DeleteFunc(slices.Clone(deletes), mustStay(recorded, puts, deletes))
	hashes := hashesAfter(recorded, puts, deletes)
	puts = slices.Clone(puts)
	for _, entry := range recorded {
		hash, ok := keyHash(entry)
		if !ok || hashes[hash] {
			continue
		}
		hashes[hash] = true // at most one withdrawal per hash
		puts = append(puts, withdrawal(entry.Path.Team(), hash))
	}
	slices.SortFunc(puts, func(a, b configurator.Entry) int {
		return strings.Compare(string(a.Path), string(b.Path))
	})
	return puts, deletes
}

// mustStay returns a function that reports whether a path must not be deleted.
func mustStay(recorded, puts []configurator.Entry, deletes []configurator.Path) func(configurator.Path) bool {
	withdrawn := withdrawnHashes(puts)
	byPath := make(map[configurator.Path]configurator.Entry, len(recorded))
	for _, entry := range recorded {
		byPath[entry.Path] = entry
	}
	return func(path configurator.Path) bool {
		switch configurator.KindOf(path) {
		case configurator.KindWithdrawal:
			return true
		case configurator.KindKey:
			source, _ := byPath[path].Value(sourceField)
			_, owned := byPath[path.Parent()]
			hash, _ := keyHash(byPath[path])
			return source == sourceCommand && !withdrawn[hash] && owned && !slices.Contains(deletes, path.Parent())
		default:
			return false
		}
	}
}

// hashesAfter returns the hashes of all keys and withdrawals that exist after
// the change.
func hashesAfter(recorded, puts []configurator.Entry, deletes []configurator.Path) map[string]bool {
	replaced := make(map[configurator.Path]bool, len(puts)+len(deletes))
	for _, path := range deletes {
		replaced[path] = true
	}
	for _, entry := range puts {
		replaced[entry.Path] = true
	}
	hashes := make(map[string]bool)
	addHash := func(entry configurator.Entry) {
		kind := configurator.KindOf(entry.Path)
		if kind == configurator.KindKey || kind == configurator.KindWithdrawal {
			hash, _ := entry.Value(hashField)
			hashes[strings.ToLower(hash)] = true
		}
	}
	for _, entry := range recorded {
		if !replaced[entry.Path] {
			addHash(entry)
		}
	}
	for _, entry := range puts {
		addHash(entry)
	}
	return hashes
}

func keyHash(entry configurator.Entry) (string, bool) {
	if configurator.KindOf(entry.Path) != configurator.KindKey {
		return "", false
	}
	hash, ok := entry.Value(hashField)
	return strings.ToLower(hash), ok
}

// Withdrawal returns the entry that withdraws the key. The path of the key must
// be one of a team's keys.
func Withdrawal(key configurator.Entry) configurator.Entry {
	hash, _ := keyHash(key)
	return withdrawal(key.Path.Team(), hash)
}

func withdrawal(team, hash string) configurator.Entry {
	path := "/" + team + "/withdrawals/" + hash[:min(nameHexDigits, len(hash))]
	return configurator.Entry{
		Path: configurator.Path(path), Fields: []configurator.Field{{Name: hashField, Value: hash}},
	}
}

// DropWithdrawn returns the entries without the keys that have a withdrawal
// among the recorded entries, and the paths of the dropped keys.
func DropWithdrawn(recorded, entries []configurator.Entry) (kept []configurator.Entry, dropped []configurator.Path) {
	withdrawn := withdrawnHashes(recorded)
	for _, entry := range entries {
		if hash, ok := keyHash(entry); ok && withdrawn[hash] {
			dropped = append(dropped, entry.Path)
			continue
		}
		kept = append(kept, entry)
	}
	return kept, dropped
}

func withdrawnHashes(entries []configurator.Entry) map[string]bool {
	withdrawn := make(map[string]bool)
	for _, entry := range entries {
		if configurator.KindOf(entry.Path) == configurator.KindWithdrawal {
			hash, _ := entry.Value(hashField)
			withdrawn[strings.ToLower(hash)] = true
		}
	}
	return withdrawn
}
