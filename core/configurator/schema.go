package configurator

import (
	"fmt"
	"strings"
)

// Kind is the kind of item that an entry declares.
type Kind int

// The kinds of entries.
const (
	KindUnknown Kind = iota
	KindOrganisation
	KindKey
	KindService
	KindTarget
	KindRoute
	KindBudget
	KindWithdrawal
)

// String returns the name of the kind as used in messages.
func (kind Kind) String() string {
	if schema, ok := Schemas[kind]; ok {
		return schema.Name
	}
	return "unknown"
}

// Type is the type of a setting's value.
type Type int

// The types of settings.
const (
	TypeText Type = iota
	TypeNumber
	TypeDuration
	TypeBytes
	TypeAddress
	TypeChoice
	TypeNames
	TypeHash
	TypeReference
	TypePrefix
)

// Setting describes one field of a kind of entry.
type Setting struct {
	Name     string
	Type     Type
	Unit     string
	Required bool
	Default  string
	// Min and Max limit a number, a size in bytes, or a duration in seconds.
	Min, Max float64
	Choices  []string
	Doc      string
}

// Allowed describes the values that the setting accepts.
func (setting Setting) Allowed() string {
	switch setting.Type {
	case TypeNumber:
		return strings.TrimSpace(fmt.Sprintf("a number from %g to %g %s", setting.Min, setting.Max, setting.Unit))
	case TypeDuration:
		return fmt.Sprintf("a duration such as 250ms or 3s, from %gs to %gs", setting.Min, setting.Max)
	case TypeBytes:
		return fmt.Sprintf("a size such as 512KB, 20MB or 3GB, from %g to %g bytes", setting.Min, setting.Max)
	case TypeAddress:
		return "an IP address and a port, such as 127.0.0.1:8080"
	case TypeChoice:
		return "one of " + strings.Join(setting.Choices, ", ")
	case TypeNames:
		return "names separated by commas, or * for all"
	case TypeHash:
		return "64 hexadecimal digits, the SHA-256 of the key"
	case TypeReference:
		return "the name of a service of the same team"
	case TypePrefix:
		return "a path that begins with a slash and has no empty, . or .. part"
	default:
		return "a name of lower-case letters, digits and hyphens"
	}
}

// Schema describes one kind of entry.
type Schema struct {
	Name string
	// PathPattern is the pattern of the entries' paths, with placeholders in
	// angle brackets.
	PathPattern string
	Settings    []Setting
	Doc         string
}

// Setting returns the setting with the given name.
func (schema Schema) Setting(name string) (Setting, bool) {
	for _, setting := range schema.Settings {
		if setting.Name == name {
			return setting, true
		}
	}
	return Setting{}, false
}

// Limits of settings.
const (
	maxRate           = 10_000_000
	maxSlots          = 100_000
	maxTimeoutSeconds = 600
	maxBytes          = 1 << 50
)

// Schemas lists every kind of entry with its settings.
var Schemas = map[Kind]Schema{
	KindOrganisation: {
		Name: "organisation", PathPattern: "/<team>/organisations/<name>",
		Doc: "A customer, whose rate and burst count over the whole fleet.",
		Settings: []Setting{
			{Name: "rate", Type: TypeNumber, Unit: "requests a second", Required: true, Min: 0.01, Max: maxRate,
				Doc: "Requests a second that the organisation may send over the whole fleet."},
			{Name: "burst", Type: TypeNumber, Unit: "requests", Required: true, Min: 1, Max: maxRate,
				Doc: "Requests that the organisation may send at once after a pause."},
			{Name: "when-cut-off", Type: TypeChoice, Default: "refuse", Choices: []string{"refuse", "serve"},
				Doc: "What a VM does with the organisation's keys while it can't know of withdrawals."},
		},
	},
	KindKey: {
		Name: "key", PathPattern: "/<team>/organisations/<organisation>/keys/<name>",
		Doc: "A key of an organisation, kept as a hash.",
		Settings: []Setting{
			{Name: "sha-256", Type: TypeHash, Required: true, Doc: "The SHA-256 of the key, in hexadecimal."},
			{Name: "source", Type: TypeChoice, Default: "declarations", Choices: []string{"declarations", "command"},
				Doc: "Who owns the key: apply withdraws a key that is no longer declared, but not one given by command."},
		},
	},
	KindWithdrawal: {
		Name: "withdrawal", PathPattern: "/<team>/withdrawals/<name>",
		Doc: "A withdrawn key. It is recorded when a key is withdrawn and never deleted; no key of the team with its hash is valid again.",
		Settings: []Setting{
			{Name: "sha-256", Type: TypeHash, Required: true, Doc: "The SHA-256 of the withdrawn key, in hexadecimal."},
		},
	},
	KindService: {
		Name: "service", PathPattern: "/<team>/services/<name>",
		Doc: "A set of targets that can serve the same requests.",
		Settings: []Setting{
			{Name: "floor", Type: TypeNumber, Unit: "per cent", Default: "50", Min: 0, Max: 100,
				Doc: "Share of the targets of each region that ejection must leave in use."},
			{Name: "timeout", Type: TypeDuration, Default: "10s", Min: 0.01, Max: maxTimeoutSeconds,
				Doc: "Longest time from the arrival of a request to the end of its answer."},
			{Name: "objective", Type: TypeNumber, Unit: "per cent", Default: "99.9", Min: 1, Max: 99.999,
				Doc: "Share of requests to be answered well; the burn report is held against it."},
			{Name: "objective-latency", Type: TypeDuration, Default: "1s", Min: 0.001, Max: maxTimeoutSeconds,
				Doc: "A slower answer counts against the objective."},
		},
	},
	KindTarget: {
		Name: "target", PathPattern: "/<team>/services/<service>/targets/<name>",
		Doc: "One upstream address of a service.",
		Settings: []Setting{
			{Name: "address", Type: TypeAddress, Required: true, Doc: "Where the target listens."},
			{Name: "region", Type: TypeText, Required: true, Doc: "The region that the target stands in."},
			{Name: "data-centre", Type: TypeText, Required: true, Doc: "The data centre that the target stands in."},
			{Name: "slots", Type: TypeNumber, Unit: "requests", Default: "4", Min: 1, Max: maxSlots,
				Doc: "Requests that the target works on at a time."},
			{Name: "state", Type: TypeChoice, Default: "serving", Choices: []string{"serving", "leaving"},
				Doc: "A leaving target gets no new requests."},
		},
	},
	KindRoute: {
		Name: "route", PathPattern: "/<team>/routes/<name>",
		Doc: "The requests that go to a service.",
		Settings: []Setting{
			{Name: "prefix", Type: TypePrefix, Required: true,
				Doc: "Requests whose path is the prefix or lies below it belong to the route; the longest prefix wins."},
			{Name: "service", Type: TypeReference, Required: true, Doc: "The service that answers."},
			{Name: "open", Type: TypeChoice, Default: "no", Choices: []string{"no", "yes"},
				Doc: "An open route needs no key."},
			{Name: "organisations", Type: TypeNames, Default: "*",
				Doc: "The team's organisations that may use the route."},
			{Name: "retry", Type: TypeChoice, Default: "idempotent-methods",
				Choices: []string{"idempotent-methods", "never", "always"},
				Doc:     "Which requests may be sent to another target after a failure: those whose method is idempotent by RFC 9110, none, or all."},
			{Name: "timeout", Type: TypeDuration, Default: "", Min: 0.01, Max: maxTimeoutSeconds,
				Doc: "Overrides the timeout of the service."},
		},
	},
	KindBudget: {
		Name: "budget", PathPattern: "/<team>/budgets/<name>",
		Doc: "Paid traffic that the team may send from one region to another.",
		Settings: []Setting{
			{Name: "from", Type: TypeText, Required: true, Doc: "The region that sends."},
			{Name: "to", Type: TypeText, Required: true, Doc: "The region that receives."},
			{Name: "rate", Type: TypeBytes, Unit: "bytes a second", Required: true, Min: 1, Max: maxBytes,
				Doc: "Bytes a second over the whole fleet."},
			{Name: "burst", Type: TypeBytes, Unit: "bytes", Required: true, Min: 1, Max: maxBytes,
				Doc: "Bytes that may be sent at once after a pause."},
			{Name: "price", Type: TypeNumber, Unit: "per GB", Default: "0", Min: 0, Max: 1_000_000,
				Doc: "Price of a gigabyte, for the bill."},
		},
	},
}

// pathPattern is the PathPattern of a kind, split into its parts.
type pathPattern struct {
	kind  Kind
	parts []string
}

var pathPatterns = splitPathPatterns()

func splitPathPatterns() []pathPattern {
	var patterns []pathPattern
	for kind, schema := range Schemas {
		patterns = append(patterns, pathPattern{kind: kind, parts: strings.Split(strings.TrimPrefix(schema.PathPattern, "/"), "/")})
	}
	return patterns
}

// KindOf returns the kind of the entry at the path, or KindUnknown if no pattern
// matches.
func KindOf(path Path) Kind {
	rest, ok := strings.CutPrefix(string(path), "/")
	if !ok {
		return KindUnknown
	}
	parts := strings.Split(rest, "/")
	for _, part := range parts {
		if !validName(part) {
			return KindUnknown
		}
	}
	for _, pattern := range pathPatterns {
		if pattern.matches(parts) {
			return pattern.kind
		}
	}
	return KindUnknown
}

func (pathPattern pathPattern) matches(parts []string) bool {
	if len(pathPattern.parts) != len(parts) {
		return false
	}
	for i, part := range pathPattern.parts {
		if !strings.HasPrefix(part, "<") && part != parts[i] {
			return false
		}
	}
	return true
}

const maxNameLength = 63

func validName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for _, r := range name {
		if r != '-' && (r < 'a' || r > 'z') && (r < '0' || r > '9') {
			return false
		}
	}
	return true
}
