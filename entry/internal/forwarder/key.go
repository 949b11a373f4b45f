package forwarder

import (
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

// Key returns the key that came with a request, or an empty string.
func Key(request *http.Request) string {
	if key := request.Header.Get(keyHeader); key != "" {
		return key
	}
	authorization := request.Header.Get("Authorization")
	if len(authorization) > len(bearerPrefix) && strings.EqualFold(authorization[:len(bearerPrefix)], bearerPrefix) {
		return strings.TrimSpace(authorization[len(bearerPrefix):])
	}
	for pair := range strings.SplitSeq(request.URL.RawQuery, "&") {
		name, value, _ := strings.Cut(pair, "=")
		if isKeyParameter(name) {
			key, _ := url.QueryUnescape(value)
			return key
		}
	}
	return ""
}

func isKeyParameter(name string) bool {
	decoded, err := url.QueryUnescape(name)
	return err == nil && strings.EqualFold(decoded, keyParameter)
}

// removeKey drops the fields that may hold a key.
func removeKey(header http.Header) {
	header.Del("Authorization")
	header.Del(keyHeader)
}

// withoutKey drops the parameters that may hold a key.
func withoutKey(query string) string {
	var kept []string
	for pair := range strings.SplitSeq(query, "&") {
		name, _, _ := strings.Cut(pair, "=")
		if !isKeyParameter(name) {
			kept = append(kept, pair)
		}
	}
	return strings.Join(kept, "&")
}
