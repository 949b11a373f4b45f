package commander_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/operator/internal/commander"
	"godwitramp.example/shell/connector"
	"godwitramp.example/shell/faker"
)

// example is a command in a page of the documentation with the output shown
// there.
type example struct {
	arguments []string
	output    string
}

// examples returns the commands in the console blocks of a page, in order.
func examples(page string) []example {
	var all []example
	for i, block := range strings.Split(page, "```") {
		text, console := strings.CutPrefix(block, "console\n")
		if i%2 == 0 || !console {
			continue
		}
		for part := range strings.SplitSeq(text, "$ ") {
			line, output, _ := strings.Cut(part, "\n")
			if fields := strings.Fields(line); len(fields) > 0 {
				all = append(all, example{arguments: fields[1:], output: output})
			}
		}
	}
	return all
}

func TestDocumentedExamplesMatchOutput(t *testing.T) {
	t.Chdir("../../..")
	t.Setenv("GODWITRAMP_PLATFORM", "http://127.0.0.1:6000")
	for _, name := range []string{"docs/OPERATING.md", "docs/SETTINGS.md", "CONTRIBUTING.md"} {
		t.Run(name, func(t *testing.T) {
			page, err := os.ReadFile(name)
			is.New(t).NoErr(err)
			platform := faker.New()
			fixture := &fixture{t: t, report: commander.Report{InForce: true, Confirmed: 40}}
			for _, example := range examples(string(page)) {
				var output bytes.Buffer
				command := &commander.Commander{
					Out: &output, Err: &output, Author: "asha",
					Open:   func(string) connector.Platform { return platform },
					Waiter: func(connector.Platform) commander.Waiter { return fixture },
					Secret: func() string { return "ONLYANEXAMPLE" },
					NewID:  func() string { return "RANDOMID" },
					Now:    func() time.Time { return time.Unix(1_800_000_000, 0).UTC() },
				}
				code := command.Run(t.Context(), example.arguments)
				got := output.String()
				if code != 0 {
					got += fmt.Sprintf("exit code %d\n", code)
				}
				if got != example.output {
					t.Errorf("operator %s\ngot:\n%swant:\n%s", strings.Join(example.arguments, " "), got, example.output)
				}
			}
		})
	}
}

func TestOperatingPageListsExitCodes(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/OPERATING.md")
	is.NoErr(err)
	for line := range strings.Lines(commander.ExitCodeList()) {
		code, meaning, _ := strings.Cut(strings.TrimSpace(line), "  ")
		is.True(strings.Contains(string(page), "| "+code+" | "+meaning+" |"))
	}
}
