package indexer_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/core/indexer"
)

func route(name, host, prefix string) indexer.Route {
	return indexer.Route{Name: name, Host: host, Prefix: prefix, Attempts: 1, Shares: []indexer.Share{{Service: "s", Weight: 1}}}
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	is := is.New(t)
	index, err := indexer.New(indexer.Configuration{
		Services: []indexer.Service{{Name: "s"}},
		Routes: []indexer.Route{
			route("root", "a.example", "/"), route("long", "a.example", "/x/y/"), route("short", "a.example", "/x/"),
			route("other", "b.example", "/x/y/z/"),
		},
	})
	is.NoErr(err)
	for path, want := range map[string]string{"/": "root", "/x": "root", "/x/": "short", "/x/y": "short", "/x/y/z/1": "long"} {
		is.Equal(index.Route("A.example", path).Name, want)
	}
	is.Equal(index.Route("b.example", "/x/"), nil)
	is.Equal(index.Route("c.example", "/x/"), nil)
}

func TestPickServiceFollowsWeights(t *testing.T) {
	is := is.New(t)
	split := indexer.Route{Shares: []indexer.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	count := map[string]int{}
	for i := range 1000 {
		count[split.PickService(float64(i)/1000)]++
	}
	is.Equal(count, map[string]int{"a": 900, "b": 100})
	is.Equal((&indexer.Route{Shares: []indexer.Share{{Service: "a"}}}).PickService(0.5), "")
}

func TestKeysBelongToOneOrganisation(t *testing.T) {
	is := is.New(t)
	index, err := indexer.New(indexer.Configuration{Organisations: []indexer.Organisation{
		{Name: "a", Keys: []string{"k1", "k2"}}, {Name: "b", Keys: []string{"k3"}},
	}})
	is.NoErr(err)
	is.Equal(index.Organisation("k2").Name, "a")
	is.Equal(index.Organisation("k3").Name, "b")
	is.Equal(index.Organisation(""), nil)
}

// An empty key would identify callers without a key as the organisation.
func TestInvalidOrganisationsAreRejected(t *testing.T) {
	for name, organisation := range map[string]indexer.Organisation{
		"empty key":      {Name: "a", Keys: []string{"k", ""}},
		"negative rate":  {Name: "a", Rate: -1},
		"negative burst": {Name: "a", Burst: -0.5},
		"no number":      {Name: "a", Rate: math.NaN()},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := indexer.New(indexer.Configuration{Organisations: []indexer.Organisation{organisation}})
			is.New(t).True(err != nil)
		})
	}
}
