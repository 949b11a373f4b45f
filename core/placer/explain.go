package placer

import (
	"maps"
	"slices"
	"time"
)

// Candidate is a target and what counts for and against it in a decision.
type Candidate struct {
	Target
	Region string
	// Eligible is true if the attempt may go to the target.
	Eligible        bool
	Cost, Suspicion float64
	InFlight        int
	Reasons         []Reason
}

// Reason is something that counts for or against a target.
type Reason struct {
	Name string
	// Age is the time since it happened, and Remaining how long it lasts, 0 if unknown.
	Age, Remaining time.Duration
}

// Candidates returns all targets of the service, in the order of their IDs. It changes nothing if it is called on
// a Snapshot.
func (placer *Placer) Candidates(info PickInfo) []Candidate {
	var candidates []Candidate
	for _, target := range placer.byService[info.Service] {
		candidate := Candidate{
			Target: target.Target, Region: placer.Regions[target.DataCentre], Eligible: placer.eligible(target, info) && !slices.Contains(info.Tried, target.ID),
			Cost: placer.cost(target, info), Suspicion: target.suspicion.at(info.Now), InFlight: target.inFlight(info.Now), Reasons: placer.reasons(target, info),
		}
		if !candidate.Eligible && len(candidate.Reasons) == 0 {
			candidate.Reasons = []Reason{{Name: "not-eligible"}}
		}
		candidates = append(candidates, candidate)
	}
	slices.SortFunc(candidates, func(a, b Candidate) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return candidates
}

// reasons returns what counts for or against a target besides its place and load.
func (placer *Placer) reasons(target *target, info PickInfo) []Reason {
	var reasons []Reason
	add := func(applies bool, name string, age, remaining time.Duration) {
		if applies {
			reasons = append(reasons, Reason{Name: name, Age: age, Remaining: remaining})
		}
	}
	add(!placer.Permits(target.Target, info.Regions), "not-a-home-region", 0, 0)
	add(target.isLeaving(), "leaving", 0, 0)
	add(target.evacuated, "evacuated", 0, 0)
	add(target.coolingDown(info.Now), "cooling-down", 0, target.coolDownUntil-info.Now)
	add(target.backoffUntil > info.Now, "backing-off", 0, target.backoffUntil-info.Now)
	if target.limit != nil {
		add(true, "limited", info.Now-target.limit.namedAt, placer.limitWait(target, info.Now))
	}
	add(slices.Contains(info.Tried, target.ID), "tried", 0, 0)
	add(target.failures > 0, "failed", info.Now-target.failedAt, 0)
	add(target.rejected, "rejected", info.Now-target.rejectedAt, 0)
	add(placer.isCold(target, info.Now), "cold", info.Now-max(target.warmup.reportedAt, target.warmup.probedAt, target.warmup.own.at, target.warmup.peers.at), placer.warmupWait(target, info.Now))
	add(target.warmUntil > info.Now, "just-started", 0, target.warmUntil-info.Now)
	add(target.answered, "answered", info.Now-target.answeredAt, 0)
	return reasons
}

// Snapshot returns a copy that decides about the services as the Placer does, for trying decisions without
// consequences.
func (placer *Placer) Snapshot(services []string) *Placer {
	snapshot := *placer
	snapshot.byID, snapshot.byService = make(map[string]*target), make(map[string][]*target)
	snapshot.failureRates = make(map[string]*failureRates)
	snapshot.near, snapshot.leaving = maps.Clone(placer.near), maps.Clone(placer.leaving)
	snapshot.witnesses, snapshot.cold = slices.Clone(placer.witnesses), maps.Clone(placer.cold)
	snapshot.evacuated, snapshot.ownInFlight = maps.Clone(placer.evacuated), maps.Clone(placer.ownInFlight)
	for _, service := range services {
		if snapshot.byService[service] != nil {
			continue
		}
		for _, known := range placer.byService[service] {
			copied := *known
			copied.peerStarts = slices.Clone(known.peerStarts)
			if known.limit != nil {
				limit := *known.limit
				copied.limit = &limit
			}
			if known.warmup.bucket != nil {
				bucket := *known.warmup.bucket
				copied.warmup.bucket = &bucket
			}
			snapshot.byID[copied.ID] = &copied
			snapshot.byService[service] = append(snapshot.byService[service], &copied)
		}
		if rates := placer.failureRates[service]; rates != nil {
			copied := *rates
			snapshot.failureRates[service] = &copied
		}
	}
	return &snapshot
}
