// Package scanner reads INI text and tells where each section and setting
// stands.
//
// The INI library reads the text, but it knows no line numbers and takes some
// values otherwise than they stand there: it strips quotes, cuts comments off
// the end of a line and joins names of its own to settings. A line walk finds
// the places; what the library reads otherwise than the line says is refused,
// so that a value is either read exactly as written or not at all.
//
// # Usage
//
//	sections, problems := scanner.Scan("kundsetu/services.ini", data)
package scanner

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Position is a line of a file; lines count from 1, and 0 means the file as a
// whole.
type Position struct {
	File string
	Line int
}

// String returns the position as file:line.
func (position Position) String() string {
	if position.Line == 0 {
		return position.File
	}
	return fmt.Sprintf("%s:%d", position.File, position.Line)
}

// Compare orders positions by file and line.
func (position Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(position.File, other.File), cmp.Compare(position.Line, other.Line))
}

// Problem is one mistake in a file.
type Problem struct {
	Position Position
	Cause    error
}

// Error returns the position and the mistake as one line.
func (problem *Problem) Error() string {
	return problem.Position.String() + ": " + problem.Cause.Error()
}

// Unwrap returns the mistake without its position.
func (problem *Problem) Unwrap() error { return problem.Cause }

// LineError says why a line can't be read.
type LineError struct {
	// Text is the section, setting or line that is refused.
	Text    string
	Message string
	Allowed string
}

// Error returns the text, the mistake and what is allowed.
func (err *LineError) Error() string {
	return fmt.Sprintf("%q: %s; allowed: %s", err.Text, err.Message, err.Allowed)
}

// Section is one section of a file. Sections of the same name stay apart.
type Section struct {
	Name     string
	Position Position
	Settings []Setting
}

// Setting is one setting as it stands in a file.
type Setting struct {
	Name     string
	Value    string
	Position Position
}

// Scan returns the sections of a file in order, and every mistake. A setting
// whose value is refused still stands in its section, so that it isn't taken
// for missing.
func Scan(file string, data []byte) ([]Section, []*Problem) {
	walker := walker{file: file}
	text := strings.TrimPrefix(string(data), byteOrderMark)
	for line := range strings.Lines(text) {
		walker.position.Line++
		walker.position.File = file
		walker.walk(strings.TrimSpace(line))
	}
	if len(walker.problems) == 0 {
		walker.problems = verify(file, text, walker.sections)
	}
	return walker.sections, walker.problems
}

const byteOrderMark = "\uFEFF"

// walker collects sections line by line.
type walker struct {
	file     string
	position Position
	sections []Section
	problems []*Problem
}

func (walker *walker) refuse(err *LineError) {
	walker.problems = append(walker.problems, &Problem{Position: walker.position, Cause: err})
}

func (walker *walker) walk(line string) {
	switch {
	case !printable(line):
		walker.refuse(&LineError{Text: line, Message: "holds characters that can't be printed", Allowed: "text in UTF-8"})
	case line == "" || line[0] == '#' || line[0] == ';':
	case line[0] == '[':
		walker.open(line)
	default:
		walker.set(line)
	}
}

func printable(line string) bool {
	unprintable := func(r rune) bool { return r != '\t' && !unicode.IsPrint(r) }
	return utf8.ValidString(line) && !strings.ContainsFunc(line, unprintable)
}

func (walker *walker) open(line string) {
	name := strings.TrimSpace(strings.Trim(line, "[]"))
	if line != "["+name+"]" || name == "" || strings.ContainsAny(name, "[]\"'`") {
		walker.refuse(&LineError{Text: line, Message: "is not a section", Allowed: "[name] alone on its line"})
	}
	walker.sections = append(walker.sections, Section{Name: name, Position: walker.position})
}

func (walker *walker) set(line string) {
	name, value, found := strings.Cut(line, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	if !found || name == "" {
		walker.refuse(&LineError{Text: line, Message: "is neither a section nor a setting nor a comment",
			Allowed: "[name], name = value, # comment"})
		return
	}
	if len(walker.sections) == 0 {
		walker.refuse(&LineError{Text: name, Message: "setting stands above the first section",
			Allowed: "settings below a [section]"})
		return
	}
	if err := checkValue(name, value); err != nil {
		walker.refuse(err)
	}
	section := &walker.sections[len(walker.sections)-1]
	section.Settings = append(section.Settings, Setting{Name: name, Value: value, Position: walker.position})
}

// checkValue refuses values that readers of INI files take in different ways.
func checkValue(name, value string) *LineError {
	text := name + " = " + value
	switch {
	case strings.ContainsAny(name, "\"'`") || strings.HasPrefix(name, "-"):
		return &LineError{Text: text, Message: "the name holds a quote or begins with a hyphen",
			Allowed: "lower-case letters, digits and hyphens"}
	case value != "" && strings.ContainsRune("\"'`", rune(value[0])):
		return &LineError{Text: text, Message: "the value stands in quotes", Allowed: "the value without quotes"}
	case holdsComment(value):
		return &LineError{Text: text, Message: "a comment follows the value", Allowed: "comments on lines of their own"}
	case strings.HasSuffix(value, `\`):
		return &LineError{Text: text, Message: "the value ends in a backslash", Allowed: "a value on one line"}
	case strings.Contains(value, "%("):
		return &LineError{Text: text, Message: "the value refers to another setting", Allowed: "the value itself"}
	}
	return nil
}

// holdsComment reports whether a comment mark begins the value or follows a
// blank in it.
func holdsComment(value string) bool {
	for i, r := range value {
		if (r == ';' || r == '#') && (i == 0 || slices.Contains([]byte(" \t"), value[i-1])) {
			return true
		}
	}
	return false
}
