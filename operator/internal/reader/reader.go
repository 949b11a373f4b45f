// Package reader reads the declarations of teams from a directory tree that
// is kept in version control.
//
// The directory has one folder a team, and each folder any number of .ini
// files. A file may declare entries of its own team only.
//
// # Usage
//
//	entries, problems, err := reader.Read(os.DirFS("settings"))
package reader

import (
	"fmt"
	"io/fs"
	"strings"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/parser"
	"godwitramp.example/core/scanner"
)

// Read returns the entries of all teams sorted by path, and every mistake.
func Read(tree fs.FS) ([]configurator.Entry, []*scanner.Problem, error) {
	var parsed parser.Parser
	files, err := fs.Glob(tree, "*/*.ini")
	if err != nil {
		return nil, nil, fmt.Errorf("list settings: %w", err)
	}
	if len(files) == 0 {
		return nil, nil, fmt.Errorf("no settings found; allowed: files named <team>/<name>.ini")
	}
	for _, file := range files {
		data, err := fs.ReadFile(tree, file)
		if err != nil {
			return nil, nil, fmt.Errorf("read settings: %w", err)
		}
		parsed.Add(file, data)
	}
	entries, problems := parsed.Finish()
	return entries, append(problems, foreign(entries, &parsed)...), nil
}

// foreign reports entries that stand in the folder of another team.
func foreign(entries []configurator.Entry, parsed *parser.Parser) []*scanner.Problem {
	var problems []*scanner.Problem
	for _, entry := range entries {
		position := parsed.Position(entry.Path)
		folder, _, _ := strings.Cut(position.File, "/")
		if folder != entry.Path.Team() {
			cause := &configurator.ForeignPathError{Team: folder, Path: entry.Path}
			problems = append(problems, &scanner.Problem{Position: position, Cause: cause})
		}
	}
	return problems
}

// Teams returns the names of the teams that the entries belong to, in order.
func Teams(entries []configurator.Entry) []string {
	var teams []string
	for _, entry := range entries {
		if len(teams) == 0 || teams[len(teams)-1] != entry.Path.Team() {
			teams = append(teams, entry.Path.Team())
		}
	}
	return teams
}

// Of returns the entries of one team.
func Of(entries []configurator.Entry, team string) []configurator.Entry {
	var own []configurator.Entry
	for _, entry := range entries {
		if entry.Path.Team() == team {
			own = append(own, entry)
		}
	}
	return own
}
