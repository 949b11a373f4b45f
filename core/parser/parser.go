// Package parser parses declarations from INI files and validates them.
//
// Each section is one entry of the configuration; its name is the entry's
// path. A file may declare entries of one team only, which the caller checks.
// Every mistake is reported with its file and line, the path, the value and the
// allowed values.
//
// # Usage
//
//	var parser parser.Parser
//	parser.Add("kundsetu/services.ini", data)
//	entries, problems := parser.Finish()
package parser

import (
	"fmt"
	"slices"
	"strings"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/scanner"
)

// Parser collects the entries of several files. The zero value is ready.
type Parser struct {
	entries  []configurator.Entry
	sections map[configurator.Path]scanner.Section
	problems []*scanner.Problem
}

// Add parses one file. Its problems are reported by Finish.
func (parser *Parser) Add(file string, data []byte) {
	sections, problems := scanner.Scan(file, data)
	parser.problems = append(parser.problems, problems...)
	for _, section := range sections {
		parser.addSection(section)
	}
}

func (parser *Parser) addSection(section scanner.Section) {
	if parser.sections == nil {
		parser.sections = make(map[configurator.Path]scanner.Section)
	}
	path := configurator.Path(section.Name)
	if first, ok := parser.sections[path]; ok {
		parser.report(section.Position, fmt.Errorf("%s stands twice; first at %s", path, first.Position))
		return
	}
	parser.sections[path] = section
	entry := configurator.Entry{Path: path}
	for _, setting := range section.Settings {
		entry.Fields = append(entry.Fields, configurator.Field{Name: setting.Name, Value: setting.Value})
	}
	entry.Sort()
	parser.entries = append(parser.entries, entry)
}

func (parser *Parser) report(position scanner.Position, cause error) {
	parser.problems = append(parser.problems, &scanner.Problem{Position: position, Cause: cause})
}

// Finish returns the entries of all files, sorted by path, and every problem
// in them and between them, sorted by position.
func (parser *Parser) Finish() ([]configurator.Entry, []*scanner.Problem) {
	slices.SortFunc(parser.entries, func(a, b configurator.Entry) int {
		return strings.Compare(string(a.Path), string(b.Path))
	})
	_, compileProblems := configurator.Compile(slices.Values(parser.entries))
	lines := parser.problemLines()
	for _, problem := range compileProblems {
		if position := parser.position(problem); !lines[position] {
			parser.report(position, problem)
		}
	}
	slices.SortStableFunc(parser.problems, func(a, b *scanner.Problem) int {
		return a.Position.Compare(b.Position)
	})
	return parser.entries, parser.problems
}

// problemLines returns the lines with problems so far. Further problems on these
// lines would only be consequences of the first.
func (parser *Parser) problemLines() map[scanner.Position]bool {
	lines := make(map[scanner.Position]bool)
	for _, problem := range parser.problems {
		lines[problem.Position] = true
	}
	return lines
}

// position returns the last line of the field with the problem, or the line of
// its section if the problem is of no field in the file.
func (parser *Parser) position(problem *configurator.Problem) scanner.Position {
	section := parser.sections[problem.Path]
	for _, setting := range slices.Backward(section.Settings) {
		if setting.Name == problem.Field {
			return setting.Position
		}
	}
	return section.Position
}

// Position returns the line of the section that declares an entry. It is the
// zero Position if there is none.
func (parser *Parser) Position(path configurator.Path) scanner.Position {
	return parser.sections[path].Position
}
