package logger

import (
	"fmt"
	"maps"
	"regexp"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// maxValueBytes bounds a value on a line.
const maxValueBytes = 1024

// removed stands for a value that must not be written.
const removed = "(removed)"

// secretFields are fields whose values are never written.
var secretFields = map[string]bool{
	"api-key": true, "authorization": true, "body": true, "cookie": true, "key": true, "secret": true, "x-api-key": true,
}

// secretText finds keys in texts, such as a URL in an error.
var secretText = regexp.MustCompile(`(?i)(api-key["']?\s*[=:]\s*|bearer\s+)[^\s&"']+`)

// cleaner is a formatter that keeps secrets and long values out of the log.
type cleaner struct {
	next logrus.Formatter
}

// Format returns the line of an event without what must not be in it.
func (cleaner *cleaner) Format(entry *logrus.Entry) ([]byte, error) {
	clean := *entry
	copied := false
	for name, value := range entry.Data {
		cleaned, changed := cleanValue(name, value)
		if !changed {
			continue
		}
		if !copied {
			clean.Data, copied = maps.Clone(entry.Data), true
		}
		clean.Data[name] = cleaned
	}
	clean.Message = cleanText(entry.Message)
	return cleaner.next.Format(&clean)
}

// cleanValue returns what is written in place of a value, and whether that is
// something else.
func cleanValue(name string, value any) (any, bool) {
	if secretFields[strings.ToLower(name)] {
		return removed, true
	}
	switch value := value.(type) {
	case string:
		cleaned := cleanText(value)
		return cleaned, cleaned != value
	case error:
		return cleanText(value.Error()), true
	case time.Duration:
		return value, false
	case fmt.Stringer:
		return cleanText(value.String()), true
	default:
		return value, false
	}
}

// secretMarks are characters of which every match of secretText has one.
const secretMarks = "=: \t\n\v\f\r"

func cleanText(text string) string {
	if strings.ContainsAny(text, secretMarks) {
		text = secretText.ReplaceAllString(text, "${1}"+removed)
	}
	if len(text) > maxValueBytes {
		text = strings.ToValidUTF8(text[:maxValueBytes], "") + "..."
	}
	return text
}
