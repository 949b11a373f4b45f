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

// vmsPerRegion is the number of VMs in each region whose status is requested to
// find the region's ejections.
const vmsPerRegion = 3

// errNoAnswer is returned if no VM answered.
var errNoAnswer = errors.New("no VM answered; whether targets are out of use is not known")

// regionalEjection is an ejection in effect in a region.
type regionalEjection struct {
	Region string `json:"region"`
	describer.Ejection
}

// upstreamsOutput is the output of upstreams.
type upstreamsOutput struct {
	Ejections []regionalEjection `json:"ejections"`
	// Unknown has the regions in which no VM answered.
	Unknown []string `json:"unknown"`
}

// timing formats how long the target has been ejected and the time that remains.
// Since is zero if the start of the ejection is unknown.
func (ejection regionalEjection) timing(now time.Time) string {
	remaining := fmt.Sprintf("for %s more", ejection.Until.Sub(now).Round(time.Second))
	if ejection.Since.IsZero() {
		return "out " + remaining
	}
	return fmt.Sprintf("out for %s, %s", now.Sub(ejection.Since).Round(time.Second), remaining)
}

// upstreamsCommand lists the ejected targets.
type upstreamsCommand struct {
	commander *Commander
	vmOptions
}

// Execute prints the ejected targets that a few VMs of each region report.
func (command *upstreamsCommand) Execute([]string) error {
	commander := command.commander
	vms, client, closeClient, err := commander.vmsAndClient(command.vmOptions)
	if err != nil {
		return err
	}
	defer closeClient()
	answers := commander.requestStatuses(client, firstVMsOfEachRegion(vms))
	if !slices.ContainsFunc(answers, func(answer answer) bool { return answer.Err == nil }) {
		return errNoAnswer
	}
	result := summarize(answers)
	return commander.print(result, result.text(commander.Now()))
}

// firstVMsOfEachRegion returns the first vmsPerRegion VMs of each region.
func firstVMsOfEachRegion(vms []connector.VM) []connector.VM {
	counts := make(map[string]int)
	var selected []connector.VM
	for _, vm := range vms {
		if counts[vm.Region]++; counts[vm.Region] <= vmsPerRegion {
			selected = append(selected, vm)
		}
	}
	return selected
}

// summarize merges the ejections that the VMs of each region report. If several
// VMs of a region report the same target, the first answer is used.
func summarize(answers []answer) upstreamsOutput {
	result := upstreamsOutput{Ejections: []regionalEjection{}, Unknown: []string{}}
	regionAnswered := make(map[string]bool)
	added := make(map[string]bool)
	for _, answer := range answers {
		region := cmp.Or(answer.Status.Region, answer.VM.Region, answer.VM.Name)
		if answer.Err != nil {
			regionAnswered[region] = regionAnswered[region] || false
			continue
		}
		regionAnswered[region] = true
		for _, ejection := range answer.Status.Ejections {
			if name := region + " " + ejection.Target; !added[name] {
				added[name] = true
				result.Ejections = append(result.Ejections, regionalEjection{Region: region, Ejection: ejection})
			}
		}
	}
	for region, answered := range regionAnswered {
		if !answered {
			result.Unknown = append(result.Unknown, region)
		}
	}
	slices.Sort(result.Unknown)
	slices.SortFunc(result.Ejections, func(a, b regionalEjection) int {
		return strings.Compare(a.Region+" "+a.Target, b.Region+" "+b.Target)
	})
	return result
}

func (upstreamsOutput upstreamsOutput) text(now time.Time) string {
	var text strings.Builder
	for _, ejection := range upstreamsOutput.Ejections {
		fmt.Fprintf(&text, "%s  %s  %s  reason=%s  by=%s\n",
			ejection.Region, ejection.Target, ejection.timing(now), ejection.Reason, ejection.By)
		for _, evidence := range ejection.Evidence {
			fmt.Fprintf(&text, "    %s saw good=%d failures=%d slow=%d\n",
				evidence.VM, evidence.Good, evidence.Failures, evidence.Slow)
		}
	}
	if len(upstreamsOutput.Ejections) == 0 {
		text.WriteString("no target is known to be kept out of use\n")
	}
	for _, region := range upstreamsOutput.Unknown {
		fmt.Fprintf(&text, "%s: not known, no VM answered\n", region)
	}
	return text.String()
}
