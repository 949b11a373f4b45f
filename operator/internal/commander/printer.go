package commander

import (
	"encoding/json"
	"fmt"
	"strings"

	"godwitramp.example/core/configurator"
)

// section is an entry in the output.
type section struct {
	Path   configurator.Path `json:"path"`
	Fields []field           `json:"fields"`
}

// field is a setting of an entry in the output.
type field struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

func sectionsOf(entries []configurator.Entry) []section {
	sections := []section{}
	for _, entry := range entries {
		next := section{Path: entry.Path, Fields: []field{}}
		for _, one := range entry.Fields {
			next.Fields = append(next.Fields, field(one))
		}
		sections = append(sections, next)
	}
	return sections
}

// String returns the entry as INI.
func (section section) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "[%s]\n", section.Path)
	for _, field := range section.Fields {
		fmt.Fprintf(&text, "%s = %s\n", field.Name, field.Value)
	}
	return text.String()
}

// outputJSON is the form of the output for other programs.
const outputJSON = "json"

// print writes the value as JSON, or else the text.
func (commander *Commander) print(value any, text string) error {
	if commander.options.Output != outputJSON {
		_, err := fmt.Fprint(commander.Out, text)
		return err
	}
	encoder := json.NewEncoder(commander.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
