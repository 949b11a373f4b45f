package placer

import "time"

// maxReportedSuspicion is the suspicion of a target below which its immediate failure is
// reported. Above it a further failure would tell the other VMs nothing new.
const maxReportedSuspicion = 0.6

// Failure is the end of an attempt that failed, or of a request that got no attempt.
type Failure struct {
	Service string
	Outcome Outcome
	// Suspicion is that of the target before the outcome was recorded.
	Suspicion float64
	// Lost is true if the request has failed too.
	Lost bool
}

// Report is what the VMs outside the group are told of a failure.
type Report struct {
	// Target is true if they are told the outcome.
	Target bool
	// Request is true if they are told that a request has failed, with the Load of the
	// service in this group.
	Request bool
	Load    float64
}

// Report returns what to report of a failure. Lost requests count whatever the evidence on
// the target is, as they make the service degraded. Of other failures than immediate ones,
// only answers of the target are reported: a VM that is slow or cut off itself sees
// timeouts at all targets.
func (placer *Placer) Report(failure Failure, now time.Duration) Report {
	report := Report{
		Target:  failure.Outcome == Failed && failure.Suspicion < maxReportedSuspicion,
		Request: failure.Lost && !placer.fleetKnows(failure.Service, now),
	}
	if report.Request {
		report.Target = report.Target || failure.Outcome == FailedLate
		report.Load = placer.Load(failure.Service, now)
	}
	return report
}

const (
	// enoughFailures is the weight of reported failures of the fleet that keeps a service
	// degraded if few of them get lost.
	enoughFailures = 30
	// enoughFailureShare is the same as a share of its requests.
	enoughFailureShare = 2 * degradedFailureShare
)

// fleetKnows reports whether the fleet knows of so many lost requests of the service that
// more reports change nothing. This limits the reports while all requests fail.
func (placer *Placer) fleetKnows(service string, now time.Duration) bool {
	known := placer.failureRatesOf(service)
	return known.fleetFailed.weightAt(now) >= enoughFailures && known.fleetShares.perSecond(now)*placer.fleetShare() >= enoughFailureShare
}
