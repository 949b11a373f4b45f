// Package waiter waits for the operators' command until a recorded revision is in
// force on every VM. It polls the VMs' registrations and confirmations in the
// store.
//
// # Usage
//
//	waiter := &waiter.Waiter{Platform: platform}
//	report, err := waiter.Wait(ctx, revision, nil)
//	if err == nil && !report.InForce {
//		// report.Missing names the VMs that have not confirmed.
//	}
package waiter

import (
	"context"
	"fmt"
	"time"

	"godwitramp.example/core/confirmer"
	"godwitramp.example/core/guard"
	"godwitramp.example/core/timekeeper"
	"godwitramp.example/shell/connector"
	"godwitramp.example/shell/recorder"
)

const (
	pollPeriod = 500 * time.Millisecond
	// maxEvidenceAge is how long a VM may rely on evidence from before a
	// change. A revision is in force only after it has been covered (see
	// confirmer.Progress) for this time.
	maxEvidenceAge = guard.DefaultMaxAge + timekeeper.DriftMargin/2
)

// Waiter reads from the store which VMs have confirmed a revision.
type Waiter struct {
	Platform connector.Platform
}

// Report states whether a revision is in force and which VMs have confirmed
// it.
type Report struct {
	Revision uint64
	// InForce is true if every registered VM has confirmed the revision or is
	// certain to refuse requests until it has the revision. Requests of
	// organisations that are served when cut off are the exception.
	InForce   bool
	Confirmed int
	// Missing has the names of the VMs that have not confirmed, sorted.
	Missing []string
	// Refusing is true if VMs are missing and are certain to refuse requests.
	Refusing bool
}

// Wait returns when the revision is in force or, with the last report, when
// the context ends. If onReport is not nil, it is called with every report.
// Wait returns an error only if no report could be made before the context
// ended.
func (waiter *Waiter) Wait(ctx context.Context, revision uint64, onReport func(Report)) (Report, error) {
	report := Report{Revision: revision}
	reported := false
	var coveredSince time.Time
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		readAt := time.Now()
		progress, err := waiter.evaluate(ctx, revision)
		if err == nil {
			if !progress.Covered {
				coveredSince = time.Time{}
			} else if coveredSince.IsZero() {
				coveredSince = time.Now()
			}
			settled := progress.Covered && readAt.Sub(coveredSince) >= maxEvidenceAge
			report = Report{
				Revision: revision, InForce: settled, Confirmed: progress.Confirmed,
				Missing: progress.Missing, Refusing: settled && len(progress.Missing) > 0,
			}
			reported = true
			if onReport != nil {
				onReport(report)
			}
		}
		if report.InForce {
			return report, nil
		}
		select {
		case <-ctx.Done():
			if !reported {
				return report, fmt.Errorf("read which VMs have confirmed revision %d: %w", revision, err)
			}
			return report, nil
		case <-ticker.C:
		}
	}
}

func (waiter *Waiter) evaluate(ctx context.Context, revision uint64) (confirmer.Progress, error) {
	records := recorder.Recorder{Platform: waiter.Platform}
	registrations, err := records.Registrations(ctx)
	if err != nil {
		return confirmer.Progress{}, err
	}
	confirmed, err := records.Confirmed(ctx)
	if err != nil {
		return confirmer.Progress{}, err
	}
	return confirmer.Evaluate(revision, registrations, confirmed), nil
}
