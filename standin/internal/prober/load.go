package prober

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"
)

// Load is a load generator. Each request has a unique marker as the last segment of
// its path, and Load writes one Line for each request.
type Load struct {
	// Base is the URL of a balancer or a VM.
	Base string
	// Next, if set, is the URL that a worker uses after an answer that closes its
	// connection.
	Next   string
	Method string
	Path   string
	Key    string
	// Workers is the number of concurrent workers. Each sends its next request after
	// the answer to its previous one.
	Workers int
	// Count is the total number of requests; 0 means no limit.
	Count int
	// Pause is the time between an answer and the next request of a worker.
	Pause time.Duration
	// Fresh opens a new connection for each request.
	Fresh bool
	Out   io.Writer

	mutex sync.Mutex
	sent  int
}

// End is how a request ended. Its text is part of the output of a load.
type End string

// How requests end.
const (
	// Complete means that the complete answer to this request was received.
	Complete End = "whole"
	// Mismatched means that the body is not the answer to this request.
	Mismatched End = "wrong"
	// Incomplete means that the connection ended, or the request timed out, before
	// the answer was complete.
	Incomplete End = "cut"
	// NotConnected means that no connection was established, so nothing was sent.
	NotConnected End = "unconnected"
)

// Line describes one request and its answer.
type Line struct {
	Started, Finished time.Time
	Status            int
	// Outcome and VM are "-" if the answer has no header for them.
	Outcome, VM string
	Marker      string
	// Reused is true if the connection had carried another request before.
	Reused bool
	End    End
}

// String returns the fields separated by spaces, times in nanoseconds.
func (line Line) String() string {
	return fmt.Sprintf("%d %d %d %s %s %s %t %s", line.Started.UnixNano(), line.Finished.UnixNano(),
		line.Status, line.Outcome, line.VM, line.Marker, line.Reused, line.End)
}

// ParseLine parses the text that String returns.
func ParseLine(text string) (Line, error) {
	var (
		line              Line
		started, finished int64
	)
	_, err := fmt.Sscan(text, &started, &finished, &line.Status, &line.Outcome, &line.VM, &line.Marker, &line.Reused, &line.End)
	if err != nil {
		return Line{}, fmt.Errorf("read line %q of a load: %w", text, err)
	}
	line.Started, line.Finished = time.Unix(0, started), time.Unix(0, finished)
	return line, nil
}

// Run sends requests until the context ends or Count requests were sent. Requests in
// flight when the context ends are completed.
func (load *Load) Run(ctx context.Context) error {
	var group sync.WaitGroup
	failures := make([]error, load.Workers)
	for i := range load.Workers {
		group.Go(func() { failures[i] = load.runWorker(ctx) })
	}
	group.Wait()
	return errors.Join(failures...)
}

// runWorker sends one request after another.
func (load *Load) runWorker(ctx context.Context) error {
	transport := &http.Transport{DisableKeepAlives: load.Fresh}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: requestTimeout}
	base := load.Base
	for ctx.Err() == nil && load.startNext() {
		line, closed, err := load.send(context.WithoutCancel(ctx), client, base)
		if err != nil {
			return err
		}
		if closed && load.Next != "" {
			base = load.Next
		}
		if err := load.write(line); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(load.Pause):
		}
	}
	return nil
}

// requestTimeout bounds the wait for a connection that no longer answers.
const requestTimeout = time.Minute

// startNext counts one more request, or reports false if Count requests were sent.
func (load *Load) startNext() bool {
	load.mutex.Lock()
	defer load.mutex.Unlock()
	if load.Count > 0 && load.sent >= load.Count {
		return false
	}
	load.sent++
	return true
}

func (load *Load) write(line Line) error {
	load.mutex.Lock()
	defer load.mutex.Unlock()
	if _, err := fmt.Fprintln(load.Out, line); err != nil {
		return fmt.Errorf("write output of a load: %w", err)
	}
	return nil
}

// send sends one request. It returns its line, and whether the answer closes its
// connection. A failed request is no error.
func (load *Load) send(ctx context.Context, client *http.Client, base string) (line Line, closed bool, err error) {
	line = Line{Marker: rand.Text(), Outcome: "-", VM: "-"}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { line.Reused = info.Reused }}
	path := load.Path + "/" + line.Marker
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), load.Method, base+path, http.NoBody)
	if err != nil {
		return Line{}, false, fmt.Errorf("make request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+load.Key)
	line.Started = time.Now()
	response, err := client.Do(request)
	if err != nil {
		line.End = endOfFailure(err)
		line.Finished = time.Now()
		return line, false, nil
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	line.Finished = time.Now()
	line.Status = response.StatusCode
	line.Outcome = cmp.Or(response.Header.Get("Godwitramp-Outcome"), "-")
	line.VM = cmp.Or(response.Header.Get("Godwitramp-Vm"), "-")
	switch {
	case err != nil:
		line.End = Incomplete
	case line.Status == http.StatusOK && !strings.HasPrefix(string(body), load.Method+" "+path+" answered by "):
		line.End = Mismatched
	default:
		line.End = Complete
	}
	return line, response.Close, nil
}

// endOfFailure distinguishes a failed connection attempt, after which nothing was sent,
// from an incomplete answer.
func endOfFailure(err error) End {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return NotConnected
	}
	return Incomplete
}
