// Package platform serves a faker.Platform over HTTP. It simulates the table service,
// the object store and the list of VMs of the platform.
//
// # Usage
//
//	http.Serve(listener, platform.Handler(faker.New()))
//
// POST /stand-in/faults with the JSON form of faker.Faults replaces the faults while
// it runs; POST /stand-in/vms with a JSON list of connector.VM replaces the list of VMs;
// GET /stand-in/counts returns the counts of the faker.Platform.
package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"godwitramp.example/shell/connector"
	"godwitramp.example/shell/faker"
)

const maxBody = 256 << 20

// Handler serves the calls of connector.Client and the control endpoints.
func Handler(platform *faker.Platform) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, serve func(r *http.Request) (any, error)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			answer, err := serve(r)
			writeAnswer(w, answer, err)
		})
	}
	handle("POST /table/transact", func(r *http.Request) (any, error) {
		var transaction connector.Transaction
		if err := decode(r, &transaction); err != nil {
			return nil, err
		}
		return platform.Transact(r.Context(), transaction)
	})
	handle("GET /table/row", func(r *http.Request) (any, error) {
		return platform.Row(r.Context(), r.FormValue("key"))
	})
	handle("GET /table/scan", func(r *http.Request) (any, error) {
		limit, err := strconv.Atoi(r.FormValue("limit"))
		if err != nil {
			return nil, &badRequestError{cause: err}
		}
		return platform.Scan(r.Context(), r.FormValue("prefix"), limit)
	})
	handle("PUT /object", func(r *http.Request) (any, error) {
		data, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
		if err != nil {
			return nil, &badRequestError{cause: err}
		}
		return struct{}{}, platform.PutObject(r.Context(), r.FormValue("name"), data)
	})
	handle("GET /object", func(r *http.Request) (any, error) {
		return platform.Object(r.Context(), r.FormValue("name"))
	})
	handle("GET /vms", func(r *http.Request) (any, error) { return platform.VMs(r.Context()) })
	addControlEndpoints(handle, platform)
	return mux
}

func addControlEndpoints(handle func(string, func(*http.Request) (any, error)), platform *faker.Platform) {
	handle("POST /stand-in/faults", func(r *http.Request) (any, error) {
		var faults faker.Faults
		if err := decode(r, &faults); err != nil {
			return nil, err
		}
		platform.SetFaults(faults)
		return faults, nil
	})
	handle("POST /stand-in/vms", func(r *http.Request) (any, error) {
		var vms []connector.VM
		if err := decode(r, &vms); err != nil {
			return nil, err
		}
		platform.SetVMs(vms)
		return vms, nil
	})
	handle("GET /stand-in/counts", func(*http.Request) (any, error) { return platform.Counts(), nil })
}

// badRequestError is a request that can't be decoded; it is answered with status 400.
type badRequestError struct{ cause error }

// Error describes the cause.
func (err *badRequestError) Error() string { return fmt.Sprintf("read request: %v", err.cause) }

func decode(r *http.Request, target any) error {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(target); err != nil {
		return &badRequestError{cause: err}
	}
	return nil
}

// writeAnswer writes the answer, or the status for the error. A LostAnswerError closes
// the connection without an answer.
func writeAnswer(w http.ResponseWriter, answer any, err error) {
	var (
		bad         *badRequestError
		notFound    *connector.NotFoundError
		unavailable *connector.UnavailableError
		lostAnswer  *connector.LostAnswerError
	)
	switch {
	case err == nil:
	case errors.As(err, &bad):
		http.Error(w, bad.Error(), http.StatusBadRequest)
		return
	case errors.As(err, &notFound):
		http.Error(w, notFound.Error(), http.StatusNotFound)
		return
	case errors.As(err, &unavailable):
		http.Error(w, unavailable.Reason, http.StatusServiceUnavailable)
		return
	case errors.As(err, &lostAnswer):
		panic(http.ErrAbortHandler) // closes the connection without an answer
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if raw, ok := answer.([]byte); ok {
		_, _ = w.Write(raw) // fails if the client has closed the connection
		return
	}
	_ = json.NewEncoder(w).Encode(answer)
}
