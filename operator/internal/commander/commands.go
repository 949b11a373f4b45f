package commander

import (
	"fmt"

	"github.com/jessevdk/go-flags"
)

// commandSpec describes a command, or a group of subcommands.
type commandSpec struct {
	name, short, example string
	command              flags.Commander
	subcommands          []commandSpec
}

// commands lists the commands in the order of the help page.
func (commander *Commander) commands() []commandSpec {
	return []commandSpec{
		{"check", "check declarations without touching the fleet", "operator check --settings settings",
			&checkCommand{commander: commander}, nil},
		{"diff", "show what apply would change", "operator diff --team kundsetu",
			&diffCommand{commander: commander}, nil},
		{"apply", "record the declarations and wait until they are in force",
			"operator apply --team kundsetu --comment \"twice the rate for Anand\"",
			&applyCommand{commander: commander}, nil},
		{"show", "print the recorded entries below a path", "operator show /kundsetu/services/bookings",
			&showCommand{commander: commander}, nil},
		{"history", "list the recorded changes, newest first", "operator history --team kundsetu --limit 5",
			&historyCommand{commander: commander}, nil},
		{"rollback", "record a team's entries of an older revision as a new one",
			"operator rollback --team kundsetu --to 12", &rollbackCommand{commander: commander}, nil},
		{"key", "give and withdraw keys", "operator key give --help", nil, []commandSpec{
			{"give", "give an organisation a new key; its secret is shown once",
				"operator key give --organisation /kundsetu/organisations/anand-crews --name second",
				&giveCommand{commander: commander}, nil},
			{"withdraw", "withdraw a key for good",
				"operator key withdraw /kundsetu/organisations/anand-crews/keys/first",
				&withdrawCommand{commander: commander}, nil},
		}},
		{"vms", "list the VMs, their revision and what they can know", "operator vms --certificate op.pem --key op.key --authority ca.pem",
			&vmsCommand{commander: commander}, nil},
		{"upstreams", "list the targets out of use, why, and by whose evidence",
			"operator upstreams --certificate op.pem --key op.key --authority ca.pem", &upstreamsCommand{commander: commander}, nil},
		{"explain", "show where a request would go now, and why, without sending it; for VMs of the program gateway",
			"operator explain --vm 10.1.0.24:7101 --host crews.example --path /bookings/17 --organisation anand",
			&explainCommand{commander: commander}, nil},
		{"report", "report on the fleet", "operator report burn --help", nil, []commandSpec{
			{"burn", "report how fast services burn their error budgets",
				"operator report burn --html burn.html", &burnCommand{commander: commander}, nil},
			{"bill", "report what paid traffic between regions is expected to cost next month",
				"operator report bill --team kundsetu", &billCommand{commander: commander}, nil},
		}},
		{"describe", "print the settings of declarations as tables in Markdown", "operator describe",
			&describeCommand{commander: commander}, nil},
	}
}

func (commander *Commander) addCommands(parser *flags.Parser) error {
	if _, err := parser.AddGroup("Options of every command", "", &commander.options); err != nil {
		return fmt.Errorf("add options: %w", err)
	}
	return addSpecs(parser.Command, commander.commands())
}

// addSpecs adds commands and their subcommands to a parent command.
func addSpecs(parent *flags.Command, specs []commandSpec) error {
	for _, spec := range specs {
		var options any = &struct{}{}
		if spec.command != nil {
			options = spec.command
		}
		command, err := parent.AddCommand(spec.name, spec.short, "Example:\n\n  "+spec.example, options)
		if err != nil {
			return fmt.Errorf("add command %q: %w", spec.name, err)
		}
		if err := addSpecs(command, spec.subcommands); err != nil {
			return err
		}
	}
	return nil
}
