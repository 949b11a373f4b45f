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

	"gopkg.in/ini.v1"

	"godwitramp.example/core/configurator"
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

// Parser collects the entries of several files. The zero value is ready.
type Parser struct {
	entries   []configurator.Entry
	positions map[configurator.Path]positions
	problems  []*Problem
}

// positions says where the parts of an entry stand.
type positions struct {
	section Position
	fields  map[string]Position
}

// Add reads one file.
func (parser *Parser) Add(file string, data []byte) {
	if parser.positions == nil {
		parser.positions = make(map[configurator.Path]positions)
	}
	options := ini.LoadOptions{KeyValueDelimiters: "=", AllowNonUniqueSections: true, AllowShadows: true,
		IgnoreContinuation: true, AllowDuplicateShadowValues: true, SpaceBeforeInlineComment: true}
	loaded, err := ini.LoadSources(options, data)
	if err != nil {
		parser.refuse(Position{File: file}, fmt.Errorf("read settings: %w", err))
		return
	}
	places := locate(file, string(data))
	seen := make(map[string]int)
	for _, section := range loaded.Sections() {
		if section.Name() == ini.DefaultSection {
			parser.refuseLoose(file, section)
			continue
		}
		parser.addSection(section, places.next(section.Name(), seen))
	}
}

// refuseLoose reports settings above the first section.
func (parser *Parser) refuseLoose(file string, section *ini.Section) {
	for _, key := range section.Keys() {
		err := fmt.Errorf("setting %q stands above the first section; allowed: settings below a [/path]", key.Name())
		parser.refuse(Position{File: file}, err)
	}
}

func (parser *Parser) addSection(section *ini.Section, place positions) {
	path := configurator.Path(section.Name())
	if first, ok := parser.positions[path]; ok {
		parser.refuse(place.section, fmt.Errorf("%s stands twice; first at %s", path, first.section))
		return
	}
	parser.positions[path] = place
	entry := configurator.Entry{Path: path}
	for _, key := range section.Keys() {
		for _, value := range key.ValueWithShadows() {
			entry.Fields = append(entry.Fields, configurator.Field{Name: key.Name(), Value: value})
		}
		if len(key.ValueWithShadows()) == 0 {
			entry.Fields = append(entry.Fields, configurator.Field{Name: key.Name()})
		}
	}
	entry.Sort()
	parser.entries = append(parser.entries, entry)
}

func (parser *Parser) refuse(position Position, cause error) {
	parser.problems = append(parser.problems, &Problem{Position: position, Cause: cause})
}

// Finish returns the entries of all files, sorted by path, and every problem
// in them and between them, sorted by position.
func (parser *Parser) Finish() ([]configurator.Entry, []*Problem) {
	slices.SortFunc(parser.entries, func(a, b configurator.Entry) int {
		return strings.Compare(string(a.Path), string(b.Path))
	})
	_, found := configurator.Compile(slices.Values(parser.entries))
	for _, problem := range found {
		parser.refuse(parser.position(problem), problem)
	}
	slices.SortStableFunc(parser.problems, func(a, b *Problem) int {
		if order := strings.Compare(a.Position.File, b.Position.File); order != 0 {
			return order
		}
		return a.Position.Line - b.Position.Line
	})
	return parser.entries, parser.problems
}

func (parser *Parser) position(problem *configurator.Problem) Position {
	place := parser.positions[problem.Path]
	if position, ok := place.fields[problem.Field]; ok {
		return position
	}
	return place.section
}

// sectionPlaces has the places of the sections of one file by name, in order.
type sectionPlaces map[string][]positions

// next returns the place of the next section with the given name.
func (places sectionPlaces) next(name string, seen map[string]int) positions {
	index := seen[name]
	seen[name]++
	if index < len(places[name]) {
		return places[name][index]
	}
	return positions{}
}

// locate finds the lines of sections and settings, which the INI library does
// not tell.
func locate(file, text string) sectionPlaces {
	places := make(sectionPlaces)
	current := ""
	number := 0
	for line := range strings.Lines(text) {
		number++
		line = strings.TrimSpace(line)
		position := Position{File: file, Line: number}
		if strings.HasPrefix(line, "[") {
			current = strings.TrimSpace(strings.Trim(line[:strings.LastIndexByte(line+"]", ']')], "[] \t"))
			places[current] = append(places[current], positions{section: position, fields: make(map[string]Position)})
			continue
		}
		name, _, found := strings.Cut(line, "=")
		if found && len(places[current]) > 0 {
			fields := places[current][len(places[current])-1].fields
			fields[strings.TrimSpace(name)] = position
		}
	}
	return places
}

// Position returns where the section of an entry stands.
func (parser *Parser) Position(path configurator.Path) Position {
	return parser.positions[path].section
}
