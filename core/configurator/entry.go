package configurator

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Path identifies an entry of the configuration, such as
// "/kundsetu/services/bookings/targets/t01". Its first part is the team that
// owns the entry.
type Path string

// Team returns the first part of the path.
func (path Path) Team() string {
	team, _, _ := strings.Cut(strings.TrimPrefix(string(path), "/"), "/")
	return team
}

// Name returns the last part of the path.
func (path Path) Name() string {
	return string(path[strings.LastIndexByte(string(path), '/')+1:])
}

// Parent returns the path of the entry that this one belongs to, two parts up:
// the organisation of a key or the service of a target.
func (path Path) Parent() Path {
	parent := string(path)
	for range 2 {
		parent = parent[:max(0, strings.LastIndexByte(parent, '/'))]
	}
	return Path(parent)
}

// Field is one setting of an entry, with its value as written.
type Field struct {
	Name  string
	Value string
}

// Entry is one section of the declarations: a path and its fields, sorted by
// name.
type Entry struct {
	Path   Path
	Fields []Field
}

// Value returns the value of the field with the given name, and false if there is
// none.
func (entry Entry) Value(name string) (string, bool) {
	for _, field := range entry.Fields {
		if field.Name == name {
			return field.Value, true
		}
	}
	return "", false
}

// Equal reports whether both entries have the same path and fields.
func (entry Entry) Equal(other Entry) bool {
	return entry.Path == other.Path && slices.Equal(entry.Fields, other.Fields)
}

// Sort sorts the fields by name, as digests and comparisons require.
func (entry *Entry) Sort() {
	slices.SortFunc(entry.Fields, func(a, b Field) int {
		return strings.Compare(a.Name, b.Name)
	})
}

// Digest is a checksum over a set of entries that does not depend on their order.
// Equal states have equal digests; different states have different ones, except
// for hash collisions.
type Digest uint64

// String returns the digest as 16 hexadecimal digits.
func (digest Digest) String() string { return fmt.Sprintf("%016x", uint64(digest)) }

// Add returns the digest of the set with the entry added.
func (digest Digest) Add(entry Entry) Digest { return digest + entry.digest() }

// Remove returns the digest of the set with the entry removed.
func (digest Digest) Remove(entry Entry) Digest { return digest - entry.digest() }

func (entry Entry) digest() Digest {
	hash := xxhash.New()
	writePart(hash, string(entry.Path))
	for _, field := range entry.Fields {
		writePart(hash, field.Name)
		writePart(hash, field.Value)
	}
	return Digest(hash.Sum64())
}

// writePart adds a string and a terminator that no setting can contain.
func writePart(hash *xxhash.Digest, part string) {
	_, _ = hash.WriteString(part) // never fails
	_, _ = hash.WriteString("\x00")
}
