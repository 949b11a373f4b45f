package configurator

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Problem is one mistake in an entry.
type Problem struct {
	Path Path
	// Field is empty when the mistake concerns the whole entry.
	Field   string
	Value   string
	Message string
	// Allowed describes the values that the field accepts.
	Allowed string
}

// Error returns the problem as a single line.
func (problem *Problem) Error() string {
	var line strings.Builder
	fmt.Fprintf(&line, "%s", problem.Path)
	if problem.Field != "" {
		fmt.Fprintf(&line, ": %s", problem.Field)
	}
	if problem.Value != "" {
		fmt.Fprintf(&line, " = %q", problem.Value)
	}
	fmt.Fprintf(&line, ": %s", problem.Message)
	if problem.Allowed != "" {
		fmt.Fprintf(&line, "; allowed: %s", problem.Allowed)
	}
	return line.String()
}

// Decode decodes the entry and adds it to the items. It returns all problems of
// the entry and adds nothing if there are any.
func (items *Items) Decode(entry Entry) []*Problem {
	kind := KindOf(entry.Path)
	if kind == KindUnknown {
		return []*Problem{{Path: entry.Path, Message: "the path declares nothing that is known", Allowed: allowedPathPatterns()}}
	}
	decoder := decoder{entry: entry, schema: Schemas[kind]}
	decoder.rejectUnknownFields()
	add := items.decodeKind(kind, &decoder)
	if len(decoder.problems) == 0 {
		add()
	}
	return decoder.problems
}

func (items *Items) decodeKind(kind Kind, decoder *decoder) (add func()) {
	path := decoder.entry.Path
	switch kind {
	case KindOrganisation:
		organisation := Organisation{
			Path: path, Rate: decoder.number("rate"), Burst: decoder.number("burst"),
			WhenCutOff: CutOffPolicy(decoder.choice("when-cut-off")),
		}
		return func() { items.Organisations = append(items.Organisations, organisation) }
	case KindKey:
		key := Key{
			Path: path, Organisation: path.Parent(), Hash: decoder.hash("sha-256"),
			Source: KeySource(decoder.choice("source")),
		}
		return func() { items.Keys = append(items.Keys, key) }
	case KindWithdrawal:
		withdrawal := Withdrawal{Path: path, Hash: decoder.hash("sha-256")}
		return func() { items.Withdrawals = append(items.Withdrawals, withdrawal) }
	case KindService:
		service := Service{
			Path: path, Floor: decoder.number("floor") / percent, Timeout: decoder.duration("timeout"),
			Objective:        decoder.number("objective") / percent,
			ObjectiveLatency: decoder.duration("objective-latency"),
		}
		return func() { items.Services = append(items.Services, service) }
	case KindTarget:
		target := Target{
			Path: path, Service: path.Parent(), Address: decoder.address("address"),
			Region: decoder.text("region"), DataCentre: decoder.text("data-centre"),
			Slots: int(decoder.number("slots")), Leaving: decoder.choice("state") == 1,
		}
		return func() { items.Targets = append(items.Targets, target) }
	case KindRoute:
		route := Route{
			Path: path, Prefix: decoder.prefix("prefix"), Service: decoder.reference("service"),
			Open: decoder.choice("open") == 1, Organisations: decoder.organisations("organisations"),
			Retry: RetryPolicy(decoder.choice("retry")), Timeout: decoder.duration("timeout"),
		}
		return func() { items.Routes = append(items.Routes, route) }
	default:
		budget := Budget{
			Path: path, From: decoder.text("from"), To: decoder.text("to"),
			Rate: decoder.bytes("rate"), Burst: decoder.bytes("burst"), Price: decoder.number("price"),
		}
		return func() { items.Budgets = append(items.Budgets, budget) }
	}
}

const percent = 100

func allowedPathPatterns() string {
	var patterns []string
	for _, schema := range Schemas {
		patterns = append(patterns, schema.PathPattern)
	}
	slices.Sort(patterns)
	return strings.Join(patterns, ", ")
}

// decoder decodes the fields of one entry and collects its problems.
type decoder struct {
	entry    Entry
	schema   Schema
	problems []*Problem
}

func (decoder *decoder) reject(setting Setting, value, message string) {
	decoder.problems = append(decoder.problems, &Problem{
		Path: decoder.entry.Path, Field: setting.Name, Value: value, Message: message, Allowed: setting.Allowed(),
	})
}

func (decoder *decoder) rejectUnknownFields() {
	for i, field := range decoder.entry.Fields {
		if i > 0 && decoder.entry.Fields[i-1].Name == field.Name {
			decoder.problems = append(decoder.problems, &Problem{
				Path: decoder.entry.Path, Field: field.Name, Value: field.Value, Message: "stands twice",
			})
		}
		if _, ok := decoder.schema.Setting(field.Name); ok {
			continue
		}
		var names []string
		for _, setting := range decoder.schema.Settings {
			names = append(names, setting.Name)
		}
		decoder.problems = append(decoder.problems, &Problem{
			Path: decoder.entry.Path, Field: field.Name, Value: field.Value,
			Message: fmt.Sprintf("unknown setting of %s; the nearest known name is %q", withArticle(decoder.schema.Name), Nearest(field.Name, names)),
			Allowed: strings.Join(names, ", "),
		})
	}
}

func withArticle(noun string) string {
	if strings.ContainsRune("aeiou", rune(noun[0])) {
		return "an " + noun
	}
	return "a " + noun
}

// value returns the text of a field, or its default. It reports false if there is
// neither.
func (decoder *decoder) value(name string) (Setting, string, bool) {
	setting, _ := decoder.schema.Setting(name)
	value, ok := decoder.entry.Value(name)
	if ok {
		return setting, value, true
	}
	if setting.Required {
		decoder.reject(setting, "", "is missing")
	}
	return setting, setting.Default, setting.Default != ""
}

func (decoder *decoder) number(name string) float64 {
	setting, value, ok := decoder.value(name)
	if !ok {
		return 0
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || !(number >= setting.Min && number <= setting.Max) {
		decoder.reject(setting, value, "is not a number in the allowed range")
		return 0
	}
	return number
}

func (decoder *decoder) duration(name string) time.Duration {
	setting, value, ok := decoder.value(name)
	if !ok {
		return 0
	}
	duration, err := time.ParseDuration(value)
	if err != nil || duration.Seconds() < setting.Min || duration.Seconds() > setting.Max {
		decoder.reject(setting, value, "is not a duration in the allowed range")
		return 0
	}
	return duration
}

// sizeUnit is a unit of size in bytes. In sizeUnits, longer names come first, so
// that "B" doesn't match before "GB".
type sizeUnit struct {
	name  string
	bytes float64
}

var sizeUnits = []sizeUnit{{"GB", 1e9}, {"MB", 1e6}, {"KB", 1e3}, {"B", 1}, {"", 1}}

func (decoder *decoder) bytes(name string) float64 {
	setting, value, ok := decoder.value(name)
	if !ok {
		return 0
	}
	for _, unit := range sizeUnits {
		digits, found := strings.CutSuffix(value, unit.name)
		if !found {
			continue
		}
		number, err := strconv.ParseFloat(digits, 64)
		number *= unit.bytes
		if err != nil || !(number >= setting.Min && number <= setting.Max) {
			break
		}
		return number
	}
	decoder.reject(setting, value, "is not a size in the allowed range")
	return 0
}

func (decoder *decoder) text(name string) string {
	setting, value, ok := decoder.value(name)
	if ok && !validName(value) {
		decoder.reject(setting, value, "is not a name")
	}
	return value
}

func (decoder *decoder) choice(name string) int {
	setting, value, _ := decoder.value(name)
	index := slices.Index(setting.Choices, value)
	if index < 0 {
		decoder.reject(setting, value, "is not one of the choices")
	}
	return index
}

func (decoder *decoder) address(name string) netip.AddrPort {
	setting, value, ok := decoder.value(name)
	if !ok {
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		decoder.reject(setting, value, "is not an address")
	}
	return address
}

func (decoder *decoder) hash(name string) KeyHash {
	setting, value, ok := decoder.value(name)
	if !ok {
		return KeyHash{}
	}
	raw, err := hex.DecodeString(value)
	if err != nil || len(raw) != len(KeyHash{}) {
		decoder.reject(setting, "", "is not a hash")
		return KeyHash{}
	}
	return KeyHash(raw)
}

func (decoder *decoder) prefix(name string) string {
	setting, value, ok := decoder.value(name)
	if ok && !validPrefix(value) {
		decoder.reject(setting, value, "is not a path prefix")
	}
	return value
}

func validPrefix(prefix string) bool {
	if prefix == "/" {
		return true
	}
	rest, ok := strings.CutPrefix(prefix, "/")
	if !ok || strings.ContainsAny(prefix, "?#%\\ ") {
		return false
	}
	for part := range strings.SplitSeq(rest, "/") {
		if part == "" || part == "." || part == ".." {
			return false
		}
	}
	return true
}

func (decoder *decoder) reference(name string) Path {
	setting, value, ok := decoder.value(name)
	if ok && !validName(value) {
		decoder.reject(setting, value, "is not a name")
	}
	return Path("/" + decoder.entry.Path.Team() + "/services/" + value)
}

func (decoder *decoder) organisations(name string) []Path {
	setting, value, _ := decoder.value(name)
	if value == "*" {
		return nil
	}
	var paths []Path
	for part := range strings.SplitSeq(value, ",") {
		part = strings.TrimSpace(part)
		if !validName(part) {
			decoder.reject(setting, value, fmt.Sprintf("contains %q, which is not a name", part))
			return nil
		}
		paths = append(paths, Path("/"+decoder.entry.Path.Team()+"/organisations/"+part))
	}
	return paths
}
