package commander

import (
	"encoding/json"
	"fmt"
	"strings"

	"godwitramp.example/core/configurator"
)

// section is a configuration entry in the output.
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
		converted := section{Path: entry.Path, Fields: []field{}}
		for _, setting := range entry.Fields {
			converted.Fields = append(converted.Fields, field(setting))
		}
		sections = append(sections, converted)
	}
	return sections
}

// String returns the entry in INI format.
func (section section) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "[%s]\n", section.Path)
	for _, field := range section.Fields {
		fmt.Fprintf(&text, "%s = %s\n", field.Name, field.Value)
	}
	return text.String()
}

// outputJSON is the value of --output that selects JSON.
const outputJSON = "json"

// print writes the value as JSON or the text, as --output selects.
func (commander *Commander) print(value any, text string) error {
	if commander.options.Output != outputJSON {
		_, err := fmt.Fprint(commander.Out, text)
		return err
	}
	encoder := json.NewEncoder(commander.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
