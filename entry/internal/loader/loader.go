// Package loader reads and checks the settings of the entry program.
//
// # Usage
//
//	settings, problems := loader.Load("vm-01.ini", data)
package loader

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

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

	// Platform is the address of the platform.
	Platform string
	// BesideStore is true on VMs in the data centre of the table service.
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

// Problem is one mistake in the settings.
type Problem struct {
	File    string
	Line    int
	Section string
	Name    string
	Value   string
	Message string
	Allowed string
}

// Error returns the problem as one line.
func (problem *Problem) Error() string {
	place := problem.File
	if problem.Line > 0 {
		place = fmt.Sprintf("%s:%d", problem.File, problem.Line)
	}
	line := fmt.Sprintf("%s: [%s] %s", place, problem.Section, problem.Name)
	if problem.Value != "" {
		line += fmt.Sprintf(" = %q", problem.Value)
	}
	line += ": " + problem.Message
	if problem.Allowed != "" {
		line += "; allowed: " + problem.Allowed
	}
	return line
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
	{"platform", "address", "", true, "a URL such as http://127.0.0.1:6000", "Address of the platform.",
		func(s *Settings, v string) error { return setURL(&s.Platform, v) }},
	{"platform", "beside-store", "no", false, "yes, no", "Whether the VM stands in the data centre of the table service.",
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

// Load reads the settings from the text of a file and returns every mistake.
func Load(file string, data []byte) (Settings, []*Problem) {
	var settings Settings
	loaded, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "=", IgnoreContinuation: true}, data)
	if err != nil {
		return settings, []*Problem{{File: file, Message: err.Error()}}
	}
	lines := locate(string(data))
	problems := unknownSettings(file, loaded, lines)
	for _, setting := range All {
		value := loaded.Section(setting.Section).Key(setting.Name).String()
		if value == "" {
			value = setting.Default
		}
		problem := setting.apply(&settings, value)
		if problem != nil {
			problem.File = file
			problem.Line = lines[place{setting.Section, setting.Name}]
			problems = append(problems, problem)
		}
	}
	return settings, problems
}

func (setting Setting) apply(settings *Settings, value string) *Problem {
	problem := &Problem{Section: setting.Section, Name: setting.Name, Value: value, Allowed: setting.Allowed}
	if value == "" && setting.Required {
		problem.Message = "is missing"
		return problem
	}
	if err := setting.set(settings, value); err != nil {
		problem.Message = err.Error()
		return problem
	}
	return nil
}

// place names a setting.
type place struct{ section, name string }

func locate(text string) map[place]int {
	lines := make(map[place]int)
	section, number := "", 0
	for line := range strings.Lines(text) {
		number++
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			section = strings.Trim(line, "[] \t")
			continue
		}
		if name, _, found := strings.Cut(line, "="); found {
			lines[place{section, strings.TrimSpace(name)}] = number
		}
	}
	return lines
}

func unknownSettings(file string, loaded *ini.File, lines map[place]int) []*Problem {
	var problems []*Problem
	var names []string
	known := make(map[place]bool)
	for _, setting := range All {
		known[place{setting.Section, setting.Name}] = true
		names = append(names, setting.Section+"."+setting.Name)
	}
	for _, section := range loaded.Sections() {
		for _, key := range section.Keys() {
			if known[place{section.Name(), key.Name()}] {
				continue
			}
			nearest := configurator.Nearest(section.Name()+"."+key.Name(), names)
			problems = append(problems, &Problem{
				File: file, Line: lines[place{section.Name(), key.Name()}], Section: section.Name(), Name: key.Name(),
				Value: key.String(), Message: "unknown setting; the nearest known name is " + strconv.Quote(nearest),
			})
		}
	}
	return problems
}
