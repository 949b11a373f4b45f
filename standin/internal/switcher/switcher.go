// Package switcher holds the control endpoints that stand-ins have besides the protocol
// that they simulate: one to set faults, and one to read the recorded requests.
//
// # Usage
//
//	mux.HandleFunc("POST "+switcher.FaultsPath, switcher.Handle(target.SetFaults))
//	records, err := switcher.FetchRecord[faker.Arrival](ctx, "127.0.0.2:17001")
package switcher

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// Paths of the control endpoints.
const (
	FaultsPath = "/stand-in/faults"
	RecordPath = "/stand-in/record"
)

// Handle calls set with the decoded JSON body of a request. A body that can't be decoded
// is answered with status 400.
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

// FetchRecord returns the requests recorded by the target at the address.
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
