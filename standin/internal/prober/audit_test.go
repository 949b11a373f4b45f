package prober_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/standin/internal/prober"
)

// Guards against an audit that misses a contradiction between a caller's answer and
// the targets' records, or that reports one where there is none.
func TestAuditFindsContradictions(t *testing.T) {
	for _, test := range []struct{ name, runs, line, want string }{
		{"answered", `[{"Path":"/b/m"}]`, "1 2 200 - vm m false whole", ""},
		{"refused", `[]`, "1 2 401 not-run vm m false whole", ""},
		{"cut", `[{"Path":"/b/m"}]`, "1 2 0 - - m false cut", ""},
		{"doubled", `[{"Path":"/b/m"},{"Path":"/b/m"}]`, "1 2 0 - - m false cut", "request m ran 2 times"},
		{"refused but ran", `[{"Path":"/b/m"}]`, "1 2 503 not-run vm m false whole", `request m ran, but ended as "whole" with outcome "not-run"`},
		{"lost", `[]`, "1 2 200 - vm m false whole", "request m was answered with status 200 but did not run"},
		{"malformed line", `[]`, "1 2", `read line "1 2" of a load: EOF`},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, test.runs)
			}))
			defer target.Close()
			audit := &prober.Audit{Targets: []string{target.Listener.Addr().String()}, Out: io.Discard}
			err := audit.Run(t.Context(), strings.NewReader(test.line))
			if test.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.Equal(strings.TrimSpace(err.Error()), test.want)
		})
	}
}
