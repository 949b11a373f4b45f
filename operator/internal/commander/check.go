package commander

import "fmt"

// checkCommand checks declarations offline.
type checkCommand struct {
	commander *Commander
}

// checked is the output of check.
type checked struct {
	Entries int      `json:"entries"`
	Teams   []string `json:"teams"`
}

// Execute reads the declarations and reports every mistake.
func (command *checkCommand) Execute([]string) error {
	tree, err := command.commander.read()
	if err != nil {
		return err
	}
	result := checked{Entries: len(tree.Entries), Teams: tree.Teams()}
	text := fmt.Sprintf("good: entries %d, teams %d\n", result.Entries, len(result.Teams))
	return command.commander.print(result, text)
}
