package configurator

import (
	"hash/maphash"
	"iter"
	"maps"
)

const (
	shardCount = 1024
	wordBits   = 64
)

// shardSeed decides only which shard a key falls into.
var shardSeed = maphash.MakeSeed()

// shards is a map that never changes: an edit copies the shards that it
// touches and shares all others with the map that it began from.
type shards[K comparable, V any] struct {
	parts *[shardCount]map[K]V
}

func shardOf[K comparable](key K) int {
	return int(maphash.Comparable(shardSeed, key) % shardCount)
}

// get returns the value of the key.
func (shards shards[K, V]) get(key K) (V, bool) {
	if shards.parts == nil {
		var none V
		return none, false
	}
	value, ok := shards.parts[shardOf(key)][key]
	return value, ok
}

// values returns all values in no order.
func (shards shards[K, V]) values() iter.Seq[V] {
	return func(yield func(V) bool) {
		if shards.parts == nil {
			return
		}
		for _, part := range shards.parts {
			for _, value := range part {
				if !yield(value) {
					return
				}
			}
		}
	}
}

// edit begins a changed copy.
func (shards shards[K, V]) edit() *shardEdit[K, V] {
	return &shardEdit[K, V]{base: shards}
}

// shardEdit is a changed copy of a map under way.
type shardEdit[K comparable, V any] struct {
	base  shards[K, V]
	parts *[shardCount]map[K]V
	// owned marks the shards that this edit has copied.
	owned [shardCount / wordBits]uint64
}

// get returns the value of the key as edited so far.
func (edit *shardEdit[K, V]) get(key K) (V, bool) { return edit.done().get(key) }

// own returns the edit's copy of the key's shard.
func (edit *shardEdit[K, V]) own(key K) map[K]V {
	if edit.parts == nil {
		edit.parts = new([shardCount]map[K]V)
		if edit.base.parts != nil {
			*edit.parts = *edit.base.parts
		}
	}
	index := shardOf(key)
	word, bit := index/wordBits, uint64(1)<<(index%wordBits)
	if edit.owned[word]&bit == 0 {
		edit.owned[word] |= bit
		edit.parts[index] = maps.Clone(edit.parts[index])
	}
	if edit.parts[index] == nil {
		edit.parts[index] = make(map[K]V)
	}
	return edit.parts[index]
}

func (edit *shardEdit[K, V]) set(key K, value V) { edit.own(key)[key] = value }

func (edit *shardEdit[K, V]) delete(key K) { delete(edit.own(key), key) }

// done returns the map as edited so far; the edit must not go on after the
// map has been handed out.
func (edit *shardEdit[K, V]) done() shards[K, V] {
	if edit.parts == nil {
		return edit.base
	}
	return shards[K, V]{parts: edit.parts}
}
