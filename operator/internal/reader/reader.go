// Package reader reads the declarations of teams from a directory tree that
// is kept in version control.
//
// The directory has one folder a team, and each folder any number of .ini
// files. A file may declare entries of its own team only.
//
// # Usage
//
//	tree, err := reader.Read(os.DirFS("settings"))
//	if len(tree.Problems) > 0 {
//		// Apply nothing.
//	}
package reader

import (
	"errors"
	"fmt"
	"io/fs"
	"strings"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/parser"
	"godwitramp.example/core/scanner"
)

// ErrNoSettings says that a directory declares nothing.
var ErrNoSettings = errors.New("no settings found; allowed: files named <team>/<name>.ini")

// Tree is what a directory declares.
type Tree struct {
	// Entries are sorted by path.
	Entries []configurator.Entry
	// Problems has every mistake.
	Problems []*scanner.Problem
	parsed   parser.Parser
}

// Read reads the declarations of all teams.
func Read(directory fs.FS) (*Tree, error) {
	files, err := fs.Glob(directory, "*/*.ini")
	if err != nil {
		return nil, fmt.Errorf("list settings: %w", err)
	}
	if len(files) == 0 {
		return nil, ErrNoSettings
	}
	tree := &Tree{}
	for _, file := range files {
		data, err := fs.ReadFile(directory, file)
		if err != nil {
			return nil, fmt.Errorf("read settings: %w", err)
		}
		tree.parsed.Add(file, data)
	}
	tree.Entries, tree.Problems = tree.parsed.Finish()
	tree.refuseForeign()
	return tree, nil
}

// refuseForeign reports entries that stand in the folder of another team.
func (tree *Tree) refuseForeign() {
	for _, entry := range tree.Entries {
		position := tree.parsed.Position(entry.Path)
		folder, _, _ := strings.Cut(position.File, "/")
		if folder != entry.Path.Team() {
			cause := &configurator.ForeignPathError{Team: folder, Path: entry.Path}
			tree.Problems = append(tree.Problems, &scanner.Problem{Position: position, Cause: cause})
		}
	}
}

// Position returns where an entry stands, and an empty position if it isn't
// declared in the directory.
func (tree *Tree) Position(path configurator.Path) scanner.Position {
	return tree.parsed.Position(path)
}

// Teams returns the names of the teams that declare something, in order.
func (tree *Tree) Teams() []string {
	var teams []string
	for _, entry := range tree.Entries {
		if len(teams) == 0 || teams[len(teams)-1] != entry.Path.Team() {
			teams = append(teams, entry.Path.Team())
		}
	}
	return teams
}

// Of returns the entries of one team.
func (tree *Tree) Of(team string) []configurator.Entry {
	var own []configurator.Entry
	for _, entry := range tree.Entries {
		if entry.Path.Team() == team {
			own = append(own, entry)
		}
	}
	return own
}
