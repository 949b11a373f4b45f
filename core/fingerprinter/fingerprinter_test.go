package fingerprinter_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"godwitramp.example/core/fingerprinter"
)

func request() fingerprinter.Request {
	return fingerprinter.Request{Method: "POST", Host: "a.example", Target: "/jobs/1?x=2", Caller: "crews", Body: []byte("body")}
}

func TestEachPartOfARequestCounts(t *testing.T) {
	is := is.New(t)
	sums := fingerprinter.New([]byte("key"))
	seen := map[fingerprinter.Fingerprint]bool{sums.Sum(request()): true}
	is.Equal(sums.Sum(request()), sums.Sum(request()))
	for _, change := range []func(*fingerprinter.Request){
		func(request *fingerprinter.Request) { request.Method = "PUT" },
		func(request *fingerprinter.Request) { request.Host = "b.example" },
		func(request *fingerprinter.Request) { request.Target = "/jobs/1?x=3" },
		func(request *fingerprinter.Request) { request.Caller = "others" },
		func(request *fingerprinter.Request) { request.Body = []byte("bodY") },
	} {
		changed := request()
		change(&changed)
		sum := sums.Sum(changed)
		is.True(!seen[sum])
		seen[sum] = true
	}
}

// A caller must not be able to make a request that counts as another caller's.
func TestPartsCannotBeShiftedIntoEachOther(t *testing.T) {
	sums := fingerprinter.New([]byte("key"))
	rapid.Check(t, func(t *rapid.T) {
		whole := rapid.StringN(0, 20, 40).Draw(t, "whole")
		cut := rapid.IntRange(0, len(whole)).Draw(t, "cut")
		other := rapid.IntRange(0, len(whole)).Draw(t, "other")
		a := sums.Sum(fingerprinter.Request{Target: whole[:cut], Caller: whole[cut:]})
		b := sums.Sum(fingerprinter.Request{Target: whole[:other], Caller: whole[other:]})
		if (a == b) != (cut == other) {
			t.Fatalf("%q cut at %d and %d", whole, cut, other)
		}
	})
}

func TestFingerprintsNeedTheKey(t *testing.T) {
	is := is.New(t)
	is.True(fingerprinter.New([]byte("key")).Sum(request()) != fingerprinter.New([]byte("kez")).Sum(request()))
}

func TestParse(t *testing.T) {
	is := is.New(t)
	sum := fingerprinter.New([]byte("key")).Sum(request())
	parsed, ok := fingerprinter.Parse(string(sum[:]))
	is.True(ok)
	is.Equal(parsed, sum)
	_, ok = fingerprinter.Parse("short")
	is.True(!ok)
}

// A VM of the build in production (f78941f) must know a request by the same fingerprint during an upgrade.
func TestFingerprintsAreThoseOfTheBuildInProduction(t *testing.T) {
	is := is.New(t)
	sums := fingerprinter.New([]byte("key of the fleet"))
	request := fingerprinter.Request{Method: "POST", Host: "a.example", Target: "/book/1?x=2", Caller: "crews", Body: []byte("book")}
	is.Equal(sums.Sum(request).String(), "8d08a112588de175401c535e80963f46")
}
