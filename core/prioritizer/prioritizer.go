// Package prioritizer decides which requests of a service go first when the targets are full. It is meant for few
// requests, few slots per target and bursts of one kind of request, which would otherwise queue at the targets before
// more urgent ones: a target serves them in the order of their arrival.
//
// Requests of the most urgent route are always sent, whatever the priority of their organisation, and no request waits or
// is refused unless one of a more urgent route was sent by the VM's group or waited at the VM lately. Otherwise, while
// the requests that a VM knows of, and an estimate of those that it doesn't, nearly fill the slots, less urgent ones wait
// at the VM until the VM's group uses less than its part of the slots. They are sent in the order of their ranks; among organisations of a rank, the one to which the fewest
// requests were sent lately goes first. A request that has waited as long as its objective permits is refused if no
// known slot is free, or if the group uses its part and a target has rejected requests lately; otherwise it is sent. A
// small share of the requests sent is reserved for ranks that were passed over.
//
// The order by rank at admission is that of DAGOR (Zhou et al., Overload Control for Scaling WeChat Microservices,
// 2018), and requests that can't meet their objective any more are refused early as in Breakwater (Cho et al., 2020).
//
// # Usage
//
//	prioritizer := &prioritizer.Prioritizer{}
//	prioritizer.SetRanks(prioritizer.Ranks(configuration))
//	ticket := &prioritizer.Ticket{Service: service, Rank: rank, MaxWait: maxWait}
//	switch prioritizer.Enter(ticket, load, random, now) {
//	case prioritizer.Send:
//	case prioritizer.Wait: // until Release or Abandon returns the ticket
//	case prioritizer.Refuse:
//	}
package prioritizer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Verdict is the decision on a request.
type Verdict int

// The verdicts.
const (
	Send Verdict = iota
	Wait
	Refuse
)

// Factor is what decided on a request.
type Factor string

// The factors. The first five are those of requests that are sent, the others also of requests that are refused.
const (
	// MostUrgent requests, those of the most urgent route of their service, are always sent.
	MostUrgent Factor = "most-urgent"
	// Room means that the service's slots aren't used up.
	Room Factor = "room"
	// NoCompetition means that no request of a more urgent route is known that would benefit from a wait.
	NoCompetition Factor = "no-competition"
	// ReservedShare means that a request was sent, as its rank had been passed over for long.
	ReservedShare Factor = "reserved-share"
	// NoTarget means that no target can take requests at all, which isn't decided here.
	NoTarget Factor = "no-target"
	// Waited means that the request has waited as long as it may.
	Waited Factor = "waited"
	// TooLate means that the requests before it would take longer than it may wait.
	TooLate Factor = "too-late"
	// QueueFull means that too many requests wait.
	QueueFull Factor = "queue-full"
)

const (
	// fill is the part of the slots that requests of the least urgent rank may use. The rest is for more urgent
	// ones, whose arrival isn't known in advance. Ranks between have a part between.
	fill = 0.9
	// reservedShare is the share of the requests sent that is reserved for ranks that were passed over.
	reservedShare = 0.05
	// maxWaiting and maxWaitingBytes bound the requests that wait at one VM, at all services together.
	maxWaiting      = 64
	maxWaitingBytes = 8 << 20
	// competitionTime is how long a request of a more urgent route shows that such requests compete for the slots. A group
	// of a fleet of 300 VMs hears of only one in 0.8 s; with 1 s it took a burst for over in 0.29 of the seconds.
	competitionTime = 3 * time.Second
	// maxOrganisations is the number of organisations of a service above which those with little usage are forgotten.
	maxOrganisations = 256
	// minRetryAfter and maxRetryAfter bound Retry-After before its jitter. The minimum is the time in which a full
	// target may have room again.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// minPollInterval and maxPollInterval bound the time between two decisions on waiting requests. It is small
	// against the objectives, and large against the time of a message within a data centre, 1 ms.
	minPollInterval = 5 * time.Millisecond
	maxPollInterval = 35 * time.Millisecond
	// rateMemory is the weight of the latest request in averages over requests.
	rateMemory = 0.1
)

// PollInterval returns the time until the next call of Release. It is random, so that the VMs of a group, which see the
// same room, rarely decide within the time that their messages take.
func PollInterval(random *rand.Rand) time.Duration {
	return minPollInterval + time.Duration(random.Float64()*float64(maxPollInterval-minPollInterval))
}

// Prioritizer holds the requests of one VM at services with several ranks. It isn't safe for concurrent use.
type Prioritizer struct {
	services map[string]*service
	waiting  int
	bytes    int
	sends    uint64
}

// organisation identifies an organisation's requests of a rank.
type organisation struct {
	rank Rank
	name string
}

// service is the state of a service with several ranks.
type service struct {
	ranks []Rank
	// seenAt is when a request of a route with a priority was last sent by a VM of the group, or waited at this VM.
	seenAt  map[int]time.Duration
	demand  demand
	waiting []*Ticket
	// organisations are those that sent requests lately.
	organisations map[organisation]*usage
	// credit is the number of requests that ranks that were passed over may send without room. lastSent is the
	// count of sends at the latest one of each rank.
	credit   float64
	lastSent map[Rank]uint64
	// releasedAt is when the latest waiting ticket was sent, or the first began to wait. interval is the average time
	// between these.
	releasedAt, interval time.Duration
	// refused is the share of the less urgent requests that was refused lately.
	refused float64
	active  bool
}

// SetRanks sets the ranks of each service. It returns the tickets that wait at services that have a single rank now;
// they are to be sent.
func (prioritizer *Prioritizer) SetRanks(ranks map[string][]Rank) []*Ticket {
	services := make(map[string]*service)
	for name, ranks := range ranks {
		if len(ranks) < 2 {
			continue
		}
		known := prioritizer.services[name]
		if known == nil {
			known = &service{organisations: make(map[organisation]*usage), lastSent: make(map[Rank]uint64), seenAt: make(map[int]time.Duration)}
		}
		known.ranks = ranks
		services[name] = known
	}
	var released []*Ticket
	for name, service := range prioritizer.services {
		if services[name] != nil {
			continue
		}
		for _, ticket := range service.waiting {
			prioritizer.waiting--
			prioritizer.bytes -= ticket.Bytes
			ticket.Verdict, ticket.Factor = Send, Room
			released = append(released, ticket)
		}
	}
	prioritizer.services = services
	return released
}

// Ranked reports whether the requests of the service have several ranks. No other service's requests may enter.
func (prioritizer *Prioritizer) Ranked(service string) bool {
	return prioritizer.services[service] != nil
}

// Waiting returns the number of tickets that wait at all services.
func (prioritizer *Prioritizer) Waiting() int { return prioritizer.waiting }

// WaitingAt returns the number of tickets that wait at the service.
func (prioritizer *Prioritizer) WaitingAt(name string) int {
	if service := prioritizer.services[name]; service != nil {
		return len(service.waiting)
	}
	return 0
}

// Position returns the position of the ticket's rank among those of its service, 0 for the most urgent.
func (prioritizer *Prioritizer) Position(ticket *Ticket) int {
	if service := prioritizer.services[ticket.Service]; service != nil {
		if i := slices.Index(service.ranks, ticket.Rank); i >= 0 {
			return i
		}
	}
	return 0
}

// Observe records the load of a service. It is called when known requests start and end.
func (prioritizer *Prioritizer) Observe(name string, load Load, now time.Duration) {
	if service := prioritizer.services[name]; service != nil {
		service.observe(load, now)
	}
}

func (service *service) observe(load Load, now time.Duration) {
	service.demand.observe(load, now)
	service.active = len(service.waiting) > 0 || load.Slots > 0 && service.demand.total(load) >= fill*float64(load.Slots)
}

// Enter decides on a new ticket. A ticket that has to leave for it is returned as evicted, with its verdict.
func (prioritizer *Prioritizer) Enter(ticket *Ticket, load Load, random *rand.Rand, now time.Duration) (verdict Verdict, evicted *Ticket) {
	service := prioritizer.services[ticket.Service]
	if service == nil {
		ticket.Verdict, ticket.Factor = Send, Room
		return Send, nil
	}
	service.observe(load, now)
	ticket.enteredAt, ticket.Seen = now, load
	switch ahead, before := service.ahead(ticket, now); {
	case ticket.Rank.Route <= service.mostUrgentRoute():
		return prioritizer.send(service, ticket, MostUrgent, now), nil
	case load.Slots == 0 && ahead == 0:
		return prioritizer.send(service, ticket, NoTarget, now), nil
	case ahead == 0 && service.hasRoom(ticket.Rank, load):
		return prioritizer.send(service, ticket, Room, now), nil
	case !service.contested(ticket.Rank, now):
		return prioritizer.send(service, ticket, NoCompetition, now), nil
	case ahead == 0 && service.credit >= 1 && service.starved(ticket.Rank):
		service.credit--
		return prioritizer.send(service, ticket, ReservedShare, now), nil
	case ticket.MaxWait <= 0 || service.interval > 0 && time.Duration(before+1)*service.interval > 2*ticket.MaxWait:
		return prioritizer.giveUp(service, ticket, TooLate, load, random, now), nil
	}
	if prioritizer.waiting >= maxWaiting || prioritizer.bytes+ticket.Bytes > maxWaitingBytes {
		evicted = service.evictee(ticket)
		if evicted == nil || prioritizer.bytes-evicted.Bytes+ticket.Bytes > maxWaitingBytes {
			return prioritizer.giveUp(service, ticket, QueueFull, load, random, now), nil
		}
		prioritizer.leave(service, evicted, now)
		prioritizer.giveUp(service, evicted, QueueFull, load, random, now)
	}
	if len(service.waiting) == 0 {
		service.releasedAt = now
	}
	service.waiting = append(service.waiting, ticket)
	service.active = true
	prioritizer.waiting++
	prioritizer.bytes += ticket.Bytes
	ticket.Verdict = Wait
	return Wait, evicted
}

// ObserveSent records that a VM of the group has sent a request of a route with the priority to the service.
func (prioritizer *Prioritizer) ObserveSent(name string, priority int, now time.Duration) {
	service := prioritizer.services[name]
	if service == nil || !slices.ContainsFunc(service.ranks, func(rank Rank) bool { return rank.Route == priority }) {
		return
	}
	service.seenAt[priority] = now
}

func (service *service) mostUrgentRoute() int {
	return slices.MinFunc(service.ranks, func(a, b Rank) int { return cmp.Compare(a.Route, b.Route) }).Route
}

// contested reports whether requests of a more urgent route compete for the slots with those of the rank.
func (service *service) contested(rank Rank, now time.Duration) bool {
	for priority, seenAt := range service.seenAt {
		if priority < rank.Route && now-seenAt <= competitionTime {
			return true
		}
	}
	return slices.ContainsFunc(service.waiting, func(ticket *Ticket) bool { return ticket.Rank.Route < rank.Route })
}

// hasRoom reports whether a request of the rank may be sent: the slots aren't nearly used up, or the known requests
// use less than their part of them.
func (service *service) hasRoom(rank Rank, load Load) bool {
	if load.Slots == 0 {
		return false
	}
	return !service.active || float64(load.InFlight) < service.fillOf(rank)*load.part()
}

// fillOf returns the part of the slots that requests of the rank may use.
func (service *service) fillOf(rank Rank) float64 {
	for i, known := range service.ranks {
		if rank.Compare(known) <= 0 {
			return 1 - (1-fill)*float64(i)/float64(len(service.ranks)-1)
		}
	}
	return fill
}

// starved reports whether none of the waiting ranks was passed over for longer.
func (service *service) starved(rank Rank) bool {
	for _, ticket := range service.waiting {
		if service.lastSent[ticket.Rank] < service.lastSent[rank] {
			return false
		}
	}
	return true
}

// Release decides on waiting tickets of the service: those that no more urgent route competes with any more, those that
// have waited as long as they may, and the next one if there is room. It is called repeatedly while tickets wait. One
// ticket at a time is sent for the room, as the other VMs of the group see the same room.
func (prioritizer *Prioritizer) Release(name string, load Load, random *rand.Rand, now time.Duration) []*Ticket {
	service := prioritizer.services[name]
	if service == nil {
		return nil
	}
	service.observe(load, now)
	var decided []*Ticket
	for _, ticket := range slices.Clone(service.waiting) {
		if !service.contested(ticket.Rank, now) {
			prioritizer.leave(service, ticket, now)
			ticket.Seen = load
			prioritizer.send(service, ticket, NoCompetition, now)
			decided = append(decided, ticket)
		}
	}
	if ticket, factor := service.release(load, now); ticket != nil {
		prioritizer.leave(service, ticket, now)
		ticket.Seen = load
		if factor == ReservedShare {
			service.credit--
		}
		service.recordRelease(now)
		prioritizer.send(service, ticket, factor, now)
		decided = append(decided, ticket)
	}
	for i := 0; i < len(service.waiting); {
		ticket := service.waiting[i]
		if now-ticket.enteredAt < ticket.MaxWait {
			i++
			continue
		}
		prioritizer.leave(service, ticket, now)
		prioritizer.giveUp(service, ticket, Waited, load, random, now)
		decided = append(decided, ticket)
	}
	return decided
}

// release returns the waiting ticket that is to be sent now, or nil.
func (service *service) release(load Load, now time.Duration) (*Ticket, Factor) {
	if len(service.waiting) == 0 || load.Slots == 0 {
		return nil, ""
	}
	most := service.waiting[0].Rank
	for _, ticket := range service.waiting {
		if ticket.Rank.Compare(most) < 0 {
			most = ticket.Rank
		}
	}
	if service.hasRoom(most, load) {
		return service.next(most, now), Room
	}
	if service.credit < 1 {
		return nil, ""
	}
	for _, ticket := range service.waiting {
		if service.starved(ticket.Rank) {
			return service.next(ticket.Rank, now), ReservedShare
		}
	}
	return nil, ""
}

func (service *service) recordRelease(now time.Duration) {
	interval := now - service.releasedAt
	if service.interval == 0 {
		service.interval = interval
	}
	service.interval += time.Duration(rateMemory * float64(interval-service.interval))
	service.releasedAt = now
}

// Abandon removes a waiting ticket whose caller has left. It reports false if the ticket doesn't wait.
func (prioritizer *Prioritizer) Abandon(ticket *Ticket, now time.Duration) bool {
	service := prioritizer.services[ticket.Service]
	return service != nil && prioritizer.leave(service, ticket, now)
}

// leave removes a ticket from those that wait.
func (prioritizer *Prioritizer) leave(service *service, ticket *Ticket, now time.Duration) bool {
	if !service.remove(ticket) {
		return false
	}
	prioritizer.waiting--
	prioritizer.bytes -= ticket.Bytes
	ticket.Waited = now - ticket.enteredAt
	service.seenAt[ticket.Rank.Route] = now
	return true
}

// send counts a ticket that is sent.
func (prioritizer *Prioritizer) send(service *service, ticket *Ticket, factor Factor, now time.Duration) Verdict {
	prioritizer.sends++
	ticket.Verdict, ticket.Factor = Send, factor
	for _, other := range service.waiting {
		other.Passed++
	}
	service.lastSent[ticket.Rank] = prioritizer.sends
	service.seenAt[ticket.Rank.Route] = now
	if service.active && factor != ReservedShare {
		service.credit = min(1, service.credit+reservedShare)
	}
	if ticket.Rank.Route > service.mostUrgentRoute() {
		service.refused -= rateMemory * service.refused
	}
	service.recordUse(ticket, now)
	return Send
}

// giveUp refuses a ticket that can't wait any longer if no target could have taken it as far as the VM knows and requests
// of a more urgent route compete, and sends it otherwise.
func (prioritizer *Prioritizer) giveUp(service *service, ticket *Ticket, factor Factor, load Load, random *rand.Rand, now time.Duration) Verdict {
	ticket.Seen = load
	if !load.full() || !service.contested(ticket.Rank, now) {
		return prioritizer.send(service, ticket, factor, now)
	}
	service.refused += rateMemory * (1 - service.refused)
	// With a share p refused, 1/(1-p) times the requests served come; the return is spread over as much more time.
	mean := min(maxRetryAfter, time.Duration(float64(minRetryAfter)/max(0.01, 1-service.refused)))
	ticket.RetryAfter = mean + time.Duration(random.Float64()*2*float64(mean))
	ticket.Verdict, ticket.Factor = Refuse, factor
	return Refuse
}
