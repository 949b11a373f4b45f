package configurator_test

import (
	"encoding/hex"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"godwitramp.example/core/configurator"
)

const small = 3

func hash(n int) configurator.KeyHash { return configurator.KeyHash{byte(n)} }

// anyEntry draws an entry from a universe so small that references break and
// conflict often. Some entries don't decode.
func anyEntry(t *rapid.T) configurator.Entry {
	number := rapid.IntRange(0, small-1)
	team := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team")
	name, other := number.Draw(t, "name"), number.Draw(t, "other")
	entry := configurator.Entry{}
	add := func(name, value string) {
		entry.Fields = append(entry.Fields, configurator.Field{Name: name, Value: value})
	}
	switch rapid.SampledFrom([]string{"organisations", "keys", "services", "targets", "routes", "budgets", "withdrawals"}).Draw(t, "kind") {
	case "organisations":
		entry.Path = path("/%s/organisations/o%d", team, name)
		add("burst", "5")
		add("rate", rapid.SampledFrom([]string{"1", "2", "wrong"}).Draw(t, "rate"))
	case "keys":
		entry.Path = path("/%s/organisations/o%d/keys/k%d", team, other, name)
		digest := hash(number.Draw(t, "hash"))
		add("sha-256", hex.EncodeToString(digest[:]))
	case "services":
		entry.Path = path("/%s/services/s%d", team, name)
	case "targets":
		entry.Path = path("/%s/services/s%d/targets/t%d", team, other, name)
		add("address", "127.0.0.1:1")
		add("data-centre", "d")
		add("region", rapid.SampledFrom([]string{"r", "q", ""}).Draw(t, "region"))
	case "routes":
		entry.Path = path("/%s/routes/r%d", team, name)
		add("organisations", fmt.Sprintf("o%d", other))
		add("prefix", fmt.Sprintf("/p%d", number.Draw(t, "prefix")))
		add("service", fmt.Sprintf("s%d", other))
	case "withdrawals":
		entry.Path = path("/%s/withdrawals/w%d", team, name)
		digest := hash(other)
		add("sha-256", hex.EncodeToString(digest[:]))
	default:
		entry.Path = path("/%s/budgets/b%d", team, name)
		add("burst", "1MB")
		add("from", "x")
		add("rate", "1MB")
		add("to", fmt.Sprintf("y%d", other))
	}
	return entry
}

func path(format string, parts ...any) configurator.Path {
	return configurator.Path(fmt.Sprintf(format, parts...))
}

// view is all that can be looked up in a table of the small universe.
type view struct {
	Organisations []*configurator.Organisation
	Keys          []*configurator.Key
	Services      []*configurator.ServiceTargets
	Routes        []*configurator.Route
	Budgets       [][]*configurator.Budget
}

func viewOf(table *configurator.Table) view {
	var view view
	for n := range small {
		for _, team := range []string{"a", "b"} {
			view.Organisations = append(view.Organisations, table.Organisation(path("/%s/organisations/o%d", team, n)))
			view.Services = append(view.Services, table.Service(path("/%s/services/s%d", team, n)))
		}
		view.Keys = append(view.Keys, table.Key(hash(n)))
		view.Routes = append(view.Routes, table.Route(fmt.Sprintf("/p%d/x", n)))
		view.Budgets = append(view.Budgets, table.Budgets(configurator.RegionPair{From: "x", To: fmt.Sprintf("y%d", n)}))
	}
	return view
}

func anyChange(t *rapid.T, state *configurator.State) configurator.Change {
	change := configurator.Change{Revision: state.Revision + 1}
	change.Puts = rapid.SliceOfN(rapid.Custom(anyEntry), 0, 4).Draw(t, "puts")
	for _, entry := range state.Snapshot().Entries {
		if rapid.IntRange(0, 5).Draw(t, "delete") == 0 {
			change.Deletes = append(change.Deletes, entry.Path)
		}
	}
	// One team owns the whole change.
	change.Team = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "owner")
	change.Puts = keepTeam(change.Puts, change.Team, func(entry configurator.Entry) configurator.Path { return entry.Path })
	change.Deletes = keepTeam(change.Deletes, change.Team, func(path configurator.Path) configurator.Path { return path })
	return change
}

func keepTeam[T any](all []T, team string, pathOf func(T) configurator.Path) []T {
	var kept []T
	for _, item := range all {
		if pathOf(item).Team() == team {
			kept = append(kept, item)
		}
	}
	return kept
}

// TestUpdateEqualsCompile proves that a table reached by changes is the one
// that is compiled from scratch, and that older tables stay as they were.
func TestUpdateEqualsCompile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		state := configurator.NewState()
		table, _ := configurator.Compile(state.All())
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			change := anyChange(t, state)
			before := viewOf(table)
			next, _ := table.Update(state, change)
			is.NoErr(state.Apply(change))
			compiled, _ := configurator.Compile(state.All())
			is.Equal(viewOf(next), viewOf(compiled)) // update against compile
			is.Equal(viewOf(table), before)          // the older table is as it was
			table = next
		}
	})
}

func TestWithdrawalEndsOnlyItsOwnTeamsKeys(t *testing.T) {
	is := is.New(t)
	digest := hash(1)
	hashed := []configurator.Field{{Name: "sha-256", Value: hex.EncodeToString(digest[:])}}
	entries := []configurator.Entry{
		organisation("/a/organisations/o", "1"),
		{Path: "/a/organisations/o/keys/k", Fields: hashed},
		{Path: "/b/withdrawals/w", Fields: hashed},
	}
	table, _ := configurator.Compile(slices.Values(entries))
	is.True(table.Key(digest) != nil) // another team's withdrawal
	entries = append(entries, configurator.Entry{Path: "/a/withdrawals/w", Fields: hashed})
	table, problems := configurator.Compile(slices.Values(entries))
	is.True(table.Key(digest) == nil)
	is.Equal(len(problems), 1)
}
