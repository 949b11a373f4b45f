// Package loader reads the settings of a program from an INI file and from
// flags, and finds every mistake at once.
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

// Problem is one mistake in the settings.
type Problem struct {
	// Position is the line of a file, or says that a flag gave the setting.
	Position scanner.Position
	Section  string
	Name     string
	Value    string
	Message  string
	Allowed  string
}

// Error returns the problem as one line.
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

// OverrideError says that a flag does not have the form section.name=value.
type OverrideError struct {
	Text string
}

// Error names the flag's value and the allowed form.
func (err *OverrideError) Error() string {
	return fmt.Sprintf("--set %s: is not a setting with a value; allowed: section.name=value", err.Text)
}

// given is a setting as a file or a flag gives it.
type given struct {
	section string
	scanner.Setting
}

func (given given) full() string { return given.section + "." + given.Name }

func (given given) problem(message, allowed string) *Problem {
	return &Problem{
		Position: given.Position, Section: given.section, Name: given.Name, Value: given.Value,
		Message: message, Allowed: allowed,
	}
}

// Setting describes one setting of a program whose settings are held in a T.
type Setting[T any] struct {
	Section, Name string
	Default       string
	Required      bool
	Allowed       string
	Doc           string
	// Set puts a value into the settings, or says what is wrong with it.
	Set func(*T, string) error
}

// List has the settings of a program in the order of the documentation.
type List[T any] []Setting[T]

// Load reads the settings from the text of a file and from overrides of the
// form section.name=value, which win over the file. It returns every mistake.
func (list List[T]) Load(file string, data []byte, overrides []string) (T, []error) {
	fromFile, refused, problems := readFile(file, data)
	fromFlags, more := readOverrides(overrides)
	problems = append(problems, more...)
	values := make(map[string]given)
	for _, source := range [][]given{fromFile, fromFlags} {
		problems = append(problems, list.collect(values, source)...)
	}
	var settings T
	for _, setting := range list {
		value, ok := values[setting.full()]
		if !ok {
			position := scanner.Position{File: file}
			value = given{setting.Section, scanner.Setting{Name: setting.Name, Value: setting.Default, Position: position}}
		}
		if problem := setting.apply(&settings, value); problem != nil && !refused[value.Position] {
			problems = append(problems, problem)
		}
	}
	return settings, problems
}

// readFile returns the settings of a file, the lines that can't be read, and
// why.
func readFile(file string, data []byte) (all []given, refused map[scanner.Position]bool, problems []error) {
	sections, found := scanner.Scan(file, data)
	refused = make(map[scanner.Position]bool)
	for _, problem := range found {
		refused[problem.Position] = true
		problems = append(problems, problem)
	}
	for _, section := range sections {
		for _, setting := range section.Settings {
			all = append(all, given{section.Name, setting})
		}
	}
	return all, refused, problems
}

func readOverrides(overrides []string) ([]given, []error) {
	var all []given
	var problems []error
	for _, override := range overrides {
		full, value, ok := strings.Cut(override, "=")
		section, name, dotted := strings.Cut(full, ".")
		if !ok || !dotted {
			problems = append(problems, &OverrideError{Text: override})
			continue
		}
		position := scanner.Position{File: "--set"}
		all = append(all, given{section, scanner.Setting{Name: name, Value: value, Position: position}})
	}
	return all, problems
}

// collect adds the settings of one source to the values. A source may give
// each setting once.
func (list List[T]) collect(values map[string]given, source []given) []error {
	var problems []error
	own := make(map[string]given)
	for _, next := range source {
		if first, ok := own[next.full()]; ok {
			problems = append(problems, next.problem("stands twice; first at "+first.Position.String(), ""))
			continue
		}
		own[next.full()] = next
		if !list.known(next.full()) {
			nearest := configurator.Nearest(next.full(), list.names())
			problems = append(problems, next.problem("unknown setting; the nearest known name is "+strconv.Quote(nearest), ""))
			continue
		}
		values[next.full()] = next
	}
	return problems
}

func (setting Setting[T]) full() string { return setting.Section + "." + setting.Name }

func (list List[T]) names() []string {
	var names []string
	for _, setting := range list {
		names = append(names, setting.full())
	}
	return names
}

func (list List[T]) known(full string) bool { return slices.Contains(list.names(), full) }

func (setting Setting[T]) apply(settings *T, value given) *Problem {
	if value.Value == "" && setting.Required {
		return value.problem("is missing", setting.Allowed)
	}
	if err := setting.Set(settings, value.Value); err != nil {
		return value.problem(err.Error(), setting.Allowed)
	}
	return nil
}

// Page returns the settings as a table in Markdown.
func (list List[T]) Page() string {
	var page strings.Builder
	page.WriteString("| Section | Setting | Allowed | Default | Meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, setting := range list {
		normal := setting.Default
		if setting.Required {
			normal = "none, must be set"
		}
		fmt.Fprintf(&page, "| `%s` | `%s` | %s | %s | %s |\n", setting.Section, setting.Name, setting.Allowed, normal, setting.Doc)
	}
	return page.String()
}
