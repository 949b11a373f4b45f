package server

import (
	"net/url"
	"path"
	"strings"
	"testing"
)

// A path that is admitted reads the same to every upstream: decoded once or
// twice, normalised or not.
func FuzzPathReadsTheSame(f *testing.F) {
	for _, seed := range []string{
		"/a/b", "/a//b", "/a/../b", "/a/%2e%2e/b", "/a%2fb", "/a%252fb", "/a/%25", "/a\\b", "/a/..;x/b", "/a/;x", "/%zz", "/a b%20c", "/a/.", "/%2",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		parsed, err := url.ParseRequestURI(raw)
		if err != nil || !cleanPath(parsed.Path) || !cleanEncoding(parsed.EscapedPath()) {
			return
		}
		sent := (&url.URL{Path: parsed.Path, RawPath: parsed.RawPath}).EscapedPath()
		once, err := url.PathUnescape(sent)
		if err != nil || once != parsed.Path {
			t.Fatalf("%q is sent as %q, which reads %q", parsed.Path, sent, once)
		}
		if twice, err := url.PathUnescape(once); err == nil && twice != once {
			t.Fatalf("%q reads %q when decoded once more", once, twice)
		}
		if normal := path.Clean(once); normal != once && normal+"/" != once {
			t.Fatalf("%q reads %q when normalised", once, normal)
		}
		if strings.Count(sent, "/") != strings.Count(once, "/") || strings.Contains(once, "/..;") {
			t.Fatalf("%q has other parts than %q", sent, once)
		}
	})
}
