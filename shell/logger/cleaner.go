package logger

import (
	"fmt"
	"regexp"
	"strings"

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
	clean.Data = make(logrus.Fields, len(entry.Data))
	for name, value := range entry.Data {
		clean.Data[name] = cleanValue(name, value)
	}
	clean.Message = cleanText(entry.Message)
	return cleaner.next.Format(&clean)
}

func cleanValue(name string, value any) any {
	if secretFields[strings.ToLower(name)] {
		return removed
	}
	switch value := value.(type) {
	case string:
		return cleanText(value)
	case error:
		return cleanText(value.Error())
	case fmt.Stringer:
		return cleanText(value.String())
	default:
		return value
	}
}

func cleanText(text string) string {
	text = secretText.ReplaceAllString(text, "${1}"+removed)
	if len(text) > maxValueBytes {
		text = strings.ToValidUTF8(text[:maxValueBytes], "") + "..."
	}
	return text
}
