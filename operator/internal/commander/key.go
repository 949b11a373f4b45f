package commander

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/withdrawer"
	"godwitramp.example/operator/internal/applier"
	"godwitramp.example/shell/recorder"
)

// newSecret returns an unguessable key.
func newSecret() string { return rand.Text() }

// giveCommand issues a key to an organisation.
type giveCommand struct {
	commander    *Commander
	Organisation string `long:"organisation" required:"yes" description:"path of the organisation"`
	Name         string `long:"name" required:"yes" description:"name of the key, unique in the organisation"`
	waitOption
}

// giveOutput is the output of key give.
type giveOutput struct {
	Path     configurator.Path `json:"path"`
	Secret   string            `json:"secret"`
	Revision uint64            `json:"revision"`
	// Recorded is false if the answer of the platform was lost, so that the key
	// may or may not be recorded.
	Recorded bool   `json:"recorded"`
	Section  string `json:"section"`
}

// Execute records the hash of a new key and prints the key. It prints the key
// also if the outcome is uncertain, because the key may then be valid.
func (command *giveCommand) Execute([]string) error {
	commander := command.commander
	path := configurator.Path(command.Organisation + "/keys/" + command.Name)
	if configurator.KindOf(path) != configurator.KindKey {
		const allowed = "--organisation /<team>/organisations/<name> and a --name of lower-case letters, digits and hyphens"
		return &usageError{Message: fmt.Sprintf("%q is not the path of a key; allowed: %s", path, allowed)}
	}
	teamApplier, err := commander.applier("key given")
	if err != nil {
		return err
	}
	secret := commander.Secret()
	sum := sha256.Sum256([]byte(secret))
	hash := hex.EncodeToString(sum[:])
	result, err := teamApplier.Change(commander.ctx, path.Team(), addKey(path, hash))
	var uncertain *recorder.UncertainError
	if err != nil && !errors.As(err, &uncertain) {
		return err
	}
	output := giveOutput{
		Path: path, Secret: secret, Revision: result.Revision, Recorded: err == nil,
		Section: fmt.Sprintf("[%s]\nsha-256 = %s\n", path, hash),
	}
	if printErr := commander.print(output, output.text()); printErr != nil || err != nil {
		return errors.Join(err, printErr)
	}
	_, err = commander.wait(result.Revision, command.Wait)
	return err
}

func (giveOutput giveOutput) text() string {
	state := fmt.Sprintf("recorded as revision %d", giveOutput.Revision)
	if !giveOutput.Recorded {
		state = "may or may not be recorded"
	}
	return fmt.Sprintf("%s: %s\nsecret, shown only now: %s\n\nTo keep the key in version control, add:\n\n%s",
		giveOutput.Path, state, giveOutput.Secret, giveOutput.Section)
}

// addKey returns the edit that adds a key with the hash.
func addKey(path configurator.Path, hash string) applier.Edit {
	entry := configurator.Entry{Path: path, Fields: []configurator.Field{
		{Name: "sha-256", Value: hash}, {Name: "source", Value: "command"},
	}}
	return func(recorded []configurator.Entry) ([]configurator.Entry, []configurator.Path, error) {
		if _, ok := findEntry(recorded, path.Parent()); !ok {
			return nil, nil, &usageError{Message: fmt.Sprintf("organisation %s does not exist", path.Parent())}
		}
		if _, ok := findEntry(recorded, path); ok {
			return nil, nil, &usageError{Message: fmt.Sprintf("%s exists already; allowed: another --name", path)}
		}
		return []configurator.Entry{entry}, nil, nil
	}
}

func findEntry(entries []configurator.Entry, path configurator.Path) (configurator.Entry, bool) {
	for _, entry := range entries {
		if entry.Path == path {
			return entry, true
		}
	}
	return configurator.Entry{}, false
}

// withdrawCommand withdraws a key.
type withdrawCommand struct {
	commander *Commander
	Args      struct {
		Path string `positional-arg-name:"PATH" description:"path of the key"`
	} `positional-args:"yes" required:"yes"`
	waitOption
}

// Execute deletes the key and records its withdrawal.
func (command *withdrawCommand) Execute([]string) error {
	commander := command.commander
	path := configurator.Path(command.Args.Path)
	if configurator.KindOf(path) != configurator.KindKey {
		return &usageError{Message: fmt.Sprintf("%q is not the path of a key; allowed: /<team>/organisations/<organisation>/keys/<name>", path)}
	}
	teamApplier, err := commander.applier("key withdrawn")
	if err != nil {
		return err
	}
	result, err := teamApplier.Change(commander.ctx, path.Team(), withdrawKey(path))
	if err != nil {
		return err
	}
	return commander.printAndWait([]teamChange{newTeamChange(result)}, command.Wait)
}

// withdrawKey returns the edit that deletes a key, also one issued by command,
// and adds its withdrawal.
func withdrawKey(path configurator.Path) applier.Edit {
	return func(recorded []configurator.Entry) ([]configurator.Entry, []configurator.Path, error) {
		key, ok := findEntry(recorded, path)
		if !ok {
			return nil, nil, &usageError{Message: fmt.Sprintf("%s does not exist; see operator show %s", path, path.Parent())}
		}
		return []configurator.Entry{withdrawer.Withdrawal(key)}, []configurator.Path{path}, nil
	}
}
