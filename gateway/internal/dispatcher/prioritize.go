package dispatcher

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"godwitramp.example/core/drainer"
	"godwitramp.example/core/indexer"
	"godwitramp.example/core/prioritizer"
	"godwitramp.example/gateway/internal/messenger"
)

// outranked is the reason of refusals because more urgent requests use the targets.
const outranked = "outranked"

// prioritize waits until the request may be sent, if the service has requests of several ranks and its targets are
// full. It returns a refusal if the request can't be sent in time.
func (handler *handler) prioritize(ctx context.Context) *refusal {
	dispatcher, job := handler.dispatcher, handler.job
	state := &dispatcher.state
	if !state.ranked(job.service) {
		return nil
	}
	ticket := &prioritizer.Ticket{
		Service: job.service, Rank: prioritizer.RankOf(job.route, job.organisation), Bytes: len(job.call.Body),
		MaxWait: prioritizer.MaxWait(job.route.LatencyObjective, time.Until(job.deadline), time.Since(job.call.Received), dispatcher.latency.usual(job.service)),
	}
	if job.organisation != nil {
		ticket.Organisation = job.organisation.Name
	}
	handler.ticket = ticket
	decided := make(chan struct{})
	ticket.Notify = func() { close(decided) }
	if state.enter(ticket, dispatcher.Clock()) == prioritizer.Wait {
		dispatcher.pollWaiting(job.service)
		select {
		case <-decided:
		case <-ctx.Done():
			if !state.abandon(ticket, dispatcher.Clock()) {
				<-decided
			}
		}
	}
	countPrioritized(ticket, state.positionOf(ticket))
	switch {
	case ctx.Err() != nil:
		return nil // the caller handles it
	case ticket.Verdict == prioritizer.Refuse:
		return &refusal{status: http.StatusServiceUnavailable, reason: outranked, retryAfter: ticket.RetryAfter}
	case ticket.Waited > 0 && !dispatcher.askStop(job, drainer.Policy.Fits):
		return &refusalStopping
	}
	return nil
}

// pollWaiting decides on waiting requests of a service at intervals until none waits. It does nothing if that is
// being done already.
func (dispatcher *Dispatcher) pollWaiting(service string) {
	state := &dispatcher.state
	if !state.beginPolling(service) {
		return
	}
	go func() {
		for {
			interval, more := state.pollInterval(service)
			if !more {
				return
			}
			time.Sleep(interval) // requests wait for a bounded time, so that this ends
			state.release(service, dispatcher.Clock())
		}
	}()
}

// priorityField returns the value of the log field of a request at a service with several ranks.
func (handler *handler) priorityField() string {
	ticket := handler.ticket
	return fmt.Sprintf("organisation=%d route=%d wait=%s factor=%s passed=%d in-flight=%d slots=%d",
		ticket.Rank.Organisation, ticket.Rank.Route, ticket.Waited.Round(time.Millisecond), ticket.Factor, ticket.Passed, ticket.Seen.InFlight, ticket.Seen.Slots)
}

// maxRankLabel bounds the label of metrics: less urgent ranks count together.
const maxRankLabel = 3

// countPrioritized counts a request at a service with several ranks.
func countPrioritized(ticket *prioritizer.Ticket, position int) {
	rank := strconv.Itoa(position)
	if position >= maxRankLabel {
		rank = strconv.Itoa(maxRankLabel) + "+"
	}
	verdict := "sent"
	switch {
	case ticket.Verdict == prioritizer.Refuse:
		verdict = "refused"
	case ticket.Verdict == prioritizer.Wait:
		verdict = "abandoned"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`gateway_prioritized_total{rank=%q,verdict=%q,factor=%q}`, rank, verdict, ticket.Factor)).Inc()
	if ticket.Waited > 0 {
		metrics.GetOrCreateHistogram("gateway_priority_wait_seconds").Update(ticket.Waited.Seconds())
	}
}

// configurePriorities applies the policy and the priorities of a configuration. The mutex is held.
func (state *state) configurePriorities(index *indexer.Index) {
	var ranks map[string][]prioritizer.Rank
	switch {
	case state.policy.Prioritise:
		if state.prioritizer == nil {
			state.prioritizer = &prioritizer.Prioritizer{}
		}
		ranks = prioritizer.Ranks(&index.Configuration)
	case state.prioritizer == nil:
		return
	}
	for _, ticket := range state.prioritizer.SetRanks(ranks) {
		ticket.Notify()
	}
	if !state.policy.Prioritise {
		state.prioritizer, state.priorities = nil, nil
		return
	}
	state.priorities = make(map[string]int)
	for i := range index.Routes {
		state.priorities[index.Routes[i].Name] = index.Routes[i].Priority
	}
}

func (state *state) ranked(service string) bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.isRanked(service)
}

// isRanked reports whether requests of the service are ordered by rank. The mutex is held.
func (state *state) isRanked(service string) bool {
	return state.prioritizer != nil && state.prioritizer.Ranked(service)
}

// load returns what the VM knows of the targets of a service. The mutex is held.
func (state *state) load(service string, now time.Duration) prioritizer.Load {
	occupancy := state.placer.Occupancy(service, prioritizer.EvidenceTime, now)
	return prioritizer.Load{
		Slots: occupancy.Slots, InFlight: occupancy.InFlight, Free: occupancy.Free, Rejected: occupancy.Rejected,
		Share: state.groupShare * state.reachableFraction,
	}
}

// observeLoad records the load of a service with several ranks after known requests have started or ended. The mutex
// is held.
func (state *state) observeLoad(service string, now time.Duration) {
	if state.isRanked(service) {
		state.prioritizer.Observe(service, state.load(service, now), now)
	}
}

// observeSent records that another VM of the group has sent a request, if the event states its route. The mutex is
// held.
func (state *state) observeSent(event messenger.Event, now time.Duration) {
	if !state.isRanked(event.Service) {
		return
	}
	if priority, ok := state.priorities[event.Route]; ok {
		state.prioritizer.ObserveSent(event.Service, priority, now)
	}
}

func (state *state) enter(ticket *prioritizer.Ticket, now time.Duration) prioritizer.Verdict {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if state.prioritizer == nil { // switched off meanwhile
		ticket.Verdict, ticket.Factor = prioritizer.Send, prioritizer.Room
		return prioritizer.Send
	}
	verdict, evicted := state.prioritizer.Enter(ticket, state.load(ticket.Service, now), state.random, now)
	if evicted != nil {
		evicted.Notify()
	}
	return verdict
}

func (state *state) abandon(ticket *prioritizer.Ticket, now time.Duration) bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.prioritizer != nil && state.prioritizer.Abandon(ticket, now)
}

func (state *state) positionOf(ticket *prioritizer.Ticket) int {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if state.prioritizer == nil {
		return 0
	}
	return state.prioritizer.Position(ticket)
}

// beginPolling reports whether a loop is to be started that releases waiting requests of the service.
func (state *state) beginPolling(service string) bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if state.polling == nil {
		state.polling = make(map[string]bool)
	}
	if state.polling[service] {
		return false
	}
	state.polling[service] = true
	return true
}

// pollInterval returns the time until the next release, or false if no request waits; the loop ends then.
func (state *state) pollInterval(service string) (time.Duration, bool) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if state.prioritizer == nil || state.prioritizer.WaitingAt(service) == 0 {
		delete(state.polling, service)
		return 0, false
	}
	return prioritizer.PollInterval(state.random), true
}

func (state *state) release(service string, now time.Duration) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if !state.isRanked(service) {
		return // a new configuration has released all
	}
	for _, ticket := range state.prioritizer.Release(service, state.load(service, now), state.random, now) {
		ticket.Notify()
	}
}
