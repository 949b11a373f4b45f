// Package upstream simulates one target of a service, with a concurrency limit, a cold
// start, load shedding, and gray failures that can be set while it runs.
//
// # Usage
//
//	upstream := &upstream.Upstream{Name: "bookings-t01", Slots: 4}
//	http.Serve(listener, upstream.Handler())
//
// POST /stand-in/faults with the JSON form of Faults replaces the faults;
// GET /stand-in/record returns the requests that the target has run.
package upstream

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"godwitramp.example/standin/internal/switcher"
)

// Faults are the faults that the target simulates. Shares are from 0 to 1.
type Faults struct {
	// ErrorShare is the share of requests answered with status 500.
	ErrorShare float64
	// Delay is added to the duration of a DelayShare of the requests.
	Delay      time.Duration
	DelayShare float64
	// Shed rejects every request with status 503 and a Retry-After of 1 s.
	Shed bool
	// Truncate closes the connection after half of every answer.
	Truncate bool
	// Silent reads requests and neither runs nor answers them.
	Silent bool
	// SilentConnections never answers requests on connections that are open when the
	// faults are set; new connections work.
	SilentConnections bool
	// CloseAfterRead runs the request and closes the connection without an answer.
	CloseAfterRead bool
	// Crossed replaces the request ID of the answer by that of another request.
	Crossed bool
	// HealthLies makes the health endpoint answer 200 in spite of ErrorShare. Leaving
	// takes precedence over it.
	HealthLies bool
	// Leaving makes the health endpoint answer 503, as a draining target does.
	Leaving bool
}

// RecordedRequest is a request that the target has run, in the form in which
// GET /stand-in/record returns it.
type RecordedRequest struct {
	Method    string
	Path      string
	Query     string
	RequestID string
	Header    http.Header
	Body      string
}

// Upstream is one target.
type Upstream struct {
	Name string
	// Slots is the number of requests that run concurrently; more are shed.
	Slots int
	// ServiceTime is how long a request takes.
	ServiceTime time.Duration
	// ColdFor is how long after its start the target is ten times slower.
	ColdFor time.Duration

	mutex             sync.Mutex
	faults            Faults
	recorded          []RecordedRequest
	silentConnections map[string]bool
	connections       map[string]bool
	started           time.Time
	inFlight          atomic.Int64
}

const (
	coldFactor      = 10
	requestIDHeader = "Godwitramp-Request-Id"
	outcomeHeader   = "Godwitramp-Outcome"
	// Only the first maxRecorded requests are recorded, and up to maxRecordedBody bytes of
	// each body.
	maxRecordedBody = 4096
	maxRecorded     = 100_000
)

// Handler serves requests and the control endpoints.
func (upstream *Upstream) Handler() http.Handler {
	upstream.started = time.Now()
	upstream.silentConnections = make(map[string]bool)
	upstream.connections = make(map[string]bool)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+switcher.FaultsPath, switcher.Handle(upstream.setFaults))
	mux.HandleFunc("GET "+switcher.RecordPath, upstream.record)
	mux.HandleFunc("GET /health", upstream.health)
	mux.HandleFunc("/", upstream.serve)
	return mux
}

func (upstream *Upstream) setFaults(faults Faults) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.faults = faults
	clear(upstream.silentConnections)
	if faults.SilentConnections {
		for address := range upstream.connections {
			upstream.silentConnections[address] = true
		}
	}
}

func (upstream *Upstream) record(w http.ResponseWriter, _ *http.Request) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	_ = json.NewEncoder(w).Encode(upstream.recorded)
}

func (upstream *Upstream) health(w http.ResponseWriter, _ *http.Request) {
	faults := upstream.faultsFor("")
	if faults.Leaving {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	if !faults.HealthLies && faults.ErrorShare > 0 {
		http.Error(w, "sick", http.StatusInternalServerError)
		return
	}
	_, _ = fmt.Fprintf(w, "load %d of %d\n", upstream.inFlight.Load(), upstream.Slots)
}

// faultsFor returns the faults for a request from the remote address, which identifies
// its connection, or for a health check if the address is empty.
func (upstream *Upstream) faultsFor(remote string) Faults {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	if remote != "" {
		upstream.connections[remote] = true
	}
	faults := upstream.faults
	faults.Silent = faults.Silent || upstream.silentConnections[remote]
	return faults
}

func (upstream *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	faults := upstream.faultsFor(r.RemoteAddr)
	inFlight := upstream.inFlight.Add(1)
	defer upstream.inFlight.Add(-1)
	if faults.Shed || inFlight > int64(upstream.Slots) {
		w.Header().Set("Retry-After", "1")
		w.Header().Set(outcomeHeader, "not-run")
		http.Error(w, "no slot", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	if !upstream.simulateWork(r, faults) {
		return
	}
	upstream.recordRequest(r, body)
	upstream.answer(w, r, faults)
}

// simulateWork waits for the duration of the request. It reports false if the caller
// cancelled the request meanwhile.
func (upstream *Upstream) simulateWork(r *http.Request, faults Faults) bool {
	duration := upstream.ServiceTime
	if time.Since(upstream.started) < upstream.ColdFor {
		duration *= coldFactor
	}
	if faults.Delay > 0 && rand.Float64() < faults.DelayShare {
		duration += faults.Delay
	}
	select {
	case <-time.After(duration):
		return true
	case <-r.Context().Done():
		return false
	}
}

func (upstream *Upstream) recordRequest(r *http.Request, body []byte) {
	request := RecordedRequest{
		Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, RequestID: r.Header.Get(requestIDHeader),
		Header: r.Header.Clone(), Body: string(body[:min(len(body), maxRecordedBody)]),
	}
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	if len(upstream.recorded) < maxRecorded {
		upstream.recorded = append(upstream.recorded, request)
	}
}

func (upstream *Upstream) answer(w http.ResponseWriter, r *http.Request, faults Faults) {
	if faults.CloseAfterRead {
		panic(http.ErrAbortHandler)
	}
	if rand.Float64() < faults.ErrorShare {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	id := r.Header.Get(requestIDHeader)
	if faults.Crossed {
		id = "crossed"
	}
	w.Header().Set(requestIDHeader, id)
	w.Header().Set("Upstream-Target", upstream.Name)
	body := fmt.Sprintf("%s %s answered by %s\n", r.Method, r.URL.Path, upstream.Name)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if faults.Truncate {
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
}
