// Package waiter waits until a recorded revision is in force on every VM.
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
	// settleTime is how long evidence from before a change may still be in
	// use anywhere.
	settleTime = guard.DefaultMaxAge + timekeeper.DriftMargin/2
)

// Waiter asks the store what VMs have confirmed.
type Waiter struct {
	Platform connector.Platform
}

// Report says how far a revision has come.
type Report struct {
	Revision uint64
	// InForce is true when every registered VM has confirmed the revision or
	// is certain to refuse requests until it has the revision, but for those of
	// organisations that are served when cut off.
	InForce   bool
	Confirmed int
	// Missing are the VMs that have not confirmed, sorted.
	Missing []string
	// Refusing is true when the missing VMs are certain to refuse them.
	Refusing bool
}

// Wait returns when the revision is in force, or with the last report when
// the context ends. The progress, unless nil, gets every report. The error is
// non-nil only if no report could be made at all.
func (waiter *Waiter) Wait(ctx context.Context, revision uint64, progress func(Report)) (Report, error) {
	report := Report{Revision: revision}
	reported := false
	var coveredSince time.Time
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		asked := time.Now()
		verdict, err := waiter.judge(ctx, revision)
		if err == nil {
			if !verdict.Covered {
				coveredSince = time.Time{}
			} else if coveredSince.IsZero() {
				coveredSince = time.Now()
			}
			settled := verdict.Covered && asked.Sub(coveredSince) >= settleTime
			report = Report{
				Revision: revision, InForce: settled, Confirmed: verdict.Confirmed,
				Missing: verdict.Missing, Refusing: settled && len(verdict.Missing) > 0,
			}
			reported = true
			if progress != nil {
				progress(report)
			}
		}
		if report.InForce {
			return report, nil
		}
		select {
		case <-ctx.Done():
			if !reported {
				return report, fmt.Errorf("ask which VMs have confirmed revision %d: %w", revision, err)
			}
			return report, nil
		case <-ticker.C:
		}
	}
}

func (waiter *Waiter) judge(ctx context.Context, revision uint64) (confirmer.Progress, error) {
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
