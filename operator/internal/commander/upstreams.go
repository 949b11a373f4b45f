package commander

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"godwitramp.example/shell/connector"
	"godwitramp.example/shell/describer"
)

// perRegion is how many VMs of each region are asked for its ejections.
const perRegion = 3

// errNoAnswer says that no VM could be asked.
var errNoAnswer = errors.New("no VM answered; whether targets are out of use is not known")

// regional is an ejection as a region's VMs obey it.
type regional struct {
	Region string `json:"region"`
	describer.Ejection
}

// ejections is the output of upstreams.
type ejections struct {
	Ejections []regional `json:"ejections"`
	// Unknown has the regions of which no VM answered.
	Unknown []string `json:"unknown"`
}

// span says how long the target has been out and stays out.
func (ejection regional) span(now time.Time) string {
	more := fmt.Sprintf("for %s more", ejection.Until.Sub(now).Round(time.Second))
	if ejection.Since.IsZero() {
		return "out " + more
	}
	return fmt.Sprintf("out for %s, %s", now.Sub(ejection.Since).Round(time.Second), more)
}

// upstreamsCommand lists the targets that are kept out of use.
type upstreamsCommand struct {
	commander *Commander
	reachOptions
}

// Execute asks a few VMs of each region which targets they keep out of use.
func (command *upstreamsCommand) Execute([]string) error {
	commander := command.commander
	vms, asker, end, err := commander.reach(command.reachOptions)
	if err != nil {
		return err
	}
	defer end()
	answers := commander.ask(asker, sample(vms))
	if !slices.ContainsFunc(answers, func(answer answer) bool { return answer.Err == nil }) {
		return errNoAnswer
	}
	result := summarize(answers)
	return commander.print(result, result.text(commander.Now()))
}

// sample returns the first few VMs of each region.
func sample(vms []connector.VM) []connector.VM {
	taken := make(map[string]int)
	var some []connector.VM
	for _, vm := range vms {
		if taken[vm.Region]++; taken[vm.Region] <= perRegion {
			some = append(some, vm)
		}
	}
	return some
}

// summarize joins what the VMs of each region say.
func summarize(answers []answer) ejections {
	result := ejections{Ejections: []regional{}, Unknown: []string{}}
	heard := make(map[string]bool)
	seen := make(map[string]bool)
	for _, answer := range answers {
		region := cmp.Or(answer.Status.Region, answer.VM.Region, answer.VM.Name)
		if answer.Err != nil {
			heard[region] = heard[region] || false
			continue
		}
		heard[region] = true
		for _, ejection := range answer.Status.Ejections {
			if name := region + " " + ejection.Target; !seen[name] {
				seen[name] = true
				result.Ejections = append(result.Ejections, regional{Region: region, Ejection: ejection})
			}
		}
	}
	for region, answered := range heard {
		if !answered {
			result.Unknown = append(result.Unknown, region)
		}
	}
	slices.Sort(result.Unknown)
	slices.SortFunc(result.Ejections, func(a, b regional) int {
		return strings.Compare(a.Region+" "+a.Target, b.Region+" "+b.Target)
	})
	return result
}

func (ejections ejections) text(now time.Time) string {
	var text strings.Builder
	for _, ejection := range ejections.Ejections {
		fmt.Fprintf(&text, "%s  %s  %s  reason=%s  by=%s\n",
			ejection.Region, ejection.Target, ejection.span(now), ejection.Reason, ejection.By)
		for _, evidence := range ejection.Evidence {
			fmt.Fprintf(&text, "    %s saw good=%d failures=%d slow=%d\n",
				evidence.VM, evidence.Good, evidence.Failures, evidence.Slow)
		}
	}
	if len(ejections.Ejections) == 0 {
		text.WriteString("no target is known to be kept out of use\n")
	}
	for _, region := range ejections.Unknown {
		fmt.Fprintf(&text, "%s: not known, no VM answered\n", region)
	}
	return text.String()
}
