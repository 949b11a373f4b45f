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
