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

// Load sends requests, each with a marker of its own as the last part of its
// path, and writes a line for each answer; see Line.
type Load struct {
	// Base is the URL of a balancer or a VM.
	Base string
	// Next, if set, is the URL that a worker turns to once an answer has
	// announced that its connection is closed.
	Next   string
	Method string
	Path   string
	Key    string
	// Workers send at a time, each its next request after its last answer.
	Workers int
	// Count ends the load after as many requests; without limit if zero.
	Count int
	// Pause is the time between an answer and the next request of a worker.
	Pause time.Duration
	// Fresh opens a connection for each request.
	Fresh bool
	Out   io.Writer

	mutex sync.Mutex
	sent  int
}

// End says how a request ended.
type End string

// How requests end.
const (
	// Whole means that the whole answer to this request came.
	Complete End = "whole"
	// Wrong means that the body is not the answer to this request.
	Mismatched End = "wrong"
	// Cut means that the connection ended or fell silent before the answer
	// was whole.
	Incomplete End = "cut"
	// Unconnected means that no connection was made, so nothing was sent.
	NotConnected End = "unconnected"
)

// Line is one request and its end.
type Line struct {
	Started, Finished time.Time
	Status            int
	// Outcome and VM are "-" if the answer does not give them.
	Outcome, VM string
	Marker      string
	// Reused says that the request went over a connection that had carried
	// another.
	Reused bool
	End    End
}

// String returns the fields separated by spaces, times in nanoseconds.
func (line Line) String() string {
	return fmt.Sprintf("%d %d %d %s %s %s %t %s", line.Started.UnixNano(), line.Finished.UnixNano(),
		line.Status, line.Outcome, line.VM, line.Marker, line.Reused, line.End)
}

// ParseLine reads what String returns.
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

// Run sends until the context ends or Count requests are sent. Requests that
// are under way when the context ends are finished.
func (load *Load) Run(ctx context.Context) error {
	var group sync.WaitGroup
	failures := make([]error, load.Workers)
	for i := range load.Workers {
		group.Go(func() { failures[i] = load.runWorker(ctx) })
	}
	group.Wait()
	return errors.Join(failures...)
}

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

// loadTimeout only guards against waiting for ever.
const requestTimeout = time.Minute

// take reports whether one more request is to be sent.
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
		return fmt.Errorf("write line of a load: %w", err)
	}
	return nil
}

// send sends one request and reports whether the answer closes its connection.
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

// endOf tells a request that was cut from one that was never sent.
func endOfFailure(err error) End {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return NotConnected
	}
	return Incomplete
}
