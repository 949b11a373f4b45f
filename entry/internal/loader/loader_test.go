package loader_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/entry/internal/loader"
)

const validSettings = `[vm]
name = vm-01
region = kutch
data-centre = kutch-1
[listen]
callers = 127.0.0.1:1
peers = 127.0.0.1:2
operators = 127.0.0.1:3
[platform]
address = http://127.0.0.1:4/
[tls]
authority = a.pem
certificate = b.pem
key = c.key
`

func TestOverridesWinOverFile(t *testing.T) {
	is := is.New(t)
	settings, problems := loader.Load("vm.ini", []byte(validSettings), []string{"vm.name=vm-02", "stop.grace=7s"})
	is.Equal(len(problems), 0)
	is.Equal(settings.Name, "vm-02")
	is.Equal(settings.StopGrace, 7*time.Second)
	is.Equal(settings.StopLimit, time.Minute)
	is.Equal(settings.Platform, "http://127.0.0.1:4")
}

func TestLoadReportsEveryProblem(t *testing.T) {
	tests := []struct {
		name, text string
		overrides  []string
		want       string
	}{
		{"unknown setting", validSettings + "[stop]\ngrase = 1s\n", nil,
			`vm.ini:16: [stop] grase = "1s": unknown setting; the nearest known name is "stop.grace"`},
		{"bad value", strings.Replace(validSettings, "127.0.0.1:2", "peers", 1), nil,
			`vm.ini:7: [listen] peers = "peers": is not an address`},
		{"missing", strings.Replace(validSettings, "name = vm-01\n", "", 1), nil, `vm.ini: [vm] name: is missing`},
		{"twice", validSettings + "[vm]\nname = vm-03\n", nil, `vm.ini:16: [vm] name = "vm-03": stands twice; first at vm.ini:2`},
		{"quotes", strings.Replace(validSettings, "vm-01", `"vm-01"`, 1), nil, `vm.ini:2: "name = \"vm-01\"": the value stands in quotes`},
		{"override without value", validSettings, []string{"vm.name"}, `--set vm.name: is not a setting with a value; allowed: section.name=value`},
		{"unknown override", validSettings, []string{"vm.nam=x"}, `--set: [vm] nam = "x": unknown setting; the nearest known name is "vm.name"`},
		{"bad override", validSettings, []string{"stop.limit=1h"}, `--set: [stop] limit = "1h": is not a duration in the allowed range`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, problems := loader.Load("vm.ini", []byte(test.text), test.overrides)
			if len(problems) != 1 || !strings.HasPrefix(problems[0].Error(), test.want) {
				t.Fatalf("got  %v\nwant %s", problems, test.want)
			}
		})
	}
}

func TestPageListsEverySetting(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/SETTINGS.md")
	is.NoErr(err)
	is.True(strings.Contains(string(page), loader.Page())) // entry --describe prints the expected part
}
