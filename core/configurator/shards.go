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

// shardSeed affects only the shard that a key falls into.
var shardSeed = maphash.MakeSeed()

// shardedMap is an immutable map. An edit copies the shards that it writes to
// and shares all others with the original map.
type shardedMap[K comparable, V any] struct {
	parts *[shardCount]map[K]V
}

func shardOf[K comparable](key K) int {
	return int(maphash.Comparable(shardSeed, key) % shardCount)
}

// get returns the value of the key, and false if there is none.
func (shardedMap shardedMap[K, V]) get(key K) (V, bool) {
	if shardedMap.parts == nil {
		var none V
		return none, false
	}
	value, ok := shardedMap.parts[shardOf(key)][key]
	return value, ok
}

// values returns all values in no order.
func (shardedMap shardedMap[K, V]) values() iter.Seq[V] {
	return func(yield func(V) bool) {
		if shardedMap.parts == nil {
			return
		}
		for _, part := range shardedMap.parts {
			for _, value := range part {
				if !yield(value) {
					return
				}
			}
		}
	}
}

// edit returns an edit of the map, which itself stays as it is.
func (shardedMap shardedMap[K, V]) edit() *mapEdit[K, V] {
	return &mapEdit[K, V]{base: shardedMap}
}

// mapEdit builds a changed copy of a shardedMap.
type mapEdit[K comparable, V any] struct {
	base  shardedMap[K, V]
	parts *[shardCount]map[K]V
	// copied is a bit set of the shards that this edit has copied.
	copied [shardCount / wordBits]uint64
}

// get returns the value of the key as edited so far.
func (edit *mapEdit[K, V]) get(key K) (V, bool) { return edit.done().get(key) }

// writableShard returns the edit's copy of the key's shard.
func (edit *mapEdit[K, V]) writableShard(key K) map[K]V {
	if edit.parts == nil {
		edit.parts = new([shardCount]map[K]V)
		if edit.base.parts != nil {
			*edit.parts = *edit.base.parts
		}
	}
	index := shardOf(key)
	word, bit := index/wordBits, uint64(1)<<(index%wordBits)
	if edit.copied[word]&bit == 0 {
		edit.copied[word] |= bit
		edit.parts[index] = maps.Clone(edit.parts[index])
	}
	if edit.parts[index] == nil {
		edit.parts[index] = make(map[K]V)
	}
	return edit.parts[index]
}

func (edit *mapEdit[K, V]) set(key K, value V) { edit.writableShard(key)[key] = value }

func (edit *mapEdit[K, V]) delete(key K) { delete(edit.writableShard(key), key) }

// done returns the map as edited so far. The edit must not be used any more once
// the map has been published.
func (edit *mapEdit[K, V]) done() shardedMap[K, V] {
	if edit.parts == nil {
		return edit.base
	}
	return shardedMap[K, V]{parts: edit.parts}
}
