package configurator_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/core/configurator"
)

func organisation(path configurator.Path, rate string) configurator.Entry {
	return configurator.Entry{Path: path, Fields: []configurator.Field{{Name: "burst", Value: "5"}, {Name: "rate", Value: rate}}}
}

func TestStateAppliesOnlyTheNextChangeOfItsTeam(t *testing.T) {
	is := is.New(t)
	state := configurator.NewState()
	first := configurator.Change{Revision: 1, Team: "a", Puts: []configurator.Entry{organisation("/a/organisations/o", "1")}}
	is.NoErr(state.Apply(first))
	var stale *configurator.StaleError
	is.True(errors.As(state.Apply(first), &stale))
	var gap *configurator.GapError
	is.True(errors.As(state.Apply(configurator.Change{Revision: 3, Team: "a"}), &gap))
	var foreign *configurator.ForeignPathError
	other := configurator.Change{Revision: 2, Team: "b", Deletes: []configurator.Path{"/a/organisations/o"}}
	is.True(errors.As(state.Apply(other), &foreign))
	is.Equal(state.Revision, uint64(1))
}

func TestDigestDependsOnEntriesOnly(t *testing.T) {
	is := is.New(t)
	state := configurator.NewState()
	is.NoErr(state.Apply(configurator.Change{Revision: 1, Team: "a", Puts: []configurator.Entry{organisation("/a/organisations/o", "1")}}))
	before := state.Digest
	is.NoErr(state.Apply(configurator.Change{Revision: 2, Team: "a", Puts: []configurator.Entry{organisation("/a/organisations/o", "2")}}))
	is.True(state.Digest != before)
	is.NoErr(state.Apply(configurator.Change{Revision: 3, Team: "a", Puts: []configurator.Entry{organisation("/a/organisations/o", "1")}}))
	is.Equal(state.Digest, before)

	loaded := configurator.NewState()
	snapshot := state.Snapshot()
	is.NoErr(loaded.Load(snapshot))
	is.Equal(loaded.Digest, state.Digest)
	snapshot.Revision++
	snapshot.Entries = nil
	var digest *configurator.DigestError
	is.True(errors.As(loaded.Load(snapshot), &digest))
	is.Equal(loaded.Revision, uint64(3))
}

func TestRouteIsFoundByLongestPrefix(t *testing.T) {
	is := is.New(t)
	state := configurator.NewState()
	route := func(name, prefix string) configurator.Entry {
		return configurator.Entry{Path: configurator.Path("/a/routes/" + name),
			Fields: []configurator.Field{{Name: "prefix", Value: prefix}, {Name: "service", Value: "s"}}}
	}
	is.NoErr(state.Apply(configurator.Change{Revision: 1, Team: "a", Puts: []configurator.Entry{
		{Path: "/a/services/s"}, route("all", "/"), route("x", "/x"), route("xy", "/x/y"),
	}}))
	table, problems := configurator.Compile(state.All())
	is.Equal(len(problems), 0)
	for path, want := range map[string]string{"/": "all", "/z": "all", "/x": "x", "/x/": "x", "/xy": "all", "/x/y/z": "xy", "": "all"} {
		is.Equal(table.Route(path).Path.Name(), want) // route of the path
	}
}
