// Package parser reads declarations from INI files.
//
// Each section is one entry of the configuration; its name is the entry's
// path. A file may declare entries of one team only. Every mistake is
// reported with file, line, path, value and what is allowed.
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

// Add reads one file.
func (parser *Parser) Add(file string, data []byte) {
	sections, problems := scanner.Scan(file, data)
	parser.problems = append(parser.problems, problems...)
	for _, section := range sections {
		parser.add(section)
	}
}

func (parser *Parser) add(section scanner.Section) {
	if parser.sections == nil {
		parser.sections = make(map[configurator.Path]scanner.Section)
	}
	path := configurator.Path(section.Name)
	if first, ok := parser.sections[path]; ok {
		parser.refuse(section.Position, fmt.Errorf("%s stands twice; first at %s", path, first.Position))
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

func (parser *Parser) refuse(position scanner.Position, cause error) {
	parser.problems = append(parser.problems, &scanner.Problem{Position: position, Cause: cause})
}

// Finish returns the entries of all files, sorted by path, and every problem
// in them and between them, sorted by position.
func (parser *Parser) Finish() ([]configurator.Entry, []*scanner.Problem) {
	slices.SortFunc(parser.entries, func(a, b configurator.Entry) int {
		return strings.Compare(string(a.Path), string(b.Path))
	})
	_, found := configurator.Compile(slices.Values(parser.entries))
	refused := parser.refusedLines()
	for _, problem := range found {
		if position := parser.position(problem); !refused[position] {
			parser.refuse(position, problem)
		}
	}
	slices.SortStableFunc(parser.problems, func(a, b *scanner.Problem) int {
		return a.Position.Compare(b.Position)
	})
	return parser.entries, parser.problems
}

// refusedLines returns the lines that can't be read, on which further checks
// would only repeat the mistake.
func (parser *Parser) refusedLines() map[scanner.Position]bool {
	refused := make(map[scanner.Position]bool)
	for _, problem := range parser.problems {
		refused[problem.Position] = true
	}
	return refused
}

// position returns the last line of the field that has the problem, or else
// that of its section.
func (parser *Parser) position(problem *configurator.Problem) scanner.Position {
	section := parser.sections[problem.Path]
	for _, setting := range slices.Backward(section.Settings) {
		if setting.Name == problem.Field {
			return setting.Position
		}
	}
	return section.Position
}

// Position returns where the section of an entry stands.
func (parser *Parser) Position(path configurator.Path) scanner.Position {
	return parser.sections[path].Position
}
