// Package reader reads the declarations of all teams from a directory tree,
// which is usually kept in version control.
//
// The directory has one folder per team, named after it, with any number of
// .ini files. A file may only declare entries of its own team.
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

// ErrNoSettings is returned for a directory without settings files.
var ErrNoSettings = errors.New("no settings found; allowed: files named <team>/<name>.ini")

// Tree has the declarations of a directory.
type Tree struct {
	// Entries are sorted by path.
	Entries []configurator.Entry
	// Problems has every mistake in the files. The entries must not be applied
	// if there are any.
	Problems []*scanner.Problem
	parser   parser.Parser
}

// Read parses all files of the directory. Mistakes in them are in the tree's
// Problems; an error means that the files could not be read or are missing.
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
		tree.parser.Add(file, data)
	}
	tree.Entries, tree.Problems = tree.parser.Finish()
	tree.rejectForeign()
	return tree, nil
}

// rejectForeign adds a problem for each entry in the folder of another team.
func (tree *Tree) rejectForeign() {
	for _, entry := range tree.Entries {
		position := tree.parser.Position(entry.Path)
		folder, _, _ := strings.Cut(position.File, "/")
		if folder != entry.Path.Team() {
			cause := &configurator.ForeignPathError{Team: folder, Path: entry.Path}
			tree.Problems = append(tree.Problems, &scanner.Problem{Position: position, Cause: cause})
		}
	}
}

// Position returns the file and line of an entry, or an empty position if the
// directory does not declare it.
func (tree *Tree) Position(path configurator.Path) scanner.Position {
	return tree.parser.Position(path)
}

// Teams returns the names of the teams with entries, sorted.
func (tree *Tree) Teams() []string {
	var teams []string
	for _, entry := range tree.Entries {
		if len(teams) == 0 || teams[len(teams)-1] != entry.Path.Team() {
			teams = append(teams, entry.Path.Team())
		}
	}
	return teams
}

// EntriesOf returns the entries of one team, sorted by path.
func (tree *Tree) EntriesOf(team string) []configurator.Entry {
	var entries []configurator.Entry
	for _, entry := range tree.Entries {
		if entry.Path.Team() == team {
			entries = append(entries, entry)
		}
	}
	return entries
}
