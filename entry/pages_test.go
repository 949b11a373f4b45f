package main

import (
	"io/fs"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// alarm finds warnings and errors in the log.
var alarm = regexp.MustCompile(`\.(?:Warn|Error)\("([a-z-]+)"\)`)

func TestPageListsEveryAlarm(t *testing.T) {
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
			for _, match := range alarm.FindAllStringSubmatch(string(code), -1) {
				found++
				if !strings.Contains(string(page), "| `"+match[1]+"` |") {
					t.Errorf("%s/%s: docs/OPERATING.md does not explain the event %s", folder, name, match[1])
				}
			}
			return err
		})
		is.NoErr(err)
	}
	is.True(found > 0)
}
