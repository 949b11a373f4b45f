// Package loader reads the settings of a program from an INI file and from flags,
// and reports all problems at once.
//
// # Usage
//
//	all := loader.List[Settings]{{Section: "vm", Name: "name", Required: true, Set: setName}}
//	settings, problems := all.Load("vm-01.ini", data, []string{"vm.name=vm-02"})
package loader

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/scanner"
)

// Problem is one problem of the settings.
type Problem struct {
	// Position is a line of the file, or the flag --set.
	Position scanner.Position
	Section  string
	Name     string
	Value    string
	Message  string
	Allowed  string
}

// Error describes the problem on one line.
func (problem *Problem) Error() string {
	line := fmt.Sprintf("%s: [%s] %s", problem.Position, problem.Section, problem.Name)
	if problem.Value != "" {
		line += fmt.Sprintf(" = %q", problem.Value)
	}
	line += ": " + problem.Message
	if problem.Allowed != "" {
		line += "; allowed: " + problem.Allowed
	}
	return line
}

// OverrideError says that an override does not have the form
// section.name=value.
type OverrideError struct {
	Text string
}

// Error names the override and the allowed form.
func (err *OverrideError) Error() string {
	return fmt.Sprintf("--set %s: is not a setting with a value; allowed: section.name=value", err.Text)
}

// assignment is a setting in the file or in a flag.
type assignment struct {
	section string
	scanner.Setting
}

func (assignment assignment) fullName() string { return assignment.section + "." + assignment.Name }

func (assignment assignment) problem(message, allowed string) *Problem {
	return &Problem{
		Position: assignment.Position, Section: assignment.section, Name: assignment.Name, Value: assignment.Value,
		Message: message, Allowed: allowed,
	}
}

// Setting describes one setting of a program that holds its settings in a T.
type Setting[T any] struct {
	Section, Name string
	Default       string
	Required      bool
	Allowed       string
	Doc           string
	// Set parses a value into the settings, or returns what is wrong with it.
	// For a setting that is not given, it gets Default.
	Set func(*T, string) error
}

// List has all settings of a program in the order of the documentation.
type List[T any] []Setting[T]

// Load reads the settings from the text of a file and from overrides of the
// form section.name=value, which have precedence. It returns all problems as
// *Problem, *OverrideError and the errors of package scanner.
func (list List[T]) Load(file string, data []byte, overrides []string) (T, []error) {
	fromFile, problemLines, problems := readFile(file, data)
	fromFlags, flagProblems := readOverrides(overrides)
	problems = append(problems, flagProblems...)
	values := make(map[string]assignment)
	for _, source := range [][]assignment{fromFile, fromFlags} {
		problems = append(problems, list.collect(values, source)...)
	}
	var settings T
	for _, setting := range list {
		value, ok := values[setting.fullName()]
		if !ok {
			position := scanner.Position{File: file}
			value = assignment{setting.Section, scanner.Setting{Name: setting.Name, Value: setting.Default, Position: position}}
		}
		if problem := setting.apply(&settings, value); problem != nil && !problemLines[value.Position] {
			problems = append(problems, problem)
		}
	}
	return settings, problems
}

// readFile returns the settings of a file, the lines that can't be parsed, and
// the problems of these lines.
func readFile(file string, data []byte) (assignments []assignment, problemLines map[scanner.Position]bool, problems []error) {
	sections, found := scanner.Scan(file, data)
	problemLines = make(map[scanner.Position]bool)
	for _, problem := range found {
		problemLines[problem.Position] = true
		problems = append(problems, problem)
	}
	for _, section := range sections {
		for _, setting := range section.Settings {
			assignments = append(assignments, assignment{section.Name, setting})
		}
	}
	return assignments, problemLines, problems
}

func readOverrides(overrides []string) ([]assignment, []error) {
	var assignments []assignment
	var problems []error
	for _, override := range overrides {
		fullName, value, ok := strings.Cut(override, "=")
		section, name, dotted := strings.Cut(fullName, ".")
		if !ok || !dotted {
			problems = append(problems, &OverrideError{Text: override})
			continue
		}
		position := scanner.Position{File: "--set"}
		assignments = append(assignments, assignment{section, scanner.Setting{Name: name, Value: value, Position: position}})
	}
	return assignments, problems
}

// collect adds the settings of one source to the values, replacing earlier
// ones. A setting must not occur twice in one source.
func (list List[T]) collect(values map[string]assignment, source []assignment) []error {
	var problems []error
	seen := make(map[string]assignment)
	for _, next := range source {
		if first, ok := seen[next.fullName()]; ok {
			problems = append(problems, next.problem("stands twice; first at "+first.Position.String(), ""))
			continue
		}
		seen[next.fullName()] = next
		if !list.isKnown(next.fullName()) {
			nearest := configurator.Nearest(next.fullName(), list.names())
			problems = append(problems, next.problem("unknown setting; the nearest known name is "+strconv.Quote(nearest), ""))
			continue
		}
		values[next.fullName()] = next
	}
	return problems
}

func (setting Setting[T]) fullName() string { return setting.Section + "." + setting.Name }

func (list List[T]) names() []string {
	var names []string
	for _, setting := range list {
		names = append(names, setting.fullName())
	}
	return names
}

func (list List[T]) isKnown(fullName string) bool { return slices.Contains(list.names(), fullName) }

func (setting Setting[T]) apply(settings *T, value assignment) *Problem {
	if value.Value == "" && setting.Required {
		return value.problem("is missing", setting.Allowed)
	}
	if err := setting.Set(settings, value.Value); err != nil {
		return value.problem(err.Error(), setting.Allowed)
	}
	return nil
}

// Markdown returns a table of the settings for the documentation.
func (list List[T]) Markdown() string {
	var table strings.Builder
	table.WriteString("| Section | Setting | Allowed | Default | Meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, setting := range list {
		defaultText := setting.Default
		if setting.Required {
			defaultText = "none, must be set"
		}
		fmt.Fprintf(&table, "| `%s` | `%s` | %s | %s | %s |\n", setting.Section, setting.Name, setting.Allowed, defaultText, setting.Doc)
	}
	return table.String()
}
