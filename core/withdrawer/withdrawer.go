// Package withdrawer keeps withdrawn keys withdrawn.
//
// Keys are given and withdrawn by declarations and by command, and either way
// may be undone by older declarations, a rollback or a second operator. A
// withdrawal is therefore an entry of its own that names the key's hash and
// is never deleted; the compiled configuration leaves out every key that has
// one.
//
// # Usage
//
//	puts, deletes := configurator.Difference(state.Team(team), entries)
//	puts, deletes = withdrawer.Complete(state.Team(team), puts, deletes)
package withdrawer

import (
	"slices"
	"strings"

	"godwitramp.example/core/configurator"
)

// Names of the fields that matter here.
const (
	hashField   = "sha-256"
	sourceField = "source"
	byCommand   = "command"
)

// nameDigits is how many digits of the hash name a withdrawal.
const nameDigits = 32

// Complete turns a difference between recorded and declared entries of a team
// into the change to be made: recorded withdrawals stay, keys given by command
// stay as long as their organisation does, and each key that is valid before
// the change and not declared after it gets a withdrawal. A key given by command
// ends when its withdrawal is among the puts.
func Complete(
	recorded, puts []configurator.Entry, deletes []configurator.Path,
) ([]configurator.Entry, []configurator.Path) {
	deletes = slices.DeleteFunc(slices.Clone(deletes), keeper(recorded, puts, deletes))
	after := hashesAfter(recorded, puts, deletes)
	puts = slices.Clone(puts)
	for _, entry := range recorded {
		hash, ok := keyHash(entry)
		if !ok || after[hash] {
			continue
		}
		after[hash] = true // one withdrawal a hash
		puts = append(puts, withdrawal(entry.Path.Team(), hash))
	}
	slices.SortFunc(puts, func(a, b configurator.Entry) int {
		return strings.Compare(string(a.Path), string(b.Path))
	})
	return puts, deletes
}

// keeper reports which of the paths to be deleted must stay.
func keeper(recorded, puts []configurator.Entry, deletes []configurator.Path) func(configurator.Path) bool {
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
			return source == byCommand && !withdrawn[hash] && owned && !slices.Contains(deletes, path.Parent())
		default:
			return false
		}
	}
}

// hashesAfter returns the hashes of the keys that are declared, and of those
// that are withdrawn already, after a change.
func hashesAfter(recorded, puts []configurator.Entry, deletes []configurator.Path) map[string]bool {
	gone := make(map[configurator.Path]bool, len(puts)+len(deletes))
	for _, path := range deletes {
		gone[path] = true
	}
	for _, entry := range puts {
		gone[entry.Path] = true
	}
	hashes := make(map[string]bool)
	note := func(entry configurator.Entry) {
		kind := configurator.KindOf(entry.Path)
		if kind == configurator.KindKey || kind == configurator.KindWithdrawal {
			hash, _ := entry.Value(hashField)
			hashes[strings.ToLower(hash)] = true
		}
	}
	for _, entry := range recorded {
		if !gone[entry.Path] {
			note(entry)
		}
	}
	for _, entry := range puts {
		note(entry)
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

// Withdrawal returns the entry that withdraws a key.
func Withdrawal(key configurator.Entry) configurator.Entry {
	hash, _ := keyHash(key)
	return withdrawal(key.Path.Team(), hash)
}

func withdrawal(team, hash string) configurator.Entry {
	path := "/" + team + "/withdrawals/" + hash[:min(nameDigits, len(hash))]
	return configurator.Entry{
		Path: configurator.Path(path), Fields: []configurator.Field{{Name: hashField, Value: hash}},
	}
}

// Strip returns the entries without the keys that the recorded entries say are
// withdrawn, and the paths of those keys.
func Strip(recorded, entries []configurator.Entry) (kept []configurator.Entry, left []configurator.Path) {
	withdrawn := withdrawnHashes(recorded)
	for _, entry := range entries {
		if hash, ok := keyHash(entry); ok && withdrawn[hash] {
			left = append(left, entry.Path)
			continue
		}
		kept = append(kept, entry)
	}
	return kept, left
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
