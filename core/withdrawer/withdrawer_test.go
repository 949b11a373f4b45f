package withdrawer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/withdrawer"
)

const organisation = "/t/organisations/o"

func hashOf(number int) string { return strings.Repeat(fmt.Sprintf("%02x", number), 32) }

func declared(source string, keys ...int) []configurator.Entry {
	entries := []configurator.Entry{{Path: organisation, Fields: []configurator.Field{{Name: "burst", Value: "5"}, {Name: "rate", Value: "5"}}}}
	for _, key := range keys {
		path := configurator.Path(fmt.Sprintf("%s/keys/k%02d", organisation, key))
		entries = append(entries, configurator.Entry{Path: path, Fields: []configurator.Field{
			{Name: "sha-256", Value: hashOf(key)}, {Name: "source", Value: source}}})
	}
	return entries
}

// recorded is a configuration with the table that VMs compile from it
// incrementally.
type recorded struct {
	*configurator.State
	table *configurator.Table
}

func newRecorded() *recorded {
	return &recorded{State: configurator.NewState(), table: &configurator.Table{}}
}

// record replaces the team's entries as the apply command does.
func record(t *testing.T, state *recorded, entries []configurator.Entry) {
	t.Helper()
	puts, deletes := configurator.Difference(state.Team("t"), entries)
	puts, deletes = withdrawer.Enforce(state.Team("t"), puts, deletes)
	state.apply(t, configurator.Change{Team: "t", Puts: puts, Deletes: deletes})
}

// apply records the change as the next revision and updates the table.
func (state *recorded) apply(t *testing.T, change configurator.Change) {
	t.Helper()
	change.Revision = state.Revision + 1
	state.table, _ = state.table.Update(state.State, change)
	is.New(t).NoErr(state.Apply(change))
}

// valid reports whether the key is valid. It fails the test if the incremental
// table and one compiled from scratch disagree.
func valid(t *testing.T, state *recorded, key int) bool {
	t.Helper()
	hash := configurator.KeyHash([]byte(strings.Repeat(string(rune(key)), 32)))
	whole, _ := configurator.Compile(state.All())
	is.New(t).Equal(whole.Key(hash) != nil, state.table.Key(hash) != nil)
	return whole.Key(hash) != nil
}

func TestApplyKeepsKeysGivenByCommand(t *testing.T) {
	is := is.New(t)
	state := newRecorded()
	record(t, state, append(declared("declarations", 1), declared("command", 2)[1:]...))
	record(t, state, declared("declarations", 1))
	is.True(valid(t, state, 1) && valid(t, state, 2))
	record(t, state, nil) // also deletes the organisation
	is.True(!valid(t, state, 1) && !valid(t, state, 2))
	record(t, state, declared("declarations", 1, 2))
	is.True(!valid(t, state, 1) && !valid(t, state, 2))
}

func TestTeamCannotWithdrawKeysOfOtherTeams(t *testing.T) {
	is := is.New(t)
	state := newRecorded()
	record(t, state, declared("declarations", 1))
	foreign := configurator.Entry{Path: "/u/withdrawals/x", Fields: []configurator.Field{{Name: "sha-256", Value: hashOf(1)}}}
	state.apply(t, configurator.Change{Team: "u", Puts: []configurator.Entry{foreign}})
	is.True(valid(t, state, 1))
}

// TestWithdrawnKeyNeverBecomesValidAgain compares random histories of applied
// and rolled back declarations with a plain list of the withdrawn keys.
func TestWithdrawnKeyNeverBecomesValidAgain(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(7, 7))
	for range 50 {
		state := newRecorded()
		var withdrawn []int
		var before []int
		for range 20 {
			keys := random.Perm(6)[:random.IntN(6)]
			kept, dropped := withdrawer.DropWithdrawn(state.Team("t"), declared("declarations", keys...))
			is.Equal(len(dropped)+len(kept), len(keys)+1)
			record(t, state, kept)
			for _, key := range before {
				if !slices.Contains(keys, key) {
					withdrawn = append(withdrawn, key)
				}
			}
			before = slices.DeleteFunc(keys, func(key int) bool { return slices.Contains(withdrawn, key) })
			for key := range 6 {
				is.Equal(valid(t, state, key), slices.Contains(before, key))
			}
		}
	}
}
