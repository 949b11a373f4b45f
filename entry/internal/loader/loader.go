// Package loader reads and checks the settings of the entry program.
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
)

// Settings is what a VM has to know at its start.
type Settings struct {
	// Name is the name of the VM, unique in the fleet.
	Name       string
	Region     string
	DataCentre string

	// Callers, Peers and Operators are the addresses that the VM listens on.
	Callers   string
	Peers     string
	Operators string

	// Seeds are peers' addresses to call while the platform's list of VMs is
	// away.
	Seeds []string

	// Platform is the address of the platform.
	Platform string
	// BesideStore is true on VMs in the region of the table service.
	BesideStore bool

	Authority   string
	Certificate string
	Key         string

	// StopGrace is how long a leaving VM goes on accepting requests, until the
	// balancer has certainly moved on.
	StopGrace time.Duration
	// StopLimit bounds a planned stop.
	StopLimit time.Duration
}

// Setting describes one setting of the program.
type Setting struct {
	Section, Name string
	Default       string
	Required      bool
	Allowed       string
	Doc           string
	set           func(*Settings, string) error
}

const (
	allowedName    = "a name of lower-case letters, digits and hyphens"
	allowedAddress = "an IP address and a port, such as 127.0.0.1:8080"
	allowedFile    = "the path of a file in PEM form"
	allowedTime    = "a duration from 0s to 10m, such as 5s"
)

const longestDuration = 10 * time.Minute

// All lists the settings in the order of the documentation.
var All = []Setting{
	{"vm", "name", "", true, allowedName, "Name of the VM, unique in the fleet.",
		func(s *Settings, v string) error { return setName(&s.Name, v) }},
	{"vm", "region", "", true, allowedName, "Region that the VM stands in.",
		func(s *Settings, v string) error { return setName(&s.Region, v) }},
	{"vm", "data-centre", "", true, allowedName, "Data centre that the VM stands in.",
		func(s *Settings, v string) error { return setName(&s.DataCentre, v) }},
	{"listen", "callers", "", true, allowedAddress, "Address for the balancer and its callers.",
		func(s *Settings, v string) error { return setAddress(&s.Callers, v) }},
	{"listen", "peers", "", true, allowedAddress, "Address for the other VMs of the fleet.",
		func(s *Settings, v string) error { return setAddress(&s.Peers, v) }},
	{"listen", "operators", "", true, allowedAddress, "Address for health checks and metrics.",
		func(s *Settings, v string) error { return setAddress(&s.Operators, v) }},
	{"peers", "seeds", "", false, "addresses separated by commas",
		"Addresses of other VMs, for a start while the platform's list of VMs is away.",
		func(s *Settings, v string) error { return setAddresses(&s.Seeds, v) }},
	{"platform", "address", "", true, "a URL such as http://127.0.0.1:6000", "Address of the platform.",
		func(s *Settings, v string) error { return setURL(&s.Platform, v) }},
	{"platform", "beside-store", "no", false, "yes, no", "Whether the VM stands in the region of the table service. At least two data centres must have such VMs: their silence together tells an outage from isolation.",
		func(s *Settings, v string) error { return setBool(&s.BesideStore, v) }},
	{"tls", "authority", "", true, allowedFile, "Certificate of the fleet's authority.",
		func(s *Settings, v string) error { s.Authority = v; return nil }},
	{"tls", "certificate", "", true, allowedFile, "Certificate of the VM.",
		func(s *Settings, v string) error { s.Certificate = v; return nil }},
	{"tls", "key", "", true, allowedFile, "Private key of the VM's certificate.",
		func(s *Settings, v string) error { s.Key = v; return nil }},
	{"stop", "grace", "5s", false, allowedTime, "How long a leaving VM goes on accepting requests.",
		func(s *Settings, v string) error { return setDuration(&s.StopGrace, v) }},
	{"stop", "limit", "60s", false, allowedTime, "Longest duration of a planned stop.",
		func(s *Settings, v string) error { return setDuration(&s.StopLimit, v) }},
}

func setName(target *string, value string) error {
	if configurator.KindOf(configurator.Path("/"+value+"/services/s")) == configurator.KindUnknown {
		return fmt.Errorf("is not a name")
	}
	*target = value
	return nil
}

func setAddress(target *string, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("is not an address: %w", err)
	}
	*target = value
	return nil
}

func setAddresses(target *[]string, value string) error {
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
	*target = addresses
	return nil
}

func setURL(target *string, value string) error {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Host == "" {
		return fmt.Errorf("is not an address")
	}
	*target = strings.TrimSuffix(value, "/")
	return nil
}

func setBool(target *bool, value string) error {
	switch value {
	case "yes":
		*target = true
	case "no":
		*target = false
	default:
		return fmt.Errorf("is neither yes nor no")
	}
	return nil
}

func setDuration(target *time.Duration, value string) error {
	duration, err := time.ParseDuration(value)
	if err != nil || duration < 0 || duration > longestDuration {
		return fmt.Errorf("is not a duration in the allowed range")
	}
	*target = duration
	return nil
}

// Page returns the settings as a table in Markdown.
func Page() string {
	var page strings.Builder
	page.WriteString("| Section | Setting | Allowed | Default | Meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, setting := range All {
		normal := setting.Default
		if setting.Required {
			normal = "none, must be set"
		}
		fmt.Fprintf(&page, "| `%s` | `%s` | %s | %s | %s |\n", setting.Section, setting.Name, setting.Allowed, normal, setting.Doc)
	}
	return page.String()
}
