package redactor_test

import (
	"errors"
	"net/http"
	"net/url"
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/entry/internal/redactor"
)

const key = "kunds-key-1"

func TestFindKey(t *testing.T) {
	tests := []struct {
		name   string
		header http.Header
		query  string
		key    string
		err    error
	}{
		{"none", http.Header{}, "a=b", "", nil},
		{"field", http.Header{"X-Api-Key": {key}}, "", key, nil},
		{"bearer", http.Header{"Authorization": {"bearer " + key}}, "", key, nil},
		{"parameter", nil, "a=1&API%2Dkey=kunds%2Dkey-1", key, nil},
		{"parameter after a semicolon", nil, "a=1;api-key=" + key, key, nil},
		{"same key everywhere", http.Header{"X-Api-Key": {key}, "Authorization": {"Bearer " + key}}, "api-key=" + key, key, nil},
		{"two fields", http.Header{"X-Api-Key": {key, "other-key"}}, "", "", redactor.ErrKeysDiffer},
		{"field and bearer", http.Header{"X-Api-Key": {key}, "Authorization": {"Bearer other-key"}}, "", "", redactor.ErrKeysDiffer},
		{"two parameters", nil, "api-key=" + key + "&api-key=other-key", "", redactor.ErrKeysDiffer},
		{"short", http.Header{"X-Api-Key": {"short"}}, "", "", redactor.ErrKeyTooShort},
		{"malformed", nil, "a=%zz", "", redactor.ErrMalformedQuery},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			foundKey, err := redactor.FindKey(&http.Request{Header: test.header, URL: &url.URL{RawQuery: test.query}})
			is.Equal(foundKey, test.key)
			is.True(errors.Is(err, test.err))
		})
	}
}

func TestKeyIsRemoved(t *testing.T) {
	is := is.New(t)
	header := http.Header{
		"X-Api-Key": {key}, "Authorization": {"Basic x"}, "Referer": {"https://h/?api-key=kunds%252Dkey%252D1"},
		"Cookie": {"a=1", "session=" + key}, "X-" + key: {"1"}, "Accept": {"text/html"},
	}
	redactor.StripHeader(header, key)
	is.Equal(header, http.Header{"Accept": {"text/html"}})
	for query, want := range map[string]string{
		"a=1&api-key=" + key + "&b=2":   "a=1&b=2",
		"a=1;api-key=" + key + ";b=2":   "a=1;b=2",
		"API-KEY=x&a=%6bunds-key-1&c=3": "c=3",
		"next=%2Fx%3Fk%3Dkunds%2Dkey-1": "",
		"a=1&&b=%20;":                   "a=1&&b=%20",
	} {
		is.Equal(redactor.StripQuery(query, key), want)
	}
}

// A stripped request never contains the key that was accepted.
func FuzzAcceptedKeyIsRemoved(f *testing.F) {
	f.Add("Cookie", "a="+key, "api-key="+key+"&b="+key)
	f.Add("Referer", "/?api-key=kunds%2Dkey-1", "api-key=%6b%75nds-key-1;c=kunds-key-1")
	f.Add("X-Api-Key", key, "a=b&api-key=&x=kunds%252Dkey-1")
	f.Add("Authorization", "Bearer a&b;c=d%2", "x=a%26b;c=d%252&a&b;c=d%2")
	f.Fuzz(func(t *testing.T, name, value, query string) {
		request := &http.Request{Header: http.Header{}, URL: &url.URL{RawQuery: query}}
		request.Header.Set(name, value)
		foundKey, err := redactor.FindKey(request)
		if err != nil || foundKey == "" {
			return
		}
		redactor.StripHeader(request.Header, foundKey)
		request.URL.RawQuery = redactor.StripQuery(query, foundKey)
		for name, values := range request.Header {
			if redactor.Contains(name, foundKey) || redactor.Contains(values[0], foundKey) {
				t.Fatalf("field %q contains the key %q", name, foundKey)
			}
		}
		if redactor.Contains(request.URL.RawQuery, foundKey) {
			t.Fatalf("query %q contains the key %q", request.URL.RawQuery, foundKey)
		}
		decoded, _ := url.ParseQuery(request.URL.RawQuery)
		for name, values := range decoded {
			if name == foundKey || values[0] == foundKey {
				t.Fatalf("parameter %q contains the key %q", name, foundKey)
			}
		}
	})
}
