package server_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/entry/internal/forwarder"
	"godwitramp.example/entry/internal/server"
)

// keysUnknown is a VM that may not know of all withdrawn keys.
type keysUnknown struct{}

// KeysKnown returns false.
func (keysUnknown) KeysKnown() bool { return false }

func TestRefusalsNameTheirServiceAndOrganisation(t *testing.T) {
	tests := []struct {
		path, key, reason     string
		service, organisation bool
	}{
		{"/r", key, "configuration-unconfirmed", true, true},
		{"/r", "other-key-1", "key-unknown", true, false},
		{"/r", "", "key-missing", true, false},
		{"/x", key, "no-route", false, false},
	}
	for _, test := range tests {
		t.Run(test.reason, func(t *testing.T) {
			is := is.New(t)
			known := tables{table: table(t)}
			refusals := 0
			server := &server.Server{Tables: known, Keys: keysUnknown{}, Limits: known}
			server.ReportRefusal = func(job forwarder.Job, refusal forwarder.Refusal) {
				refusals++
				is.Equal(refusal.Reason, test.reason)
				is.Equal(job.Service != nil, test.service)
				is.Equal(job.Organisation != nil, test.organisation)
			}
			request := httptest.NewRequest(http.MethodGet, test.path, nil)
			request.Header.Set("X-Api-Key", test.key)
			server.Handler().ServeHTTP(httptest.NewRecorder(), request)
			is.Equal(refusals, 1)
		})
	}
}
