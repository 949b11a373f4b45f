// Package switcher holds what stand-ins that run as processes have beside their
// protocol: switches, and the record of what they have seen.
//
// # Usage
//
//	mux.HandleFunc("POST "+switcher.FaultsPath, switcher.Handle(target.SetFaults))
//	records, err := switcher.Record[faker.Arrival](ctx, "127.0.0.2:17001")
package switcher

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// Paths of the switches.
const (
	FaultsPath = "/stand-in/faults"
	RecordPath = "/stand-in/record"
)

// Handle passes the JSON body of a request on, and refuses one that can't be read.
func Handle[T any](set func(T)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var value T
		if err := json.NewDecoder(request.Body).Decode(&value); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		set(value)
	}
}

// Record returns what a target at an address has seen.
func FetchRecord[T any](ctx context.Context, target string) ([]T, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target+RecordPath, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("make request for record: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("read record of target %s: %w", target, err)
	}
	defer func() { _ = response.Body.Close() }()
	var records []T
	if err := json.NewDecoder(response.Body).Decode(&records); err != nil {
		return nil, fmt.Errorf("decode record of target %s: %w", target, err)
	}
	return records, nil
}
