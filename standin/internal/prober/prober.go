// Package prober sends requests through a sample fleet and checks the answers against
// the requests that the targets ran. Prober sends a few requests and checks them, Load
// generates load, and Audit checks the output of a load afterwards.
//
// # Usage
//
//	prober := &prober.Prober{Balancer: "http://127.0.0.1:18000", Targets: targets, Out: os.Stdout}
//	err := prober.Run(ctx)
package prober

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"godwitramp.example/standin/internal/switcher"
)

// Prober checks that a sample fleet serves requests, rejects requests without a valid
// key, and runs a booking exactly once.
type Prober struct {
	Balancer string
	// Targets are the addresses of the targets of the service at BookPath.
	Targets []string
	// Key is the key of an organisation that may use both paths.
	Key string
	// ReadPath and BookPath are the paths of an idempotent and of a non-idempotent
	// service.
	ReadPath, BookPath string
	Out                io.Writer
}

// answer is the answer to one request.
type answer struct {
	status  int
	outcome string
	vm      string
	target  string
	body    string
}

const (
	probeTimeout = 10 * time.Second
	readyTimeout = 60 * time.Second
	retryPeriod  = 100 * time.Millisecond
)

// Run sends the requests and returns every check that failed.
func (prober *Prober) Run(ctx context.Context) error {
	if err := prober.waitReady(ctx); err != nil {
		return err
	}
	marker := rand.Text()
	return errors.Join(
		prober.check(ctx, "read with the right key", http.MethodGet, prober.ReadPath+"/anand", prober.Key, http.StatusOK, ""),
		prober.check(ctx, "booking with the right key", http.MethodPost, prober.BookPath+"/"+marker, prober.Key, http.StatusOK, ""),
		prober.check(ctx, "read without a key", http.MethodGet, prober.ReadPath, "", http.StatusUnauthorized, "not-run"),
		prober.check(ctx, "read with an unknown key", http.MethodGet, prober.ReadPath, "sample-key-unknown", http.StatusUnauthorized, "not-run"),
		prober.checkRecord(ctx, marker),
	)
}

// waitReady waits until the fleet has its configuration and admits requests of the
// organisation. That takes some time, since token buckets start empty.
func (prober *Prober) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		got, err := prober.send(ctx, http.MethodGet, prober.ReadPath, prober.Key)
		if err == nil && got.status == http.StatusOK {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("fleet is not ready after %v: status %d, %w", readyTimeout, got.status, errors.Join(err, ctx.Err()))
		case <-time.After(retryPeriod):
		}
	}
}

func (prober *Prober) check(ctx context.Context, name, method, path, key string, status int, outcome string) error {
	got, err := prober.send(ctx, method, path, key)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	_, _ = fmt.Fprintf(prober.Out, "%s: %s %s -> %d vm=%s target=%s outcome=%s\n  %s\n",
		name, method, path, got.status, got.vm, got.target, got.outcome, strings.TrimSpace(got.body))
	if got.status != status || got.outcome != outcome {
		return fmt.Errorf("%s: got status %d and outcome %q, want %d and %q", name, got.status, got.outcome, status, outcome)
	}
	want := method + " " + path + " answered by "
	if status == http.StatusOK && !strings.HasPrefix(got.body, want) {
		return fmt.Errorf("%s: got body %q, want one that begins with %q", name, got.body, want)
	}
	return nil
}

func (prober *Prober) send(ctx context.Context, method, path, key string) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, prober.Balancer+path, http.NoBody)
	if err != nil {
		return answer{}, fmt.Errorf("make request: %w", err)
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}, fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, fmt.Errorf("read answer: %w", err)
	}
	header := response.Header
	return answer{
		status: response.StatusCode, outcome: header.Get("Godwitramp-Outcome"), vm: header.Get("Godwitramp-Vm"),
		target: header.Get("Upstream-Target"), body: string(body),
	}, nil
}

// recordedRequest is a request in the record of a target.
type recordedRequest struct {
	Path   string
	Query  string
	Header http.Header
}

// checkRecord checks that the booking ran exactly once and that no target received
// the key.
func (prober *Prober) checkRecord(ctx context.Context, marker string) error {
	runs := 0
	for _, target := range prober.Targets {
		records, err := switcher.FetchRecord[recordedRequest](ctx, target)
		if err != nil {
			return err
		}
		for _, request := range records {
			if strings.HasSuffix(request.Path, marker) {
				runs++
			}
			if strings.Contains(fmt.Sprint(request), prober.Key) {
				return fmt.Errorf("target %s received the key in %v", target, request)
			}
		}
	}
	_, _ = fmt.Fprintf(prober.Out, "record of the targets: booking ran %d time(s), no key seen\n", runs)
	if runs != 1 {
		return fmt.Errorf("booking ran %d times, want 1", runs)
	}
	return nil
}
