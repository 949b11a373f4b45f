// Package loader reads and validates the settings of the entry program.
//
// # Usage
//
//	settings, problems := loader.Load("vm-01.ini", data, []string{"vm.name=vm-02"})
package loader

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/shell/loader"
)

// Settings are the settings of a VM.
type Settings struct {
	// Name is the name of the VM, unique in the fleet.
	Name       string
	Region     string
	DataCentre string

	// Callers, Peers and Operators are the addresses that the VM listens on for
	// callers, other VMs and operators.
	Callers   string
	Peers     string
	Operators string

	// Seeds are addresses of other VMs to call while the platform's list of VMs is
	// unavailable.
	Seeds []string

	// Platform is the address of the platform.
	Platform string
	// BesideStore is true if the VM is in the region of the table service.
	BesideStore bool

	Authority   string
	Certificate string
	Key         string

	// StopGrace is how long a leaving VM still accepts requests. The balancer must have
	// stopped sending new ones by then.
	StopGrace time.Duration
	// StopLimit limits the duration of a planned stop.
	StopLimit time.Duration
}

const (
	allowedName     = "a name of lower-case letters, digits and hyphens"
	allowedAddress  = "an IP address and a port, such as 127.0.0.1:8080"
	allowedFile     = "the path of a file in PEM form"
	allowedDuration = "a duration from 0s to 10m, such as 5s"
)

const maxDuration = 10 * time.Minute

// All lists the settings in the order of their documentation.
var All = loader.List[Settings]{
	{Section: "vm", Name: "name", Required: true, Allowed: allowedName,
		Doc: "Name of the VM, unique in the fleet.",
		Set: func(s *Settings, v string) error { return setName(&s.Name, v) }},
	{Section: "vm", Name: "region", Required: true, Allowed: allowedName,
		Doc: "Region that the VM stands in.",
		Set: func(s *Settings, v string) error { return setName(&s.Region, v) }},
	{Section: "vm", Name: "data-centre", Required: true, Allowed: allowedName,
		Doc: "Data centre that the VM stands in.",
		Set: func(s *Settings, v string) error { return setName(&s.DataCentre, v) }},
	{Section: "listen", Name: "callers", Required: true, Allowed: allowedAddress,
		Doc: "Address for the balancer and its callers.",
		Set: func(s *Settings, v string) error { return setAddress(&s.Callers, v) }},
	{Section: "listen", Name: "peers", Required: true, Allowed: allowedAddress,
		Doc: "Address for the other VMs of the fleet.",
		Set: func(s *Settings, v string) error { return setAddress(&s.Peers, v) }},
	{Section: "listen", Name: "operators", Required: true, Allowed: allowedAddress,
		Doc: "Address for health checks and metrics.",
		Set: func(s *Settings, v string) error { return setAddress(&s.Operators, v) }},
	{Section: "peers", Name: "seeds", Allowed: "addresses separated by commas",
		Doc: "Addresses of other VMs, for a start while the platform's list of VMs is away.",
		Set: func(s *Settings, v string) error { return setAddresses(&s.Seeds, v) }},
	{Section: "platform", Name: "address", Required: true, Allowed: "a URL such as http://127.0.0.1:6000",
		Doc: "Address of the platform.",
		Set: func(s *Settings, v string) error { return setURL(&s.Platform, v) }},
	{Section: "platform", Name: "beside-store", Default: "no", Allowed: "yes, no",
		Doc: "Whether the VM stands in the region of the table service. At least two data centres must have such VMs: their silence together tells an outage from isolation.",
		Set: func(s *Settings, v string) error { return setBool(&s.BesideStore, v) }},
	{Section: "tls", Name: "authority", Required: true, Allowed: allowedFile,
		Doc: "Certificate of the fleet's authority.",
		Set: func(s *Settings, v string) error { s.Authority = v; return nil }},
	{Section: "tls", Name: "certificate", Required: true, Allowed: allowedFile,
		Doc: "Certificate of the VM.",
		Set: func(s *Settings, v string) error { s.Certificate = v; return nil }},
	{Section: "tls", Name: "key", Required: true, Allowed: allowedFile,
		Doc: "Private key of the VM's certificate.",
		Set: func(s *Settings, v string) error { s.Key = v; return nil }},
	{Section: "stop", Name: "grace", Default: "5s", Allowed: allowedDuration,
		Doc: "How long a leaving VM goes on accepting requests.",
		Set: func(s *Settings, v string) error { return setDuration(&s.StopGrace, v) }},
	{Section: "stop", Name: "limit", Default: "60s", Allowed: allowedDuration,
		Doc: "Longest duration of a planned stop.",
		Set: func(s *Settings, v string) error { return setDuration(&s.StopLimit, v) }},
}

func setName(destination *string, value string) error {
	if configurator.KindOf(configurator.Path("/"+value+"/services/s")) == configurator.KindUnknown {
		return fmt.Errorf("is not a name")
	}
	*destination = value
	return nil
}

func setAddress(destination *string, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("is not an address: %w", err)
	}
	*destination = value
	return nil
}

func setAddresses(destination *[]string, value string) error {
	var addresses []string
	for part := range strings.SplitSeq(value, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(part); err != nil {
			return fmt.Errorf("contains %q, which is not an address: %w", part, err)
		}
		addresses = append(addresses, part)
	}
	*destination = addresses
	return nil
}

func setURL(destination *string, value string) error {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Host == "" {
		return fmt.Errorf("is not an address")
	}
	*destination = strings.TrimSuffix(value, "/")
	return nil
}

func setBool(destination *bool, value string) error {
	switch value {
	case "yes":
		*destination = true
	case "no":
		*destination = false
	default:
		return fmt.Errorf("is neither yes nor no")
	}
	return nil
}

func setDuration(destination *time.Duration, value string) error {
	duration, err := time.ParseDuration(value)
	if err != nil || duration < 0 || duration > maxDuration {
		return fmt.Errorf("is not a duration in the allowed range")
	}
	*destination = duration
	return nil
}

// Load parses the settings from the contents of a file and from overrides of the form
// section.name=value, which take precedence over the file. It returns all problems; file
// is the name of the file in their texts.
func Load(file string, data []byte, overrides []string) (Settings, []error) {
	return All.Load(file, data, overrides)
}

// Page returns the documentation of the settings as a Markdown table.
func Page() string { return All.Markdown() }
