package prober

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"path"

	"godwitramp.example/standin/internal/switcher"
)

// Audit compares the answers that a load received with the requests that the targets
// ran.
type Audit struct {
	// Targets are the addresses of all targets that the load may have reached.
	Targets []string
	Out     io.Writer
}

const notRun = "not-run"

// Run reads the output of a load. It returns an error for each request that ran more
// than once, that ran although its caller was not connected or got the outcome
// "not-run", or that did not run although its caller got status 200.
func (audit *Audit) Run(ctx context.Context, lines io.Reader) error {
	runs := make(map[string]int)
	for _, target := range audit.Targets {
		records, err := switcher.FetchRecord[recordedRequest](ctx, target)
		if err != nil {
			return err
		}
		for _, request := range records {
			runs[path.Base(request.Path)]++
		}
	}
	var problems []error
	requests, ran := 0, 0
	scanner := bufio.NewScanner(lines)
	for scanner.Scan() {
		line, err := ParseLine(scanner.Text())
		if err != nil {
			return err
		}
		requests++
		ran += runs[line.Marker]
		problems = append(problems, checkLine(line, runs[line.Marker]))
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read output of a load: %w", err)
	}
	if _, err := fmt.Fprintf(audit.Out, "%d requests, %d runs\n", requests, ran); err != nil {
		return fmt.Errorf("write summary: %w", err)
	}
	return errors.Join(problems...)
}

// checkLine returns an error if the number of runs contradicts the caller's line.
func checkLine(line Line, runs int) error {
	switch {
	case runs > 1:
		return fmt.Errorf("request %s ran %d times", line.Marker, runs)
	case runs > 0 && (line.Outcome == notRun || line.End == NotConnected):
		return fmt.Errorf("request %s ran, but ended as %q with outcome %q", line.Marker, line.End, line.Outcome)
	case runs == 0 && line.Status == http.StatusOK:
		return fmt.Errorf("request %s was answered with status 200 but did not run", line.Marker)
	}
	return nil
}
