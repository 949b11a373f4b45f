package main

import (
	"io/fs"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// warningOrError matches code that logs an event as a warning or an error.
var warningOrError = regexp.MustCompile(`\.(?:Warn|Error)\("([a-z-]+)"\)`)

func TestPageListsEveryWarningAndError(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/OPERATING.md")
	is.NoErr(err)
	found := 0
	for _, folder := range []string{".", "../shell"} {
		err := fs.WalkDir(os.DirFS(folder), ".", func(name string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
				return err
			}
			code, err := os.ReadFile(folder + "/" + name)
			for _, match := range warningOrError.FindAllStringSubmatch(string(code), -1) {
				found++
				if !strings.Contains(string(page), "| `"+match[1]+"` |") {
					t.Errorf("%s/%s: docs/OPERATING.md has no row for the event %s", folder, name, match[1])
				}
			}
			return err
		})
		is.NoErr(err)
	}
	is.True(found > 0)
}
