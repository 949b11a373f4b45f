// Package storekeeper serves the simulated store of the users' platform over HTTP, with
// control endpoints for faults and for the rows that operators and targets write.
//
// # Usage
//
//	http.Serve(listener, storekeeper.Handler(&faker.Store{}))
//	client := storekeeper.Client{Address: "127.0.0.2:16000"}
//	err := client.Put(ctx, platform.Row{Table: platform.TargetTable, Key: "i-1", Value: entry})
//
// POST /stand-in/faults with the JSON form of faker.Faults replaces the faults;
// POST /stand-in/row with the JSON form of platform.Row writes a row, or deletes it if
// it is marked as deleted.
package storekeeper

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"godwitramp.example/platform"
	"godwitramp.example/platform/faker"
	"godwitramp.example/standin/internal/switcher"
)

const (
	rowPath     = "/stand-in/row"
	callTimeout = 2 * time.Second
)

// Handler serves the calls of VMs and the control endpoints.
func Handler(store *faker.Store) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", store)
	mux.HandleFunc("POST "+switcher.FaultsPath, switcher.Handle(store.SetFaults))
	mux.HandleFunc("POST "+rowPath, switcher.Handle(func(row platform.Row) {
		if row.Deleted {
			store.Delete(row.Table, row.Part, row.Key)
		} else {
			store.Put(row.Table, row.Part, row.Key, row.Value)
		}
	}))
	return mux
}

// Client writes rows on behalf of operators and targets.
type Client struct {
	// Address is the address of the store.
	Address string
}

// Put writes the row, or deletes it if it is marked as deleted. It does not retry.
func (client Client) Put(ctx context.Context, row platform.Row) error {
	body, err := json.Marshal(row)
	if err != nil {
		return fmt.Errorf("encode row: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+client.Address+rowPath, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("write row: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("write row: the store answered %s", response.Status)
	}
	return nil
}
