// Package redactor finds the key that came with a request and removes it from
// what upstreams see.
//
// A key may come in the X-Api-Key field, as a bearer token in Authorization,
// or in the query parameter api-key. All three places are always emptied. What
// else holds the accepted key, in whatever percent-encoding, goes too: a field
// or a parameter is dropped whole. Bodies are not searched. Trailers are never
// passed on.
//
// # Usage
//
//	key, err := redactor.Key(request)
//	header := request.Header.Clone()
//	redactor.Header(header, key)
//	query := redactor.Query(request.URL.RawQuery, key)
package redactor

import (
	"errors"
	"net/http"
	"net/url"
	"strings"
)

// The places where a caller may put its key.
const (
	keyHeader    = "X-Api-Key"
	keyParameter = "api-key"
	bearerPrefix = "Bearer "
)

// MinKeyLength is the length in bytes of the shortest key that is accepted.
// Shorter ones would be found by chance in fields that don't hold a key.
const MinKeyLength = 8

var (
	// ErrKeysDiffer says that a request has two different keys.
	ErrKeysDiffer = errors.New("the request has different keys")
	// ErrKeyTooShort says that a key is shorter than ShortestKey.
	ErrKeyTooShort = errors.New("the key has less than 8 bytes")
	// ErrMalformedQuery says that a query has an invalid percent-encoding.
	ErrMalformedQuery = errors.New("the query has an invalid percent-encoding")
)

// FindKey returns the key that came with a request, or an empty string.
func FindKey(request *http.Request) (string, error) {
	var finder finder
	for _, value := range request.Header[keyHeader] {
		finder.add(value)
	}
	for _, value := range request.Header["Authorization"] {
		finder.add(bearerToken(value))
	}
	if err := finder.addQuery(request.URL.RawQuery); err != nil {
		return "", err
	}
	if finder.differ {
		return "", ErrKeysDiffer
	}
	if finder.key != "" && len(finder.key) < MinKeyLength {
		return "", ErrKeyTooShort
	}
	return finder.key, nil
}

// finder collects the keys of one request.
type finder struct {
	key    string
	differ bool
}

func (finder *finder) add(value string) {
	value = strings.TrimSpace(value)
	if value == "" {
		return
	}
	if finder.key != "" && finder.key != value {
		finder.differ = true
	}
	finder.key = value
}

func (finder *finder) addQuery(query string) error {
	for query != "" {
		var part string
		part, _, query = cutParameter(query)
		name, value, _ := strings.Cut(part, "=")
		name, nameErr := url.QueryUnescape(name)
		value, valueErr := url.QueryUnescape(value)
		if nameErr != nil || valueErr != nil {
			return ErrMalformedQuery
		}
		if strings.EqualFold(name, keyParameter) {
			finder.add(value)
		}
	}
	return nil
}

// cutParameter splits off the first parameter of a query. Some upstreams
// separate parameters by semicolons too.
func cutParameter(query string) (part, separator, rest string) {
	i := strings.IndexAny(query, "&;")
	if i < 0 {
		return query, "", ""
	}
	return query[:i], query[i : i+1], query[i+1:]
}

func bearerToken(authorization string) string {
	if len(authorization) < len(bearerPrefix) || !strings.EqualFold(authorization[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return authorization[len(bearerPrefix):]
}

// StripHeader drops the fields that may hold a key and those that hold the given
// one.
func StripHeader(header http.Header, key string) {
	header.Del("Authorization")
	header.Del(keyHeader)
	if key == "" {
		return
	}
	for name, values := range header {
		if Contains(name, key) {
			delete(header, name)
			continue
		}
		for _, value := range values {
			if Contains(value, key) {
				delete(header, name)
				break
			}
		}
	}
}

// StripQuery drops the parameters that may hold a key and those that hold the given
// one.
func StripQuery(query, key string) string {
	if query == "" {
		return ""
	}
	var kept strings.Builder
	for query != "" {
		var part, separator string
		part, separator, query = cutParameter(query)
		if isKeyParameter(part) || Contains(part, key) {
			continue
		}
		kept.WriteString(part)
		kept.WriteString(separator)
	}
	result := strings.TrimRight(kept.String(), "&;")
	if Contains(result, key) { // the key itself has a separator
		return ""
	}
	return result
}

func isKeyParameter(part string) bool {
	name, _, _ := strings.Cut(part, "=")
	decoded, err := url.QueryUnescape(name)
	return err != nil || strings.EqualFold(decoded, keyParameter)
}

// maxEncodings bounds how often a text may have been percent-encoded.
const maxEncodings = 4

// Contains reports whether the text holds the key, as it is or
// percent-encoded, be it several times over. Letter case is not told apart,
// since field names lose it.
func Contains(text, key string) bool {
	if key == "" || len(text) < len(key) {
		return false
	}
	key = strings.ToLower(key)
	for range maxEncodings {
		lower := strings.ToLower(text)
		if strings.Contains(lower, key) || strings.Contains(strings.ReplaceAll(lower, "+", " "), key) {
			return true
		}
		if strings.IndexByte(text, '%') < 0 {
			return false
		}
		text = decode(text)
	}
	return false
}

// decode undoes one percent-encoding and leaves what is not valid.
func decode(text string) string {
	var decoded strings.Builder
	for i := 0; i < len(text); i++ {
		if text[i] == '%' && i+2 < len(text) {
			if value, ok := hexByte(text[i+1], text[i+2]); ok {
				decoded.WriteByte(value)
				i += 2
				continue
			}
		}
		decoded.WriteByte(text[i])
	}
	return decoded.String()
}

func hexByte(high, low byte) (byte, bool) {
	first, ok := hexDigit(high)
	second, alsoOK := hexDigit(low)
	return first<<4 | second, ok && alsoOK
}

func hexDigit(digit byte) (byte, bool) {
	switch {
	case '0' <= digit && digit <= '9':
		return digit - '0', true
	case 'a' <= digit && digit <= 'f':
		return digit - 'a' + 10, true
	case 'A' <= digit && digit <= 'F':
		return digit - 'A' + 10, true
	default:
		return 0, false
	}
}
