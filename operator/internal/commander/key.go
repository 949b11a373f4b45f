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

// newSecret returns a key that can't be guessed.
func newSecret() string { return rand.Text() }

// giveCommand gives a key.
type giveCommand struct {
	commander    *Commander
	Organisation string `long:"organisation" required:"yes" description:"path of the organisation"`
	Name         string `long:"name" required:"yes" description:"name of the key, unique in the organisation"`
	waitOption
}

// given is the output of key give.
type given struct {
	Path     configurator.Path `json:"path"`
	Secret   string            `json:"secret"`
	Revision uint64            `json:"revision"`
	// Recorded is false if the answer was lost, so that the key may or may not
	// be recorded.
	Recorded bool   `json:"recorded"`
	Section  string `json:"section"`
}

// Execute records the hash of a new key and shows the key.
func (command *giveCommand) Execute([]string) error {
	commander := command.commander
	path := configurator.Path(command.Organisation + "/keys/" + command.Name)
	if configurator.KindOf(path) != configurator.KindKey {
		const allowed = "--organisation /<team>/organisations/<name> and a --name of lower-case letters, digits and hyphens"
		return &usageError{Message: fmt.Sprintf("%q is not the path of a key; allowed: %s", path, allowed)}
	}
	applying, err := commander.applier("key given")
	if err != nil {
		return err
	}
	secret := commander.Secret()
	sum := sha256.Sum256([]byte(secret))
	hash := hex.EncodeToString(sum[:])
	result, err := applying.Change(commander.ctx, path.Team(), give(path, hash))
	var uncertain *recorder.UncertainError
	if err != nil && !errors.As(err, &uncertain) {
		return err
	}
	output := given{
		Path: path, Secret: secret, Revision: result.Revision, Recorded: err == nil,
		Section: fmt.Sprintf("[%s]\nsha-256 = %s\n", path, hash),
	}
	if printed := commander.print(output, output.text()); printed != nil || err != nil {
		return errors.Join(err, printed)
	}
	_, err = commander.wait(result.Revision, command.Wait)
	return err
}

func (given given) text() string {
	state := fmt.Sprintf("recorded as revision %d", given.Revision)
	if !given.Recorded {
		state = "may or may not be recorded"
	}
	return fmt.Sprintf("%s: %s\nsecret, shown only now: %s\n\nTo keep the key in version control, add:\n\n%s",
		given.Path, state, given.Secret, given.Section)
}

func give(path configurator.Path, hash string) applier.Edit {
	entry := configurator.Entry{Path: path, Fields: []configurator.Field{
		{Name: "sha-256", Value: hash}, {Name: "source", Value: "command"},
	}}
	return func(recorded []configurator.Entry) ([]configurator.Entry, []configurator.Path, error) {
		if _, ok := find(recorded, path.Parent()); !ok {
			return nil, nil, &usageError{Message: fmt.Sprintf("organisation %s does not exist", path.Parent())}
		}
		if _, ok := find(recorded, path); ok {
			return nil, nil, &usageError{Message: fmt.Sprintf("%s exists already; allowed: another --name", path)}
		}
		return []configurator.Entry{entry}, nil, nil
	}
}

func find(entries []configurator.Entry, path configurator.Path) (configurator.Entry, bool) {
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
	applying, err := commander.applier("key withdrawn")
	if err != nil {
		return err
	}
	result, err := applying.Change(commander.ctx, path.Team(), withdraw(path))
	if err != nil {
		return err
	}
	return commander.finish([]changed{changedBy(result)}, command.Wait)
}

// withdraw deletes a key whoever owns it.
func withdraw(path configurator.Path) applier.Edit {
	return func(recorded []configurator.Entry) ([]configurator.Entry, []configurator.Path, error) {
		key, ok := find(recorded, path)
		if !ok {
			return nil, nil, &usageError{Message: fmt.Sprintf("%s does not exist; see operator show %s", path, path.Parent())}
		}
		return []configurator.Entry{withdrawer.Withdrawal(key)}, []configurator.Path{path}, nil
	}
}
