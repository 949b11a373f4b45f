// Package visitor sends requests through a sample fleet on the users' platform and
// checks the answers against the requests that the targets ran.
//
// # Usage
//
//	visitor := &visitor.Visitor{Balancer: "127.0.0.2:18000", Targets: targets, Out: os.Stdout}
//	err := visitor.Run(ctx)
package visitor

import (
	"bufio"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"godwitramp.example/core/indexer"
	"godwitramp.example/platform/faker"
	"godwitramp.example/standin/internal/switcher"
)

// Names in the configuration of the sample fleet.
const (
	host     = "kundsetu.example"
	lists    = "due-lists"
	bookings = "bookings"
	// SampleKey is the key of the organisation of the sample fleet.
	SampleKey = "sample-key-anand"
)

// Sample returns the configuration of the sample fleet.
func Sample() indexer.Configuration {
	route := func(service string, idempotent bool) indexer.Route {
		return indexer.Route{
			Name: service, Host: host, Prefix: "/" + service + "/", Idempotent: idempotent, Timeout: 5 * time.Second,
			LatencyObjective: time.Second, Attempts: 2, Shares: []indexer.Share{{Service: service, Weight: 1}},
		}
	}
	return indexer.Configuration{
		Version: 1,
		Routes:  []indexer.Route{route(lists, true), route(bookings, false)},
		Services: []indexer.Service{
			{Name: lists, HealthPath: "/health", ConnectionLimit: 360}, {Name: bookings, HealthPath: "/health", ConnectionLimit: 360},
		},
		Organisations: []indexer.Organisation{{Name: "anand-crews", Keys: []string{SampleKey}, Rate: 50, Burst: 100}},
		Limits: indexer.Limits{
			HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
		},
	}
}

// Visitor checks a sample fleet.
type Visitor struct {
	// Balancer is the address that callers connect to.
	Balancer string
	// Targets are the addresses of the targets of the bookings service.
	Targets []string
	Out     io.Writer
}

const (
	requestTimeout = 5 * time.Second
	readyTimeout   = time.Minute
	retryPeriod    = 100 * time.Millisecond
	// requestsPerKind is the number of requests of each kind, enough to reach every VM
	// of a sample fleet.
	requestsPerKind = 20
)

// Run sends the requests and returns every check that failed.
func (visitor *Visitor) Run(ctx context.Context) error {
	if err := visitor.waitReady(ctx); err != nil {
		return err
	}
	var failures []error
	booked := make(map[string]bool)
	for range requestsPerKind {
		_, err := visitor.check(http.MethodGet, "/"+lists+"/anand", SampleKey, http.StatusOK)
		failures = append(failures, err)
		id, err := visitor.check(http.MethodPost, "/"+bookings+"/anand", SampleKey, http.StatusOK)
		failures = append(failures, err)
		booked[id] = true
	}
	_, err := visitor.check(http.MethodGet, "/"+lists+"/anand", "unknown", http.StatusUnauthorized)
	failures = append(failures, err)
	_, err = visitor.check(http.MethodGet, "/nowhere", SampleKey, http.StatusNotFound)
	failures = append(failures, err, visitor.checkRecord(ctx, booked))
	return errors.Join(failures...)
}

// waitReady waits until the fleet serves a request.
func (visitor *Visitor) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		answer, err := visitor.send(http.MethodGet, "/"+lists+"/ready", SampleKey, rand.Text())
		if err == nil && answer.Status == http.StatusOK {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("fleet is not ready after %v: status %d: %w", readyTimeout, answer.Status, errors.Join(err, ctx.Err()))
		case <-time.After(retryPeriod):
		}
	}
}

// check sends a request and checks its answer. It retries after the Retry-After of a
// refusal by the rate limit, and returns the ID of the last request.
func (visitor *Visitor) check(method, path, key string, want int) (string, error) {
	id := rand.Text()
	answer, err := visitor.send(method, path, key, id)
	for err == nil && answer.Status == http.StatusTooManyRequests && answer.RetryAfter > 0 {
		time.Sleep(answer.RetryAfter)
		id = rand.Text()
		answer, err = visitor.send(method, path, key, id)
	}
	if err != nil {
		return id, fmt.Errorf("%s %s: %w", method, path, err)
	}
	_, _ = fmt.Fprintf(visitor.Out, "%s %s -> %d id=%s\n", method, path, answer.Status, id)
	switch {
	case answer.Status != want:
		return id, fmt.Errorf("%s %s: got status %d, want %d", method, path, answer.Status, want)
	case want == http.StatusOK && (!answer.Genuine || answer.ID != id):
		return id, fmt.Errorf("%s %s: the answer is not a target's unaltered answer to this request", method, path)
	default:
		return id, nil
	}
}

func (visitor *Visitor) send(method, path, key, id string) (faker.Answer, error) {
	connection, err := net.DialTimeout("tcp", visitor.Balancer, requestTimeout)
	if err != nil {
		return faker.Answer{}, fmt.Errorf("connect: %w", err)
	}
	defer func() { _ = connection.Close() }()
	if err := connection.SetDeadline(time.Now().Add(requestTimeout)); err != nil {
		return faker.Answer{}, fmt.Errorf("set deadline: %w", err)
	}
	request := faker.Request{Host: host, Method: method, Path: path, ID: id, Key: key, Remaining: requestTimeout}
	if err := request.Write(connection); err != nil {
		return faker.Answer{}, err
	}
	return faker.ReadAnswer(bufio.NewReader(connection))
}

// checkRecord checks that every booking ran exactly once and that no target received
// a key.
func (visitor *Visitor) checkRecord(ctx context.Context, booked map[string]bool) error {
	runs := make(map[string]int)
	for _, target := range visitor.Targets {
		arrivals, err := switcher.FetchRecord[faker.Arrival](ctx, target)
		if err != nil {
			return err
		}
		for _, arrival := range arrivals {
			if arrival.Run {
				runs[arrival.ID]++
			}
			if arrival.KeyPassed {
				return fmt.Errorf("target %s received the key of request %s", target, arrival.ID)
			}
		}
	}
	for id := range booked {
		if runs[id] != 1 {
			return fmt.Errorf("booking %s ran %d times, want 1", id, runs[id])
		}
	}
	_, _ = fmt.Fprintf(visitor.Out, "record of the targets: %d bookings ran once, no key seen\n", len(booked))
	return nil
}
