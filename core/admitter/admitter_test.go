package admitter_test

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/core/admitter"
	"godwitramp.example/core/configurator"
	"godwitramp.example/core/parser"
)

func table(t *testing.T) *configurator.Table {
	t.Helper()
	hash := sha256.Sum256([]byte("secret"))
	var parser parser.Parser
	parser.Add("a.ini", []byte(`
[/a/organisations/o]
rate = 1
burst = 1
[/a/organisations/o/keys/k]
sha-256 = `+hex.EncodeToString(hash[:])+`
[/a/organisations/p]
rate = 1
burst = 1
[/a/services/s]
[/a/routes/r]
prefix = /r
service = s
[/a/routes/open]
prefix = /open
service = s
open = yes
[/a/routes/only-p]
prefix = /only-p
service = s
organisations = p
`))
	entries, problems := parser.Finish()
	is.New(t).Equal(len(problems), 0)
	state := configurator.NewState()
	is.New(t).NoErr(state.Apply(configurator.Change{Revision: 1, Team: "a", Puts: entries}))
	compiled, _ := configurator.Compile(state.All())
	return compiled
}

func TestAdmit(t *testing.T) {
	compiled := table(t)
	tests := []struct {
		name    string
		request admitter.Request
		want    admitter.Reason
	}{
		{"right key", admitter.Request{Path: "/r/1", Key: "secret", KeysKnown: true}, admitter.Admitted},
		{"no key", admitter.Request{Path: "/r", KeysKnown: true}, admitter.KeyMissing},
		{"unknown key", admitter.Request{Path: "/r", Key: "guess", KeysKnown: true}, admitter.KeyUnknown},
		{"open route", admitter.Request{Path: "/open", KeysKnown: true}, admitter.Admitted},
		{"open route while cut off", admitter.Request{Path: "/open"}, admitter.Unconfirmed},
		{"no route", admitter.Request{Path: "/x", Key: "secret", KeysKnown: true}, admitter.NoRoute},
		{"route of another organisation", admitter.Request{Path: "/only-p", Key: "secret", KeysKnown: true}, admitter.RouteForbidden},
		{"cut off", admitter.Request{Path: "/r", Key: "secret"}, admitter.Unconfirmed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			admission, reason := admitter.Admit(compiled, test.request)
			is.Equal(reason, test.want)
			if reason == admitter.Admitted && !admission.Route.Open {
				is.Equal(admission.Organisation.Path, configurator.Path("/a/organisations/o"))
			}
		})
	}
}
