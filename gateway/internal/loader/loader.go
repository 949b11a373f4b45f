// Package loader parses and validates the settings file of the gateway program.
//
// # Usage
//
//	settings, problems := loader.Load("vm.ini", data)
package loader

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"godwitramp.example/core/hedger"
	"godwitramp.example/platform"
	"godwitramp.example/shell/loader"
)

// Settings are the settings of a VM.
type Settings struct {
	// Name is the name of the VM, unique in the fleet.
	Name       string
	Region     string
	DataCentre string
	// Regions maps each data centre to its region.
	Regions map[string]string

	// FirstStart is true if the whole fleet starts for the first time.
	FirstStart bool

	// Callers, Readiness and Operators are the TCP addresses on which the VM listens for
	// callers, the balancer's readiness checks and requests for metrics.
	Callers   string
	Readiness string
	Operators string
	// Messages is the address on which the VM receives messages of its peers (UDP) and requests that
	// they pass on (TCP).
	Messages string

	// Store is the address of the platform's store.
	Store string

	// MemoryMB and Descriptors limit the process's memory and file descriptors.
	MemoryMB    int
	Descriptors int

	// Propagation is the time within which a configuration must be in force.
	// UnreachableGrace is added to it on a VM that the store does not answer. Leaving is
	// the time within which a leaving target must get no more requests.
	Propagation      time.Duration
	UnreachableGrace time.Duration
	Leaving          time.Duration
	// Withdrawal is the time within which a withdrawn key must stop working.
	Withdrawal time.Duration
	// StopGrace is the maximum duration of a planned stop.
	StopGrace time.Duration

	// RetryRatio and RetryExtra limit the further attempts of a service over the fleet in
	// RetryWindow: RetryRatio for each request, and RetryExtra beside them.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration

	// RateWindow is the window in which an organisation's requests are counted. They may
	// exceed its rate and burst by the share RateOvershoot and by RateTolerance requests.
	RateWindow    time.Duration
	RateOvershoot float64
	RateTolerance float64

	// TargetFloor is the share of a service's sound targets that must be in use, from 0 to 1.
	TargetFloor float64

	// WarmupOvershoot and WarmupTolerance are how far the requests that arrive at a cold target in a second may exceed
	// its service's warm-up rate: a factor of the rate, and a number of requests beyond that.
	WarmupOvershoot float64
	WarmupTolerance float64

	// BlockTime is how long a request that crashes targets is blocked first. Zero means never.
	BlockTime time.Duration

	// Hedges limits the hedges of services over the fleet in RetryWindow.
	Hedges hedger.Limits

	// Prioritise orders requests by the priorities of routes and organisations while targets are full.
	Prioritise bool
}

const (
	allowedText     = "a text"
	allowedAddress  = "an IP address and a port, such as 127.0.0.1:8080"
	allowedDuration = "a number and its unit, ms or s, such as 1.5s"
	allowedNumber   = "a number that is not negative"
	allowedShare    = "a number from 0 to 1; 0.7 if empty or 0"
	allowedCount    = "a whole number above 0"
	allowedBoolean  = "true or false"
	allowedHedges   = "a number from 0 to 1; no limit but that of retries if empty"
	allowedPairs    = "data centres and their regions, such as anand-a:charotar, separated by commas"

	allowedHedgeServices = "services and their shares from 0 to 1, such as search:0.05, separated by commas"
)

// All lists the settings in the order of the documentation.
var All = loader.List[Settings]{
	{Section: "vm", Name: "name", Required: true, Allowed: allowedText, Doc: "Name of the VM, unique in the fleet.",
		Set: text(func(s *Settings) *string { return &s.Name })},
	{Section: "vm", Name: "region", Required: true, Allowed: allowedText, Doc: "Region that the VM stands in.",
		Set: text(func(s *Settings) *string { return &s.Region })},
	{Section: "vm", Name: "data-centre", Required: true, Allowed: allowedText, Doc: "Data centre that the VM stands in.",
		Set: text(func(s *Settings) *string { return &s.DataCentre })},
	{Section: "vm", Name: "memory-mb", Required: true, Allowed: allowedCount, Doc: "Memory in megabytes that the process may use.",
		Set: count(func(s *Settings) *int { return &s.MemoryMB })},
	{Section: "vm", Name: "descriptors", Required: true, Allowed: allowedCount, Doc: "File descriptors that the process may use.",
		Set: count(func(s *Settings) *int { return &s.Descriptors })},
	{Section: "fleet", Name: "regions", Required: true, Allowed: allowedPairs, Doc: "All data centres of the fleet with their regions.",
		Set: setRegions},
	{Section: "fleet", Name: "first-start", Default: "false", Allowed: allowedBoolean,
		Doc: "True if the whole fleet starts for the first time: a VM then registers without looking for its row.",
		Set: boolean(func(s *Settings) *bool { return &s.FirstStart })},
	{Section: "listen", Name: "callers", Required: true, Allowed: allowedAddress, Doc: "Address for the balancer and its callers.",
		Set: address(func(s *Settings) *string { return &s.Callers })},
	{Section: "listen", Name: "readiness", Required: true, Allowed: allowedAddress, Doc: "Address for the balancer's checks.",
		Set: address(func(s *Settings) *string { return &s.Readiness })},
	{Section: "listen", Name: "operators", Required: true, Allowed: allowedAddress, Doc: "Address for metrics and health.",
		Set: address(func(s *Settings) *string { return &s.Operators })},
	{Section: "listen", Name: "messages", Required: true, Allowed: allowedAddress, Doc: "UDP and TCP address for the other VMs.",
		Set: address(func(s *Settings) *string { return &s.Messages })},
	{Section: "store", Name: "address", Required: true, Allowed: allowedAddress, Doc: "Address of the platform's store.",
		Set: address(func(s *Settings) *string { return &s.Store })},
	{Section: "changes", Name: "propagation", Default: "2s", Allowed: allowedDuration,
		Doc: "Time within which a configuration is in force on every VM.",
		Set: duration(func(s *Settings) *time.Duration { return &s.Propagation })},
	{Section: "changes", Name: "stretch", Default: "0s", Allowed: allowedDuration + "; none if empty",
		Doc: "How much longer a configuration may take on a VM that the store does not answer.",
		Set: setUnreachableGrace},
	{Section: "changes", Name: "leaving", Default: "2s", Allowed: allowedDuration,
		Doc: "Time within which a target that leaves gets nothing more.",
		Set: duration(func(s *Settings) *time.Duration { return &s.Leaving })},
	{Section: "keys", Name: "withdrawal", Default: "5s", Allowed: allowedDuration,
		Doc: "Time within which a withdrawn key stops working, also on a VM that is cut off.",
		Set: duration(func(s *Settings) *time.Duration { return &s.Withdrawal })},
	{Section: "stop", Name: "grace", Default: "6s", Allowed: allowedDuration, Doc: "Longest duration of a planned stop.",
		Set: duration(func(s *Settings) *time.Duration { return &s.StopGrace })},
	{Section: "retries", Name: "ratio", Default: "0.2", Allowed: allowedNumber,
		Doc: "Further attempts for each request of a service, over the fleet.",
		Set: number(func(s *Settings) *float64 { return &s.RetryRatio })},
	{Section: "retries", Name: "extra", Default: "60", Allowed: allowedNumber,
		Doc: "Further attempts of a service in a window beside the ratio, over the fleet.",
		Set: number(func(s *Settings) *float64 { return &s.RetryExtra })},
	{Section: "retries", Name: "window", Default: "10s", Allowed: allowedDuration, Doc: "Window of the retry budget.",
		Set: duration(func(s *Settings) *time.Duration { return &s.RetryWindow })},
	{Section: "rates", Name: "window", Default: "5s", Allowed: allowedDuration, Doc: "Window in which an organisation's requests are counted.",
		Set: duration(func(s *Settings) *time.Duration { return &s.RateWindow })},
	{Section: "rates", Name: "overshoot", Default: "0.1", Allowed: allowedNumber,
		Doc: "Part by which the requests in a window may exceed rate and burst.",
		Set: number(func(s *Settings) *float64 { return &s.RateOvershoot })},
	{Section: "rates", Name: "tolerance", Default: "20", Allowed: allowedNumber,
		Doc: "Requests in a window beyond the overshoot, over the fleet.",
		Set: number(func(s *Settings) *float64 { return &s.RateTolerance })},
	{Section: "targets", Name: "floor", Default: "0.7", Allowed: allowedShare,
		Doc: "Share of a service's sound targets that must be in use.",
		Set: setTargetFloor},
	{Section: "targets", Name: "block", Default: "120s", Allowed: allowedDuration + "; 0s never blocks",
		Doc: "How long a request that has crashed three targets is blocked first.",
		Set: setBlockTime},
	{Section: "hedges", Name: "share", Default: "", Allowed: allowedHedges,
		Doc: "Hedges for each request of a service, over the fleet, in any window of the retry budget. 0 sends none.",
		Set: setHedgeShare},
	{Section: "hedges", Name: "services", Default: "", Allowed: allowedHedgeServices,
		Doc: "Services that have another share than the rest.",
		Set: setHedgeServices},
	{Section: "overload", Name: "prioritise", Default: "false", Allowed: allowedBoolean,
		Doc: "True if less urgent requests wait or are refused while the targets of a service are full.",
		Set: boolean(func(s *Settings) *bool { return &s.Prioritise })},
	{Section: "warmup", Name: "overshoot", Default: "1.5", Allowed: allowedNumber + "; 1.5 if empty",
		Doc: "Factor by which the requests at a cold target in a second may exceed its service's warm-up rate.",
		Set: numberOr(defaultWarmupOvershoot, func(s *Settings) *float64 { return &s.WarmupOvershoot })},
	{Section: "warmup", Name: "tolerance", Default: "8", Allowed: allowedNumber + "; 8 if empty",
		Doc: "Requests at a cold target in a second beyond the overshoot, from all VMs.",
		Set: numberOr(defaultWarmupTolerance, func(s *Settings) *float64 { return &s.WarmupTolerance })},
}

// Load parses the text of a settings file. It returns all problems found, not just the
// first. The file's name is only used in their texts.
func Load(file string, data []byte) (Settings, []error) {
	settings, problems := All.Load(file, data, nil)
	if len(problems) == 0 && settings.Regions[settings.DataCentre] != settings.Region {
		problems = append(problems, fmt.Errorf("%s: [fleet] regions: lacks the data centre %q in region %q; allowed: %s",
			file, settings.DataCentre, settings.Region, allowedPairs))
	}
	return settings, problems
}

// setter parses the text of a setting and stores its value.
type setter = func(*Settings, string) error

// defaultTargetFloor applies if the platform states none.
const defaultTargetFloor = 0.7

func setTargetFloor(settings *Settings, value string) error {
	settings.TargetFloor = defaultTargetFloor
	if value == "" {
		return nil
	}
	share, err := parseShare(value)
	if err != nil {
		return err
	}
	settings.TargetFloor = share
	return nil
}

func setHedgeShare(settings *Settings, value string) error {
	if value == "" {
		return nil
	}
	share, err := parseShare(value)
	if err != nil {
		return err
	}
	settings.Hedges.Share, settings.Hedges.Limited = share, true
	return nil
}

func setHedgeServices(settings *Settings, value string) error {
	services := make(map[string]float64)
	for pair := range strings.SplitSeq(value, ",") {
		pair = strings.TrimSpace(pair)
		if pair == "" {
			continue
		}
		service, text, ok := strings.Cut(pair, ":")
		service, text = strings.TrimSpace(service), strings.TrimSpace(text)
		if !ok || service == "" {
			return fmt.Errorf("contains %q, which is not a pair", pair)
		}
		if _, ok := services[service]; ok {
			return fmt.Errorf("contains %q twice", service)
		}
		share, err := parseShare(text)
		if err != nil {
			return fmt.Errorf("share of %q %w", service, err)
		}
		services[service] = share
	}
	if len(services) > 0 {
		settings.Hedges.Services = services
	}
	return nil
}

func parseShare(value string) (float64, error) {
	share, err := strconv.ParseFloat(value, 64)
	if err != nil || !(share >= 0 && share <= 1) {
		return 0, fmt.Errorf("is not a number from 0 to 1")
	}
	return share, nil
}

// The bounds of the warm-up that apply if the platform states none.
const (
	defaultWarmupOvershoot = 1.5
	defaultWarmupTolerance = 8
)

// numberOr accepts an empty value as a default, because not every platform provides one.
func numberOr(ifEmpty float64, field func(*Settings) *float64) setter {
	return func(settings *Settings, value string) error {
		if value == "" {
			*field(settings) = ifEmpty
			return nil
		}
		return number(field)(settings, value)
	}
}

func setBlockTime(settings *Settings, value string) error {
	block, err := platform.ParseDuration(value)
	if err != nil {
		return fmt.Errorf("is not a duration")
	}
	settings.BlockTime = block
	return nil
}

func text(field func(*Settings) *string) setter {
	return func(settings *Settings, value string) error {
		*field(settings) = value
		return nil
	}
}

func address(field func(*Settings) *string) setter {
	return func(settings *Settings, value string) error {
		if _, err := netip.ParseAddrPort(value); err != nil {
			return fmt.Errorf("is not an address: %w", err)
		}
		*field(settings) = value
		return nil
	}
}

func count(field func(*Settings) *int) setter {
	return func(settings *Settings, value string) error {
		number, err := strconv.Atoi(value)
		if err != nil || number < 1 {
			return fmt.Errorf("is not a whole number above 0")
		}
		*field(settings) = number
		return nil
	}
}

func boolean(field func(*Settings) *bool) setter {
	return func(settings *Settings, value string) error {
		switch value {
		case "true", "false":
			*field(settings) = value == "true"
			return nil
		default:
			return fmt.Errorf("is neither true nor false")
		}
	}
}

func number(field func(*Settings) *float64) setter {
	return func(settings *Settings, value string) error {
		number, err := strconv.ParseFloat(value, 64)
		if err != nil || !(number >= 0) {
			return fmt.Errorf("is not a number of 0 or more")
		}
		*field(settings) = number
		return nil
	}
}

func duration(field func(*Settings) *time.Duration) setter {
	return func(settings *Settings, value string) error {
		duration, err := platform.ParseDuration(value)
		if err != nil || duration <= 0 {
			return fmt.Errorf("is not a duration above 0")
		}
		*field(settings) = duration
		return nil
	}
}

// setUnreachableGrace accepts an empty value as 0, because not every platform provides
// one.
func setUnreachableGrace(settings *Settings, value string) error {
	if value == "" {
		settings.UnreachableGrace = 0
		return nil
	}
	grace, err := platform.ParseDuration(value)
	if err != nil {
		return fmt.Errorf("is not a duration")
	}
	settings.UnreachableGrace = grace
	return nil
}

func setRegions(settings *Settings, value string) error {
	regions := make(map[string]string)
	for pair := range strings.SplitSeq(value, ",") {
		pair = strings.TrimSpace(pair)
		if pair == "" {
			continue
		}
		dataCentre, region, ok := strings.Cut(pair, ":")
		if !ok || dataCentre == "" || region == "" {
			return fmt.Errorf("contains %q, which is not a pair", pair)
		}
		regions[dataCentre] = region
	}
	if len(regions) == 0 {
		return fmt.Errorf("names no data centre")
	}
	settings.Regions = regions
	return nil
}
