package logger

import (
	"fmt"
	"maps"
	"regexp"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// maxValueBytes is the size at which values are truncated.
const maxValueBytes = 1024

// removedText replaces secrets.
const removedText = "(removed)"

// secretFields are fields whose values are never written.
var secretFields = map[string]bool{
	"api-key": true, "authorization": true, "body": true, "cookie": true, "key": true, "secret": true, "x-api-key": true,
}

// secretPattern matches keys in texts, such as a URL in an error.
var secretPattern = regexp.MustCompile(`(?i)(api-key["']?\s*[=:]\s*|bearer\s+)[^\s&"']+`)

// sanitizer is a formatter that removes secrets and truncates long values.
type sanitizer struct {
	next logrus.Formatter
}

// Format formats a sanitized copy of the event.
func (sanitizer *sanitizer) Format(entry *logrus.Entry) ([]byte, error) {
	sanitized := *entry
	copied := false
	for name, value := range entry.Data {
		replacement, changed := sanitizeValue(name, value)
		if !changed {
			continue
		}
		if !copied {
			sanitized.Data, copied = maps.Clone(entry.Data), true
		}
		sanitized.Data[name] = replacement
	}
	sanitized.Message = sanitizeText(entry.Message)
	return sanitizer.next.Format(&sanitized)
}

// sanitizeValue returns the value to be written, and whether it differs from
// the given one.
func sanitizeValue(name string, value any) (any, bool) {
	if secretFields[strings.ToLower(name)] {
		return removedText, true
	}
	switch value := value.(type) {
	case string:
		sanitized := sanitizeText(value)
		return sanitized, sanitized != value
	case error:
		return sanitizeText(value.Error()), true
	case time.Duration:
		return value, false
	case fmt.Stringer:
		return sanitizeText(value.String()), true
	default:
		return value, false
	}
}

// Every match of secretPattern contains at least one of secretChars. Looking
// for them first avoids the regular expression for most texts.
const secretChars = "=: \t\n\v\f\r"

func sanitizeText(text string) string {
	if strings.ContainsAny(text, secretChars) {
		text = secretPattern.ReplaceAllString(text, "${1}"+removedText)
	}
	if len(text) > maxValueBytes {
		text = strings.ToValidUTF8(text[:maxValueBytes], "") + "..."
	}
	return text
}
