package commander

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"godwitramp.example/core/configurator"
)

// describeCommand prints the reference of the settings of declarations.
type describeCommand struct {
	commander *Commander
}

// Execute prints one table per kind of entry.
func (command *describeCommand) Execute([]string) error {
	_, err := fmt.Fprint(command.commander.Out, SettingsPage())
	return err
}

// SettingsPage returns the settings of declarations as tables in Markdown.
func SettingsPage() string {
	var page strings.Builder
	kinds := make([]configurator.Kind, 0, len(configurator.Schemas))
	for kind := range configurator.Schemas {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	for _, kind := range kinds {
		schema := configurator.Schemas[kind]
		fmt.Fprintf(&page, "### `[%s]`\n\n%s\n\n", schema.PathPattern, schema.Doc)
		page.WriteString("| Setting | Allowed | Unit | Default | Meaning |\n| --- | --- | --- | --- | --- |\n")
		for _, setting := range schema.Settings {
			defaultText := cmp.Or(setting.Default, "none")
			if setting.Required {
				defaultText = "none, must be set"
			}
			fmt.Fprintf(&page, "| `%s` | %s | %s | %s | %s |\n",
				setting.Name, setting.Allowed(), cmp.Or(setting.Unit, "-"), defaultText, setting.Doc)
		}
		page.WriteString("\n")
	}
	return page.String()
}
