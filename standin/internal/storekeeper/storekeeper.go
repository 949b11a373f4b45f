// Package storekeeper serves the stand-in of the users' platform's store to
// processes, with switches for what operators and targets write.
//
// # Usage
//
//	http.Serve(listener, storekeeper.Handler(&faker.Store{}))
//	client := storekeeper.Client{Address: "127.0.0.2:16000"}
//	err := client.Put(ctx, platform.Row{Table: platform.TargetTable, Key: "i-1", Value: entry})
//
// POST /stand-in/faults with the JSON form of faker.Faults switches faults;
// POST /stand-in/row with the JSON form of platform.Row writes a row, or drops it
// if it is marked as deleted.
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

// Handler answers the calls of VMs and the switches.
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

// Client writes rows as operators and targets do.
type Client struct {
	// Address is that of the store.
	Address string
}

// Put writes the row, or drops it if it is marked as deleted.
func (client Client) Put(ctx context.Context, row platform.Row) error {
	body, err := json.Marshal(row)
	if err != nil {
		return fmt.Errorf("encode row: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+client.Address+rowPath, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make call: %w", err)
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
