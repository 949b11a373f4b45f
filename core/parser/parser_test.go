package parser_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/core/parser"
)

const good = `
[/kundsetu/organisations/anand]
rate = 50
burst = 100

[/kundsetu/services/bookings]
timeout = 5s

[/kundsetu/services/bookings/targets/t01]
address = 127.0.0.1:9001
region = kutch
data-centre = kutch-1

[/kundsetu/routes/bookings]
prefix = /bookings
service = bookings
retry = never
`

func TestParseGoodFile(t *testing.T) {
	is := is.New(t)
	var parser parser.Parser
	parser.Add("kundsetu.ini", []byte(good))
	entries, problems := parser.Finish()
	is.Equal(len(problems), 0)
	is.Equal(len(entries), 4)
}

func TestParseReportsEveryMistake(t *testing.T) {
	tests := []struct {
		name, text, want string
	}{
		{"unknown setting", "[/a/organisations/o]\nrate = 1\nburst = 2\nrat = 3\n",
			`f.ini:4: /a/organisations/o: rat = "3": unknown setting of an organisation; the nearest known name is "rate"`},
		{"value out of range", "[/a/organisations/o]\nrate = -1\nburst = 2\n",
			`f.ini:2: /a/organisations/o: rate = "-1": is not a number in the allowed range; allowed: a number from 0.01`},
		{"not a number", "[/a/organisations/o]\nrate = NaN\nburst = 2\n", `f.ini:2: /a/organisations/o: rate = "NaN"`},
		{"missing setting", "[/a/organisations/o]\nrate = 1\n", `f.ini:1: /a/organisations/o: burst: is missing`},
		{"setting twice", "[/a/organisations/o]\nrate = 1\nrate = 2\nburst = 2\n", `f.ini:3: /a/organisations/o: rate = "2": stands twice`},
		{"section twice", "[/a/services/s]\n[/a/services/s]\n", `f.ini:2: /a/services/s stands twice; first at f.ini:1`},
		{"unknown path", "[/a/things/s]\n", `f.ini:1: /a/things/s: the path declares nothing that is known`},
		{"missing service", "[/a/routes/r]\nprefix = /r\nservice = s\n", `f.ini:3: /a/routes/r: service = "/a/services/s": refers to an entry that does not exist`},
		{"prefix twice", "[/a/services/s]\n[/a/routes/r]\nprefix = /r\nservice = s\n[/a/routes/t]\nprefix = /r\nservice = s\n",
			`f.ini:6: /a/routes/t: prefix = "/r": is the prefix of /a/routes/r too`},
		{"value in quotes", "[/a/organisations/o]\nrate = \"1\"\nburst = 2\n",
			`f.ini:2: "rate = \"1\"": the value stands in quotes; allowed: the value without quotes`},
		{"loose setting", "rate = 1\n", `f.ini:1: "rate": setting stands above the first section; allowed: settings below a [section]`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var parser parser.Parser
			parser.Add("f.ini", []byte(test.text))
			_, problems := parser.Finish()
			is.Equal(len(problems), 1)
			if !strings.HasPrefix(problems[0].Error(), test.want) {
				t.Fatalf("got  %s\nwant %s", problems[0], test.want)
			}
		})
	}
}

func FuzzParser(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("[/a/services/s"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var parser parser.Parser
		parser.Add("f.ini", data)
		parser.Finish()
	})
}
