package server

import (
	"net/url"
	"path"
	"strings"
	"testing"
)

// An admitted path means the same to every upstream, whether it is decoded once or
// twice, normalised or not.
func FuzzPathHasOneMeaning(f *testing.F) {
	for _, seed := range []string{
		"/a/b", "/a//b", "/a/../b", "/a/%2e%2e/b", "/a%2fb", "/a%252fb", "/a/%25", "/a\\b", "/a/..;x/b", "/a/;x", "/%zz", "/a b%20c", "/a/.", "/%2",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		parsed, err := url.ParseRequestURI(raw)
		if err != nil || !isCleanPath(parsed.Path) || !hasNoEncodedSlash(parsed.EscapedPath()) {
			return
		}
		sent := (&url.URL{Path: parsed.Path, RawPath: parsed.RawPath}).EscapedPath()
		once, err := url.PathUnescape(sent)
		if err != nil || once != parsed.Path {
			t.Fatalf("%q is sent as %q, which decodes to %q", parsed.Path, sent, once)
		}
		if twice, err := url.PathUnescape(once); err == nil && twice != once {
			t.Fatalf("%q becomes %q when decoded once more", once, twice)
		}
		if normal := path.Clean(once); normal != once && normal+"/" != once {
			t.Fatalf("%q becomes %q when normalised", once, normal)
		}
		if strings.Count(sent, "/") != strings.Count(once, "/") || strings.Contains(once, "/..;") {
			t.Fatalf("%q has other segments than %q", sent, once)
		}
	})
}
