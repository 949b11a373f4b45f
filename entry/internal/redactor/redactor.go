// Package redactor finds the API key of a request and removes it from what is sent to
// upstreams.
//
// A key may be in the X-Api-Key header, in a bearer token in Authorization or in the
// query parameter api-key. All three are always removed. Every other header field or
// query parameter that contains the accepted key, unencoded or percent-encoded up to
// three times, is removed as a whole. Bodies are not searched. Trailers are never passed
// on.
//
// # Usage
//
//	key, err := redactor.FindKey(request)
//	header := request.Header.Clone()
//	redactor.StripHeader(header, key)
//	query := redactor.StripQuery(request.URL.RawQuery, key)
package redactor

import (
	"errors"
	"net/http"
	"net/url"
	"strings"
)

// The places in a request that may hold its key.
const (
	keyHeader    = "X-Api-Key"
	keyParameter = "api-key"
	bearerPrefix = "Bearer "
)

// MinKeyLength is the length in bytes of the shortest key that is accepted. A shorter key
// would also be found by chance in fields that don't hold it.
const MinKeyLength = 8

var (
	// ErrKeysDiffer means that a request has two different keys.
	ErrKeysDiffer = errors.New("the request has different keys")
	// ErrKeyTooShort means that a key is shorter than MinKeyLength.
	ErrKeyTooShort = errors.New("the key has less than 8 bytes")
	// ErrMalformedQuery means that a query has an invalid percent-encoding.
	ErrMalformedQuery = errors.New("the query has an invalid percent-encoding")
)

// FindKey returns the key of a request, or an empty string if it has none.
func FindKey(request *http.Request) (string, error) {
	var keyFinder keyFinder
	for _, value := range request.Header[keyHeader] {
		keyFinder.add(value)
	}
	for _, value := range request.Header["Authorization"] {
		keyFinder.add(bearerToken(value))
	}
	if err := keyFinder.addQuery(request.URL.RawQuery); err != nil {
		return "", err
	}
	if keyFinder.conflict {
		return "", ErrKeysDiffer
	}
	if keyFinder.key != "" && len(keyFinder.key) < MinKeyLength {
		return "", ErrKeyTooShort
	}
	return keyFinder.key, nil
}

// keyFinder collects the keys of one request.
type keyFinder struct {
	key      string
	conflict bool
}

func (keyFinder *keyFinder) add(value string) {
	value = strings.TrimSpace(value)
	if value == "" {
		return
	}
	if keyFinder.key != "" && keyFinder.key != value {
		keyFinder.conflict = true
	}
	keyFinder.key = value
}

func (keyFinder *keyFinder) addQuery(query string) error {
	for query != "" {
		var parameter string
		parameter, _, query = cutParameter(query)
		name, value, _ := strings.Cut(parameter, "=")
		name, nameErr := url.QueryUnescape(name)
		value, valueErr := url.QueryUnescape(value)
		if nameErr != nil || valueErr != nil {
			return ErrMalformedQuery
		}
		if strings.EqualFold(name, keyParameter) {
			keyFinder.add(value)
		}
	}
	return nil
}

// cutParameter splits off the first parameter of a query. Some upstreams separate
// parameters by semicolons too.
func cutParameter(query string) (parameter, separator, rest string) {
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

// StripHeader removes the fields in which callers send keys, and all fields that contain
// the given key.
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

// StripQuery removes the parameters in which callers send keys, those with a malformed
// name, and those that contain the given key.
func StripQuery(query, key string) string {
	if query == "" {
		return ""
	}
	var remaining strings.Builder
	for query != "" {
		var parameter, separator string
		parameter, separator, query = cutParameter(query)
		if mayHoldKey(parameter) || Contains(parameter, key) {
			continue
		}
		remaining.WriteString(parameter)
		remaining.WriteString(separator)
	}
	result := strings.TrimRight(remaining.String(), "&;")
	if Contains(result, key) { // the key itself contains a separator
		return ""
	}
	return result
}

func mayHoldKey(parameter string) bool {
	name, _, _ := strings.Cut(parameter, "=")
	decoded, err := url.QueryUnescape(name)
	return err != nil || strings.EqualFold(decoded, keyParameter)
}

// maxSearches is how many forms of a text are searched: the text as it is, and decoded
// once, twice and three times.
const maxSearches = 4

// Contains reports whether the text contains the key, unencoded or percent-encoded up to
// three times. It ignores letter case, since field names lose it.
func Contains(text, key string) bool {
	if key == "" || len(text) < len(key) {
		return false
	}
	key = strings.ToLower(key)
	for range maxSearches {
		lower := strings.ToLower(text)
		if strings.Contains(lower, key) || strings.Contains(strings.ReplaceAll(lower, "+", " "), key) {
			return true
		}
		if strings.IndexByte(text, '%') < 0 {
			return false
		}
		text = percentDecode(text)
	}
	return false
}

// percentDecode removes one level of percent-encoding and keeps invalid escapes as they
// are.
func percentDecode(text string) string {
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
