package scanner_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/core/scanner"
)

func TestScanReadsValuesExactlyOrRejects(t *testing.T) {
	tests := []struct{ name, line, value, problem string }{
		{"plain", "a = b c", "b c", ""},
		{"no blanks", "a=b", "b", ""},
		{"equals sign", "a = b=c", "b=c", ""},
		{"marks without blank", "a = b;c#d", "b;c#d", ""},
		{"percent", "a = 5%", "5%", ""},
		{"colon", "a = 127.0.0.1:80", "127.0.0.1:80", ""},
		{"quote inside", `a = it's`, "it's", ""},
		{"carriage return", "a = b\r", "b", ""},
		{"empty", "a =", "", ""},
		{"quotes", `a = "b"`, "", "in quotes"},
		{"comment after value", "a = b ; c", "", "comment follows"},
		{"hash after value", "a = b\t# c", "", "comment follows"},
		{"comment as value", "a = # c", "", "comment follows"},
		{"continuation", `a = b \`, "", "backslash"},
		{"interpolation", "a = %(b)s", "", "refers to another"},
		{"no delimiter", "rate", "", "neither a section"},
		{"no name", "= b", "", "neither a section"},
		{"generated name", "- = b", "", "begins with a hyphen"},
		{"not UTF-8", "a = \xff", "", "can't be printed"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sections, problems := scanner.Scan("f.ini", []byte("\uFEFF# f\n[s]\n"+test.line+"\n"))
			if test.problem != "" {
				is.Equal(len(problems), 1)
				is.True(strings.HasPrefix(problems[0].Error(), "f.ini:3: "))
				is.True(strings.Contains(problems[0].Error(), test.problem))
				return
			}
			is.Equal(len(problems), 0)
			want := scanner.Setting{Name: "a", Value: test.value, Position: scanner.Position{File: "f.ini", Line: 3}}
			is.Equal(sections[0].Settings, []scanner.Setting{want})
		})
	}
}

func TestScanRejectsMalformedSections(t *testing.T) {
	for _, text := range []string{"a = b\n[s]", "[s] # c", "[s", "[]"} {
		_, problems := scanner.Scan("f.ini", []byte(text))
		is.New(t).Equal(len(problems), 1)
	}
}

func FuzzScan(f *testing.F) {
	f.Add([]byte("[s]\na = b\na = c\n[s]\n[s.t]\nd = %e\n"))
	f.Add([]byte("[a]\nb = \"\"\"\nc = d\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		sections, problems := scanner.Scan("f.ini", data)
		if len(problems) > 0 {
			return
		}
		lines := strings.Split(string(data), "\n")
		for _, section := range sections {
			for _, setting := range section.Settings {
				_, written, _ := strings.Cut(lines[setting.Position.Line-1], "=")
				if strings.TrimSpace(written) != setting.Value {
					t.Fatalf("line %d: %q read as %q", setting.Position.Line, written, setting.Value)
				}
			}
		}
	})
}

func BenchmarkScan(b *testing.B) {
	for _, sections := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("sections=%d", sections), func(b *testing.B) {
			var text strings.Builder
			for i := range sections {
				fmt.Fprintf(&text, "[/kundsetu/organisations/o%d]\nrate = 50\nburst = 100\n", i)
			}
			for b.Loop() {
				if _, problems := scanner.Scan("f.ini", []byte(text.String())); len(problems) > 0 {
					b.Fatal(problems[0])
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(sections), "ns/section")
		})
	}
}
