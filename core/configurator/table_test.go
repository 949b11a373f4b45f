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

const universeSize = 3

func hash(n int) configurator.KeyHash { return configurator.KeyHash{byte(n)} }

// drawEntry draws an entry from so few names that references often break or
// conflict. Some entries don't decode.
func drawEntry(t *rapid.T) configurator.Entry {
	number := rapid.IntRange(0, universeSize-1)
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

// lookups are the results of all look-ups in a table of drawn entries.
type lookups struct {
	Organisations []*configurator.Organisation
	Keys          []*configurator.Key
	Services      []*configurator.ServiceTargets
	Routes        []*configurator.Route
	Budgets       [][]*configurator.Budget
}

func lookUpAll(table *configurator.Table) lookups {
	var results lookups
	for n := range universeSize {
		for _, team := range []string{"a", "b"} {
			results.Organisations = append(results.Organisations, table.Organisation(path("/%s/organisations/o%d", team, n)))
			results.Services = append(results.Services, table.Service(path("/%s/services/s%d", team, n)))
		}
		results.Keys = append(results.Keys, table.Key(hash(n)))
		results.Routes = append(results.Routes, table.Route(fmt.Sprintf("/p%d/x", n)))
		results.Budgets = append(results.Budgets, table.Budgets(configurator.RegionPair{From: "x", To: fmt.Sprintf("y%d", n)}))
	}
	return results
}

func drawChange(t *rapid.T, state *configurator.State) configurator.Change {
	change := configurator.Change{Revision: state.Revision + 1}
	change.Puts = rapid.SliceOfN(rapid.Custom(drawEntry), 0, 4).Draw(t, "puts")
	for _, entry := range state.Snapshot().Entries {
		if rapid.IntRange(0, 5).Draw(t, "delete") == 0 {
			change.Deletes = append(change.Deletes, entry.Path)
		}
	}
	// All paths of a change belong to one team.
	change.Team = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "owner")
	change.Puts = filterByTeam(change.Puts, change.Team, func(entry configurator.Entry) configurator.Path { return entry.Path })
	change.Deletes = filterByTeam(change.Deletes, change.Team, func(path configurator.Path) configurator.Path { return path })
	return change
}

func filterByTeam[T any](all []T, team string, pathOf func(T) configurator.Path) []T {
	var kept []T
	for _, item := range all {
		if pathOf(item).Team() == team {
			kept = append(kept, item)
		}
	}
	return kept
}

// A table updated change by change must equal one compiled from scratch, and must
// leave older tables unchanged.
func TestUpdateEqualsCompile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		state := configurator.NewState()
		table, _ := configurator.Compile(state.All())
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			change := drawChange(t, state)
			before := lookUpAll(table)
			next, _ := table.Update(state, change)
			is.NoErr(state.Apply(change))
			compiled, _ := configurator.Compile(state.All())
			is.Equal(lookUpAll(next), lookUpAll(compiled)) // update against compile
			is.Equal(lookUpAll(table), before)             // the older table is unchanged
			table = next
		}
	})
}

func TestWithdrawalAffectsOnlyKeysOfItsTeam(t *testing.T) {
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
