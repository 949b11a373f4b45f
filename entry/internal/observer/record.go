package observer

import (
	"godwitramp.example/core/configurator"
	"godwitramp.example/entry/internal/forwarder"
)

// FromRecord returns the observation of a forwarded request. The table, which may be
// nil, provides its service and organisation.
func FromRecord(record forwarder.Record, table *configurator.Table) Observation {
	observation := Observation{
		Status: record.Status, Outcome: outcomeOf(record), Latency: record.Latency, Attempts: record.Attempts,
	}
	if table != nil {
		observation.Service = table.Service(record.Service)
		observation.Organisation = table.Organisation(record.Organisation)
	}
	return observation
}

func outcomeOf(record forwarder.Record) Outcome {
	switch {
	case record.CallerGone:
		return Abandoned
	case record.Outcome == forwarder.NotRun:
		return NotRun
	case record.Outcome == forwarder.Unknown:
		return Unknown
	case record.Complete:
		return Answered
	default:
		return Truncated
	}
}

// FromRefusal returns the observation of a request that wasn't admitted.
func FromRefusal(job forwarder.Job, refusal forwarder.Refusal) Observation {
	return Observation{
		Service: job.Service, Organisation: job.Organisation, Status: refusal.Status, Outcome: NotRun, Reason: refusal.Reason,
	}
}
