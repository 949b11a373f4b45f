package verifier_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/verifier"
)

func TestOldKnowledge(t *testing.T) {
	policy := verifier.Policy{Propagation: 3 * time.Second, Stretch: 5 * time.Second, Withdrawal: 5 * time.Second}
	for _, test := range []struct {
		name              string
		age               time.Duration
		behind, lost      bool
		serve, keys, deny bool
	}{
		{name: "fresh", age: time.Second, serve: true, keys: true, deny: true},
		{name: "fresh, a change is on its way", age: time.Second, behind: true, serve: true, keys: true, deny: true},
		{name: "a route may have been added", age: 3 * time.Second, serve: true, keys: true},
		{name: "a change is in force elsewhere", age: 3 * time.Second, behind: true},
		{name: "a key may be withdrawn", age: 5 * time.Second, serve: true},
		{name: "the store is away for hours", age: time.Hour, serve: true},
		{name: "the store turns this VM away", age: 3 * time.Second, behind: true, lost: true, serve: true, keys: true},
		{name: "it does so for long", age: 8 * time.Second, behind: true, lost: true},
		{name: "and for hours", age: time.Hour, behind: true, lost: true},
		{name: "a transfer takes hours", age: time.Hour, behind: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			knowledge := verifier.Knowledge{Age: test.age, Behind: test.behind, StoreLost: test.lost}
			is.Equal(policy.MayServe(knowledge), test.serve)
			is.Equal(policy.MayTrustKeys(knowledge), test.keys)
			is.Equal(policy.MayDeny(knowledge), test.deny)
		})
	}
	is.New(t).True(verifier.Policy{}.MayDeny(verifier.Knowledge{Age: time.Hour, Behind: true})) // no bounds
}
