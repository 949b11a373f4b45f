package rationer_test

import (
	"flag"
	"maps"
	"os"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"godwitramp.example/core/rationer"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// An unbounded transfer may use the limit alone, must be aborted when it exceeds the
// limit, and must not keep another transfer from its share.
func TestUnboundedTransferIsAborted(t *testing.T) {
	is := is.New(t)
	bodies := &rationer.Rationer{Limit: 1000}
	bodies.Begin()
	bodies.Begin()
	is.True(bodies.Grow(0, 900)) // the other transfer holds nothing yet
	is.True(bodies.Grow(0, 100))
	is.True(!bodies.Grow(900, 100))
	is.True(bodies.Grow(100, 100)) // the other is within its share
	bodies.End(1000)
	is.Equal(bodies.Held(), int64(200))
	is.True(bodies.Grow(200, 800))
}

// With any number of transfers, at most one piece of each is held beyond the limit, and
// no transfer within its share is aborted.
func TestTransfersWithinTheirShareContinue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const piece = 16
		bodies := &rationer.Rationer{Limit: 1000}
		held := make(map[int]int64)
		for step := range rapid.IntRange(1, 400).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "action") == 0 && len(held) < 20 {
				bodies.Begin()
				held[step] = 0
			}
			for _, id := range slices.Sorted(maps.Keys(held)) {
				own := held[id]
				n := int64(rapid.IntRange(0, piece).Draw(t, "bytes"))
				switch allowed := bodies.Grow(own, n); {
				case allowed:
					held[id] += n
				case own+n <= bodies.Limit/int64(len(held)):
					t.Fatalf("a transfer of %d bytes was aborted within its share of %d transfers", own+n, len(held))
				default:
					bodies.End(own + n)
					delete(held, id)
				}
			}
			if bodies.Held() > bodies.Limit+piece*int64(len(held)) {
				t.Fatalf("%d bytes are held by %d transfers, more than the limit and a piece of each", bodies.Held(), len(held))
			}
		}
	})
}

// Bodies that are whole stay in memory while slow targets work on them. Any number of them, each as long as it may be,
// must not take more than the limit.
func TestWholeTransfersExceedTheLimit(t *testing.T) {
	is := is.New(t)
	const limit = 71 << 20
	bodies := &rationer.Rationer{Limit: limit}
	var whole []int64
	for k := int64(1); k <= 70; k++ {
		bodies.Begin()
		var own int64
		for own < limit/k && bodies.Grow(own, 1<<10) {
			own += 1 << 10
		}
		if own < limit/k {
			bodies.End(own + 1<<10)
			continue
		}
		bodies.Finish(own)
		whole = append(whole, own)
	}
	is.True(bodies.Held() <= limit)
	is.True(len(whole) > 0)
	bodies.Begin() // a short one isn't kept out
	is.True(bodies.Grow(0, 1<<10))
	bodies.Finish(1 << 10)
	bodies.Release(1 << 10)
	for _, held := range whole {
		bodies.Release(held)
	}
	is.Equal(bodies.Held(), int64(0))
}

// Transfers that fill their shares and pause, one after the other, must not take more than twice the limit.
func TestPausedTransfersExceedTwiceTheLimit(t *testing.T) {
	is := is.New(t)
	bodies := &rationer.Rationer{Limit: 1 << 20}
	for range 1000 {
		bodies.Begin()
		var own int64
		for bodies.Grow(own, 1<<10) {
			own += 1 << 10
		}
		bodies.End(1 << 10) // the piece that was too much
		bodies.Begin()      // the rest is paused
	}
	is.True(bodies.Held() <= 2<<20)
}

// Whatever transfers do, what is counted is what they hold, and at most twice the limit.
func TestTransfersStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, piece = 4096, 64
		bodies := &rationer.Rationer{Limit: limit}
		var growing, whole []int64
		take := func(list *[]int64, label string) int64 {
			i := rapid.IntRange(0, len(*list)-1).Draw(t, label)
			held := (*list)[i]
			*list = slices.Delete(*list, i, i+1)
			return held
		}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			switch action := rapid.IntRange(0, 19).Draw(t, "action"); {
			case action == 0 || len(growing) == 0 && action > 2:
				bodies.Begin()
				growing = append(growing, 0)
			case action == 1 && len(growing) > 0:
				held := take(&growing, "finished")
				bodies.Finish(held)
				whole = append(whole, held)
			case action == 2 && len(whole) > 0:
				bodies.Release(take(&whole, "released"))
			case len(growing) > 0:
				held := take(&growing, "growing")
				n := int64(rapid.IntRange(1, piece).Draw(t, "bytes"))
				if bodies.Grow(held, n) {
					growing = append(growing, held+n)
				} else {
					bodies.End(held + n)
				}
			}
			var sum int64
			for _, held := range slices.Concat(whole, growing) {
				sum += held
			}
			if sum != bodies.Held() || sum > 2*limit {
				t.Fatalf("%d bytes are held, %d counted, at most %d allowed", sum, bodies.Held(), 2*limit)
			}
		}
	})
}
