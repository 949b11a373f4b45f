// Package explainer describes where a request would go now, and why, for operators. A VM fills an Explanation in
// with the functions of the decision itself; the command line prints it.
//
// # Usage
//
//	query := explainer.Query{Host: "a.example", Path: "/read/1", Method: "GET", Organisation: "crews"}
//	if err := query.Check(); err != nil {
//		// Refuse.
//	}
//	fmt.Print(explanation.Text())
package explainer

import (
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Path is that of a VM's operators' address which answers a Query in its parameters host, path, method and
// organisation with an Explanation in JSON.
const Path = "/explain"

// Query describes a request. It has no key: an organisation is named.
type Query struct {
	Host         string `json:"host"`
	Path         string `json:"path"`
	Method       string `json:"method"`
	Organisation string `json:"organisation,omitempty"`
}

// The reasons of a Rejection if the organisation of a query isn't in the configuration. They are no answers to a
// request.
const (
	OrganisationUnknown = "organisation-unknown"
	// OrganisationIsKey: the query has a key of an organisation instead of its name.
	OrganisationIsKey = "organisation-is-key"
)

const (
	// minKeyLength is the length of the shortest value that LooksLikeKey recognises, and minRandomWord that of the
	// shortest word in it that no name has. Names such as b2b-customers must not be refused.
	minKeyLength  = 16
	minRandomWord = 4
)

// LooksLikeKey reports whether a value that should be the name of an organisation has the form of a generated key.
func LooksLikeKey(value string) bool {
	return len(value) >= minKeyLength && slices.ContainsFunc(wordsOf(value), func(word string) bool { return len(word) >= minRandomWord && !isPlain(word) })
}

// LooksLikeName reports whether a value consists of plain words, so that it may be printed.
func LooksLikeName(value string) bool {
	return !LooksLikeKey(value) && !slices.ContainsFunc(wordsOf(value), func(word string) bool { return len(word) >= minRandomWord && !isPlain(word) })
}

func wordsOf(value string) []string {
	return strings.FieldsFunc(value, func(char rune) bool { return strings.ContainsRune("-_./ ", char) })
}

// isPlain reports whether a word consists of letters and up to four digits after them, and has no upper-case letter but
// the first.
func isPlain(word string) bool {
	letters := strings.TrimRight(word, "0123456789")
	_, size := utf8.DecodeRuneInString(letters)
	return len(word)-len(letters) <= 4 && !strings.ContainsFunc(letters, func(char rune) bool { return !unicode.IsLetter(char) }) &&
		!strings.ContainsFunc(letters[size:], unicode.IsUpper)
}

// methods are those that a Query may have.
var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// Check returns what is wrong with the query, or nil.
func (query Query) Check() error {
	switch {
	case query.Host == "":
		return fmt.Errorf("host is missing; allowed: the host of the request, such as a.example")
	case !strings.HasPrefix(query.Path, "/") || strings.ContainsAny(query.Path, "?#"):
		return fmt.Errorf("path is %q; allowed: a path that begins with a slash, without query", query.Path)
	case !slices.Contains(methods, query.Method):
		return fmt.Errorf("method is %q; allowed: %s", query.Method, strings.Join(methods, ", "))
	}
	return nil
}

// Explanation is what a VM would do with a request now. Durations are in milliseconds.
type Explanation struct {
	Query
	VM         string `json:"vm"`
	DataCentre string `json:"data-centre"`
	// Configuration is the version in force, and Age the time since it was last known to be the newest.
	Configuration uint64 `json:"configuration"`
	Age           int64  `json:"age-ms"`
	Route         string `json:"route,omitempty"`
	Service       string `json:"service,omitempty"`
	Idempotent    bool   `json:"idempotent"`
	// HomeRegions are those that the request may be served in; none means all.
	HomeRegions []string  `json:"home-regions,omitempty"`
	Priority    *Priority `json:"priority,omitempty"`
	Rate        *Rate     `json:"rate,omitempty"`
	// Candidates are all targets of the service.
	Candidates []Candidate `json:"candidates,omitempty"`
	// Target is that of the first attempt, empty if there is none. PassedOn is true if the request would be passed on to
	// another VM, as this one can't reach the targets.
	Target   string `json:"target,omitempty"`
	PassedOn bool   `json:"passed-on,omitempty"`
	// Retry is what happens after a failure of the first attempt, and Hedge what happens while it takes long. Nil means
	// that there is none.
	Retry *Attempt `json:"retry,omitempty"`
	Hedge *Attempt `json:"hedge,omitempty"`
	// Rejection is set if the VM would reject the request.
	Rejection *Rejection `json:"rejection,omitempty"`
}

// Priority is the rank of a request. 0 is the most urgent.
type Priority struct {
	Route int `json:"route"`
	// Organisation is nil if the organisation has none.
	Organisation *int `json:"organisation,omitempty"`
}

// Rate is what is left of an organisation's rate on this VM.
type Rate struct {
	Organisation string  `json:"organisation"`
	PerSecond    float64 `json:"per-second"`
	// Tokens are those that this VM may spend now, which it shares with its group.
	Tokens float64 `json:"tokens"`
	// Wait is how long the request would wait for a token.
	Wait int64 `json:"wait-ms"`
}

// Candidate is a target of the service.
type Candidate struct {
	Target     string `json:"target"`
	DataCentre string `json:"data-centre"`
	Region     string `json:"region"`
	// Usable is true if the first attempt may go to it.
	Usable bool `json:"usable"`
	// Cost decides between usable targets, up to a small random part: the lowest is picked.
	Cost      float64  `json:"cost"`
	Suspicion float64  `json:"suspicion"`
	InFlight  int      `json:"in-flight"`
	Slots     int      `json:"slots"`
	Reasons   []Reason `json:"reasons,omitempty"`
}

// Reason is something that counts for or against a target.
type Reason struct {
	Name string `json:"name"`
	// Age is the time since it happened, and Remaining how long it lasts. One of them may be unknown, and is 0.
	Age       int64 `json:"age-ms,omitempty"`
	Remaining int64 `json:"remaining-ms,omitempty"`
}

// Attempt is a retry or a hedge.
type Attempt struct {
	// Delay is the time after which a hedge is sent.
	Delay int64 `json:"delay-ms,omitempty"`
	// Target is empty if none is sent, and Denied says why.
	Target string `json:"target,omitempty"`
	Denied string `json:"denied,omitempty"`
}

// Rejection is the answer of the VM.
type Rejection struct {
	Status     int    `json:"status"`
	Reason     string `json:"reason"`
	RetryAfter int64  `json:"retry-after-ms,omitempty"`
}

// Milliseconds returns a duration in the unit of an Explanation.
func Milliseconds(duration time.Duration) int64 { return duration.Milliseconds() }

// Text returns the explanation as lines of text.
func (explanation *Explanation) Text() string {
	var text strings.Builder
	line := func(format string, values ...any) { fmt.Fprintf(&text, format+"\n", values...) }
	line("%s %s%s at %s in %s, configuration %d, known to be the newest %d ms ago", explanation.Method, explanation.Host, explanation.Path,
		explanation.VM, explanation.DataCentre, explanation.Configuration, explanation.Age)
	if explanation.Route != "" {
		line("route %s, service %s, idempotent=%t", explanation.Route, explanation.Service, explanation.Idempotent)
	}
	if explanation.HomeRegions != nil {
		line("home regions %s", strings.Join(explanation.HomeRegions, ", "))
	}
	if priority := explanation.Priority; priority != nil {
		if priority.Organisation != nil {
			line("priority %d of the organisation, %d of the route", *priority.Organisation, priority.Route)
		} else {
			line("priority %d of the route", priority.Route)
		}
	}
	if rate := explanation.Rate; rate != nil {
		line("rate of %s: %g a second, %.1f tokens left here, wait %d ms", rate.Organisation, rate.PerSecond, rate.Tokens, rate.Wait)
	}
	for _, candidate := range explanation.Candidates {
		line("  %s  %s/%s  usable=%t  cost=%.3f  suspicion=%.3f  in-flight=%d/%d%s", candidate.Target, candidate.Region, candidate.DataCentre,
			candidate.Usable, candidate.Cost, candidate.Suspicion, candidate.InFlight, candidate.Slots, reasonsText(candidate.Reasons))
	}
	switch {
	case explanation.Rejection != nil:
		rejection := explanation.Rejection
		line("rejected: %d %s, retry after %d ms", rejection.Status, rejection.Reason, rejection.RetryAfter)
	case explanation.PassedOn:
		line("passed on to another VM, as this one can't reach the targets")
	default:
		line("first attempt: %s", explanation.Target)
		line("retry: %s", explanation.Retry.text())
		line("hedge: %s", explanation.Hedge.text())
	}
	return text.String()
}

func reasonsText(reasons []Reason) string {
	text := ""
	for _, reason := range reasons {
		text += "  " + reason.Name
		if reason.Age > 0 {
			text += fmt.Sprintf(" %d ms ago", reason.Age)
		}
		if reason.Remaining > 0 {
			text += fmt.Sprintf(" for %d ms", reason.Remaining)
		}
	}
	return text
}

func (attempt *Attempt) text() string {
	if attempt == nil {
		return "none"
	}
	text := attempt.Target
	if attempt.Denied != "" {
		text = "none: " + attempt.Denied
	}
	if attempt.Delay > 0 {
		text = fmt.Sprintf("after %d ms, %s", attempt.Delay, text)
	}
	return text
}
