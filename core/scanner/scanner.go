// Package scanner parses INI files into sections and settings with their line
// numbers.
//
// The INI library reports no line numbers and changes some values: it strips
// quotes and comments at the end of a line, and generates names for some
// settings. The package therefore scans the text line by line and compares the
// result with the library's. A difference is reported as a problem, so that a
// value is either read exactly as written or rejected.
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

// Position is a line of a file. Lines count from 1; 0 means the file as a whole.
type Position struct {
	File string
	Line int
}

// String returns the position as file:line, or the file alone for line 0.
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

// Error returns the position and the cause on one line.
func (problem *Problem) Error() string {
	return problem.Position.String() + ": " + problem.Cause.Error()
}

// Unwrap returns the cause without its position.
func (problem *Problem) Unwrap() error { return problem.Cause }

// LineError describes why a line is rejected.
type LineError struct {
	// Text is the rejected section, setting or line.
	Text    string
	Message string
	Allowed string
}

// Error returns the text, the mistake and what is allowed.
func (err *LineError) Error() string {
	return fmt.Sprintf("%q: %s; allowed: %s", err.Text, err.Message, err.Allowed)
}

// Section is one section of a file. Sections with the same name are not merged.
type Section struct {
	Name     string
	Position Position
	Settings []Setting
}

// Setting is one setting as written in a file, without surrounding blanks.
type Setting struct {
	Name     string
	Value    string
	Position Position
}

// Scan returns the sections of a file in order, and every mistake. A setting
// whose value is rejected is still in its section, so that later checks don't
// report it as missing.
func Scan(file string, data []byte) ([]Section, []*Problem) {
	lineScanner := lineScanner{file: file}
	text := strings.TrimPrefix(string(data), byteOrderMark)
	for line := range strings.Lines(text) {
		lineScanner.position.Line++
		lineScanner.position.File = file
		lineScanner.scanLine(strings.TrimSpace(line))
	}
	if len(lineScanner.problems) == 0 {
		lineScanner.problems = verify(file, text, lineScanner.sections)
	}
	return lineScanner.sections, lineScanner.problems
}

const byteOrderMark = "\uFEFF"

// lineScanner collects sections and problems line by line.
type lineScanner struct {
	file     string
	position Position
	sections []Section
	problems []*Problem
}

func (lineScanner *lineScanner) report(err *LineError) {
	lineScanner.problems = append(lineScanner.problems, &Problem{Position: lineScanner.position, Cause: err})
}

func (lineScanner *lineScanner) scanLine(line string) {
	switch {
	case !printable(line):
		lineScanner.report(&LineError{Text: line, Message: "holds characters that can't be printed", Allowed: "text in UTF-8"})
	case line == "" || line[0] == '#' || line[0] == ';':
	case line[0] == '[':
		lineScanner.addSection(line)
	default:
		lineScanner.addSetting(line)
	}
}

func printable(line string) bool {
	unprintable := func(r rune) bool { return r != '\t' && !unicode.IsPrint(r) }
	return utf8.ValidString(line) && !strings.ContainsFunc(line, unprintable)
}

func (lineScanner *lineScanner) addSection(line string) {
	name := strings.TrimSpace(strings.Trim(line, "[]"))
	if line != "["+name+"]" || name == "" || strings.ContainsAny(name, "[]\"'`") {
		lineScanner.report(&LineError{Text: line, Message: "is not a section", Allowed: "[name] alone on its line"})
	}
	lineScanner.sections = append(lineScanner.sections, Section{Name: name, Position: lineScanner.position})
}

func (lineScanner *lineScanner) addSetting(line string) {
	name, value, found := strings.Cut(line, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	if !found || name == "" {
		lineScanner.report(&LineError{Text: line, Message: "is neither a section nor a setting nor a comment",
			Allowed: "[name], name = value, # comment"})
		return
	}
	if len(lineScanner.sections) == 0 {
		lineScanner.report(&LineError{Text: name, Message: "setting stands above the first section",
			Allowed: "settings below a [section]"})
		return
	}
	if err := checkValue(name, value); err != nil {
		lineScanner.report(err)
	}
	section := &lineScanner.sections[len(lineScanner.sections)-1]
	section.Settings = append(section.Settings, Setting{Name: name, Value: value, Position: lineScanner.position})
}

// checkValue rejects names and values that INI parsers interpret differently.
func checkValue(name, value string) *LineError {
	text := name + " = " + value
	switch {
	case strings.ContainsAny(name, "\"'`") || strings.HasPrefix(name, "-"):
		return &LineError{Text: text, Message: "the name holds a quote or begins with a hyphen",
			Allowed: "lower-case letters, digits and hyphens"}
	case value != "" && strings.ContainsRune("\"'`", rune(value[0])):
		return &LineError{Text: text, Message: "the value stands in quotes", Allowed: "the value without quotes"}
	case hasInlineComment(value):
		return &LineError{Text: text, Message: "a comment follows the value", Allowed: "comments on lines of their own"}
	case strings.HasSuffix(value, `\`):
		return &LineError{Text: text, Message: "the value ends in a backslash", Allowed: "a value on one line"}
	case strings.Contains(value, "%("):
		return &LineError{Text: text, Message: "the value refers to another setting", Allowed: "the value itself"}
	}
	return nil
}

// hasInlineComment reports whether a comment character begins the value or
// follows a blank in it.
func hasInlineComment(value string) bool {
	for i, r := range value {
		if (r == ';' || r == '#') && (i == 0 || slices.Contains([]byte(" \t"), value[i-1])) {
			return true
		}
	}
	return false
}
