package limiter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/limiter"
	"godwitramp.example/core/timekeeper"
)

// A late or duplicated answer must not create tokens: an answer counts once, only
// for the latest ask, and until its leases lapse.
func TestLateAndDuplicateAnswersAreIgnored(t *testing.T) {
	is := is.New(t)
	borrower := limiter.NewBorrower()
	limit := limiter.Limit{Rate: 5, Burst: 5}
	now := timekeeper.At(time.Hour)
	is.True(borrower.Take(1, limit, now).Wait)
	first := borrower.Asks(now)
	is.Equal(len(first), 1)
	is.Equal(len(borrower.Asks(now)), 0) // one ask in flight at a time
	borrower.Fail(first, now)
	now = now.Add(time.Second)
	is.True(borrower.Take(1, limit, now).Wait)
	second := borrower.Asks(now)
	answer := func(ask limiter.Ask) []limiter.Grant {
		return []limiter.Grant{{ID: 1, Sequence: ask.Sequence, Singles: 2}}
	}
	is.Equal(len(borrower.Apply("a/1", now, answer(first[0]), now)), 0) // too late
	is.Equal(len(borrower.Apply("a/1", now, answer(second[0]), now)), 1)
	is.Equal(len(borrower.Apply("a/1", now, answer(second[0]), now)), 0) // duplicate
	is.True(borrower.Retry(1, now).Allowed)
	suspended := timekeeper.Reading{Mono: now.Mono, Wall: now.Wall + limiter.SingleLifetime}
	is.True(!borrower.Retry(1, suspended).Allowed)
}

// The monotonic clock of a suspended VM stands still, so a fraction must also lapse
// by the wall clock.
func TestFractionLapsesForSuspendedVM(t *testing.T) {
	is := is.New(t)
	borrower := limiter.NewBorrower()
	limit := limiter.Limit{Rate: 50, Burst: 50}
	now := timekeeper.At(time.Hour)
	is.True(borrower.Take(1, limit, now).Wait)
	ask := borrower.Asks(now)[0]
	borrower.Apply("a/1", now, []limiter.Grant{{ID: 1, Sequence: ask.Sequence, Fraction: 0.5, Tokens: 10}}, now)
	is.True(borrower.Retry(1, now).Allowed)
	is.True(borrower.Take(1, limit, now.Add(time.Second)).Allowed)
	suspended := timekeeper.Reading{Mono: now.Mono + time.Second, Wall: now.Wall + limiter.LoanDuration}
	is.True(!borrower.Take(1, limit, suspended).Allowed)
}

func BenchmarkTake(b *testing.B) {
	for _, count := range []int{8, 4_000, 380_000} {
		b.Run(fmt.Sprint(count, " organisations"), func(b *testing.B) {
			borrower := limiter.NewBorrower()
			limit := limiter.Limit{Rate: 1e9, Burst: 1e9}
			now := timekeeper.At(time.Hour)
			paths := make([]configurator.Path, count)
			for i := range paths {
				paths[i] = configurator.Path(fmt.Sprintf("/kundsetu/organisations/crews-%d", i))
				borrower.Take(limiter.IDOf(paths[i]), limit, now)
			}
			var grants []limiter.Grant
			for _, ask := range borrower.Asks(now) {
				grants = append(grants, limiter.Grant{ID: ask.ID, Sequence: ask.Sequence, Fraction: 1, Tokens: 1e9})
			}
			borrower.Apply("a/1", now, grants, now)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i = (i + 7919) % count
				if !borrower.Take(limiter.IDOf(paths[i]), limit, now).Allowed {
					b.Fatal("refused")
				}
			}
		})
	}
}
