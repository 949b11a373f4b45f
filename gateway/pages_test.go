package main

import (
	"io/fs"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/gateway/internal/loader"
)

// eventOrReason matches log events, reasons and names of metrics in the code.
var eventOrReason = regexp.MustCompile(`\.(?:Info|Warn|Error)\("([a-z-]+)"\)|reason: +"([a-z-]+)"|Reason(?:: +|, .* = .*)"([a-z-]+)"|(gateway_[a-z_]+)`)

// The page for operators on call must explain each event, reason and metric that the
// program writes.
func TestOperationsExplainsEventsAndReasons(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	is.NoErr(err)
	found := 0
	for _, folder := range []string{"internal", "../core/assessor", "."} {
		err := fs.WalkDir(os.DirFS(folder), ".", func(name string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
				return err
			}
			code, err := os.ReadFile(folder + "/" + name)
			for _, match := range eventOrReason.FindAllStringSubmatch(string(code), -1) {
				word := match[1] + match[2] + match[3] + match[4]
				found++
				if !undocumented[word] && !strings.Contains(string(page), word) {
					t.Errorf("%s/%s: docs/OPERATIONS.md does not explain %s", folder, name, word)
				}
			}
			return err
		})
		is.NoErr(err)
	}
	is.True(found > 40)
}

// undocumented are reasons that need no explanation: successful outcomes, and rejections
// that name the caller's own error.
var undocumented = map[string]bool{
	"answered": true, "cancelled": true, "header-malformed": true, "route-unknown": true, "key-unknown": true,
	"header-timeout": true, "header-too-large": true, "body-too-large": true,
}

// The example log lines on the page must have only fields that the program writes.
func TestOperationsExampleLinesHaveTheirFields(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	is.NoErr(err)
	var code strings.Builder
	for _, file := range []string{"dispatcher/run.go", "dispatcher/attempt.go", "tracker/tracker.go"} {
		text, err := os.ReadFile("internal/" + file)
		is.NoErr(err)
		code.Write(text)
	}
	lines := 0
	for line := range strings.Lines(string(page)) {
		if !strings.Contains(line, " event=") {
			continue
		}
		lines++
		for _, field := range regexp.MustCompile(` ([a-z-]+)=`).FindAllStringSubmatch(line, -1) {
			switch field[1] {
			case "level", "event", "name", "program", "time": // added by the logger
			default:
				if !strings.Contains(code.String(), `"`+field[1]+`"`) {
					t.Errorf("the program writes no field %s", field[1])
				}
			}
		}
	}
	is.True(lines >= 3)
}

func TestSettingsPageHasTheTable(t *testing.T) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	is := is.New(t)
	is.NoErr(err)
	is.True(strings.Contains(string(page), loader.All.Markdown()))
}
