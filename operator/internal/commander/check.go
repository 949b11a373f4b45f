package commander

import "fmt"

// checkCommand checks declarations offline.
type checkCommand struct {
	commander *Commander
}

// checkOutput is the output of check.
type checkOutput struct {
	Entries int      `json:"entries"`
	Teams   []string `json:"teams"`
}

// Execute reads the declarations and reports every mistake.
func (command *checkCommand) Execute([]string) error {
	tree, err := command.commander.readDeclarations()
	if err != nil {
		return err
	}
	result := checkOutput{Entries: len(tree.Entries), Teams: tree.Teams()}
	text := fmt.Sprintf("good: entries %d, teams %d\n", result.Entries, len(result.Teams))
	return command.commander.print(result, text)
}
