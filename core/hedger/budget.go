package hedger

import (
	"math"
	"slices"
	"time"
)

const (
	// budgetParts is the number of parts of a window in which requests and hedges are counted.
	budgetParts = 20
	// reserved is the share of the limit that is left unused for hedges of other VMs that are not known yet.
	reserved = 0.1
	// deviations is how many standard deviations of the fleet's requests in a window are not counted: the window
	// after a hedge may have fewer requests than the one before it.
	deviations = 2
	// keptWindows is the number of windows over which requests are averaged. In a single one a group of a large
	// fleet has so few that chance decides whether it may send a hedge, and all those with luck exceed the limit.
	keptWindows = 4
	keptParts   = keptWindows*budgetParts + 1
)

const (
	// offerLifetime is how long an offer counts after it has been received: two of those sent every half second may be
	// lost. hopTime is offerLifetime and the time that an offer may take to arrive.
	offerLifetime = 1600 * time.Millisecond
	hopTime       = 2 * time.Second
	// maxPredecessors is the number of groups that may have the same successor.
	maxPredecessors = 4
	// maxKeptShare is the share of its own requests beyond which a group keeps no hedges that others offer: so many are
	// rarely slow at once.
	maxKeptShare = 0.25
	// tolerance covers the rounding errors of floating-point sums that should be whole numbers.
	tolerance = 1e-9
)

// Offer is what a group tells its successor, about itself and all groups of which it has offers: their hedges in a window
// that they will not send, and their requests in a window.
type Offer struct {
	// Hedges are without the margin for chance, which is that of all requests together.
	Hedges, Requests float64
	// Kept are the hedges in a window that the group itself may still send.
	Kept float64
}

// valid reports whether an offer of another VM can be true.
func (offer Offer) valid() bool {
	return offer.Kept >= 0 && offer.Hedges >= 0 && offer.Requests >= offer.Hedges && !math.IsInf(offer.Requests, 1)
}

// received is the last offer of another group.
type received struct {
	Offer
	from int
	at   time.Duration
}

// Successor returns the number of the group to which a group tells its offers, and false for group 0, to which all
// offers lead. Groups of a data centre have the same remainder of their number by the number of data centres. The way
// stays in the data centre up to its first group, and its length grows with the logarithm of the groups.
func Successor(group, centres int) (int, bool) {
	centres = max(1, centres)
	position, centre := group/centres, group%centres
	switch {
	case position > 0:
		return (position-1)/2*centres + centre, true
	case centre > 0:
		return (centre - 1) / 2, true
	}
	return 0, false
}

// Budget bounds the hedges of a service over the fleet. It is a VM's replica of its group's: requests and
// hedges of all VMs of the group are counted, and the hedges of any window stay below a share of the usual requests
// of a window, or of the last ones if these are significantly fewer. Unlike a token bucket it holds nothing from
// earlier windows, as hundreds of groups that spend one stored token each would exceed the share of a service with
// few requests. It isn't safe for concurrent use. Set the exported fields before the first call; Share and Window
// may change between calls.
type Budget struct {
	// Share is the number of hedges for each request, from 0 to 1.
	Share  float64
	Window time.Duration
	// Centres is the number of data centres, among which the groups are numbered in turn.
	Centres int

	// index is the number of the VM's group among the groups of the fleet.
	index, groups int
	// reach is the fraction of the group's VMs whose messages arrive, this VM included.
	reach float64
	// slots are the last parts of windows, part being the number of the current one.
	slots [keptParts]slot
	part  int64
	// received are the last offers of the predecessors, in its first elements. It is an array, as copies of a budget must
	// not share it.
	received     [maxPredecessors]received
	predecessors int
	// usual are the requests of the group in a window, and usualAt the part in which they were last computed. That
	// is once in a window: otherwise hedges would be sent whenever the number is high by chance.
	usual   float64
	usualAt int64
}

// slot counts what has happened in a part of the window.
type slot struct {
	// requests are those of the whole group, estimated from those that this VM knows of.
	requests float64
	// hedges are those that have started, and ended those that have ended. The messages about both may get lost.
	hedges, ended int
	// reach is the lowest of the part. It is 0 if the VM didn't know its group then.
	reach float64
	// promised is true if the group has made an offer in the part, and kept the lowest Kept of these offers.
	promised bool
	kept     float64
	// spare is the highest number of hedges that the group could have sent, if this VM offers for it. The group keeps the
	// highest of a window: with the current one, kept would fall at each fluctuation, and its lowest value counts for long.
	spare float64
}

// Place sets the number of the VM's group among the groups of the fleet. Hedges and requests of another place are
// forgotten, as the other VMs of the group are others.
func (budget *Budget) Place(index, groups int) {
	if budget.index != index || budget.groups != groups {
		budget.forget()
	}
	budget.index, budget.groups = index, groups
}

// SetReach sets the fraction of the group's VMs whose messages arrive, from 0 to 1. Without a call of it nothing is
// allowed.
func (budget *Budget) SetReach(reach float64, now time.Duration) {
	budget.advance(now)
	current := budget.current()
	current.reach = min(current.reach, reach)
	budget.reach = reach
}

// Request counts a first attempt of a VM of the group.
func (budget *Budget) Request(now time.Duration) {
	budget.advance(now)
	if budget.reach > 0 {
		budget.current().requests += 1 / budget.reach
	}
}

// Hedge counts the start of a hedge of a VM of the group.
func (budget *Budget) Hedge(now time.Duration) {
	budget.advance(now)
	budget.current().hedges++
}

// HedgeEnded counts the end of a hedge of a VM of the group, which shows that it was sent if the message about its
// start was lost.
func (budget *Budget) HedgeEnded(now time.Duration) {
	budget.advance(now)
	budget.current().ended++
}

// Allows reports whether one more hedge is within the limit. It takes nothing. Heard is the fraction of the group's
// VMs whose messages came a moment ago, this VM included: others may be cut off, and send hedges that this VM
// doesn't know of.
func (budget *Budget) Allows(heard float64, now time.Duration) bool {
	budget.advance(now)
	return float64(budget.sent()+1) <= budget.allowed(heard, now)
}

// sent returns the hedges of the group in the last window.
func (budget *Budget) sent() int {
	hedges, ended := 0, 0
	for age := range int64(budgetParts + 1) { // the current part may have just begun
		hedges += budget.slot(age).hedges
		ended += budget.slot(age).ended
	}
	return max(hedges, ended)
}

// allowed returns the hedges of a window that this VM's part of the group may send. Groups round down and offer the
// rest to their successor, which rounds down the sum of its own part and the offers. A group keeps what it promised until no
// group can have sent a hedge for the rest.
func (budget *Budget) allowed(heard float64, now time.Duration) float64 {
	reach := budget.leastReach(heard)
	if reach <= 0 || budget.Share <= 0 {
		return 0
	}
	part, ok := budget.parts(now)
	if !ok {
		return 0
	}
	allowed := part.Hedges - budget.margin(part)
	for age := range min(int64(keptParts), budget.promiseParts()) {
		if slot := budget.slot(age); slot.promised {
			allowed = min(allowed, slot.kept)
		}
	}
	return math.Floor(reach*allowed + tolerance)
}

// leastReach returns the lowest fraction of the group that was reached in the last window.
func (budget *Budget) leastReach(heard float64) float64 {
	for age := range int64(budgetParts + 1) {
		heard = min(heard, budget.slot(age).reach)
	}
	return heard
}

// parts returns the hedges in a window that belong to the group and to it by the offers of others, and the requests of
// all of them. It returns false while the VM doesn't know its group for a window.
func (budget *Budget) parts(now time.Duration) (Offer, bool) {
	requests, ok := budget.requests()
	total := Offer{Hedges: (1 - reserved) * budget.Share * requests, Requests: requests}
	for _, offer := range budget.received[:budget.predecessors] {
		if now-offer.at < offerLifetime {
			total.Hedges += offer.Hedges
			total.Requests += offer.Requests
		}
	}
	return total, ok
}

// margin returns the hedges that aren't used, as a window may have fewer requests by chance.
func (budget *Budget) margin(offer Offer) float64 {
	return deviations * budget.Share * math.Sqrt(offer.Requests)
}

// promiseParts returns for how many parts of a window a promise holds: until the hedges that the groups on the way to
// group 0 send for an offer are older than a window.
func (budget *Budget) promiseParts() int64 {
	hops := 0
	for group, ok := Successor(budget.index, budget.Centres); ok; group, ok = Successor(group, budget.Centres) {
		hops++
	}
	return budgetParts + 1 + int64(time.Duration(hops)*hopTime/max(1, budget.Window/budgetParts)) + 1
}

// Offer returns what the group leaves to its successor, and false if that is nothing. The other VMs of the group must be
// told by Offered, and the successor's by Receive. One VM of the group offers, about every half second. A group whose
// window is too short for the time that its promise would have to hold offers nothing.
func (budget *Budget) Offer(heard float64, now time.Duration) (Offer, bool) {
	budget.advance(now)
	reach := budget.leastReach(heard)
	part, ok := budget.parts(now)
	if _, has := Successor(budget.index, budget.Centres); !has || !ok || reach <= 0 || budget.Share <= 0 || budget.promiseParts() > keptParts {
		return Offer{}, false
	}
	requests, _ := budget.requests()
	spare := min(reach*(part.Hedges-budget.margin(part)), max(maxKeptShare, budget.Share)*requests)
	current := budget.current()
	current.spare = max(current.spare, spare)
	kept := 0.0
	for age := range int64(budgetParts + 1) {
		kept = max(kept, math.Floor(budget.slot(age).spare+tolerance))
	}
	left := reach*part.Hedges - max(kept, float64(budget.sent()))
	if left <= 0 {
		return Offer{}, false
	}
	offer := Offer{Hedges: left, Requests: part.Requests, Kept: kept}
	budget.Offered(offer, now)
	return offer, true
}

// Offered notes an offer of a VM of the group.
func (budget *Budget) Offered(offer Offer, now time.Duration) {
	budget.advance(now)
	if !offer.valid() {
		return
	}
	current := budget.current()
	if !current.promised || offer.Kept < current.kept {
		current.promised, current.kept = true, offer.Kept
	}
}

// Receive notes an offer of another group, if this one is its successor.
func (budget *Budget) Receive(from int, offer Offer, now time.Duration) {
	if successor, ok := Successor(from, budget.Centres); !ok || successor != budget.index || from < 0 || from >= budget.groups || !offer.valid() {
		return
	}
	i := slices.IndexFunc(budget.received[:budget.predecessors], func(known received) bool { return known.from == from })
	if i < 0 && budget.predecessors < maxPredecessors {
		i = budget.predecessors
		budget.predecessors++
	} else if i < 0 { // predecessors change with the number of data centres
		i = slices.IndexFunc(budget.received[:], func(known received) bool { return now-known.at >= offerLifetime })
	}
	if i < 0 {
		return
	}
	budget.received[i] = received{Offer: offer, from: from, at: now}
}

// requests returns the requests of the group that a window has at present. It returns false while the VM doesn't know
// its group for a window.
func (budget *Budget) requests() (float64, bool) {
	var windows []float64
	half, window := 0.0, 0.0
	for age := int64(1); age <= keptWindows*budgetParts; age++ { // the current part is incomplete
		slot := budget.slot(age)
		if slot.reach <= 0 {
			break // before that this VM did not know its group
		}
		window += slot.requests
		if age == budgetParts/2 {
			half = window
		}
		if age%budgetParts == 0 {
			windows = append(windows, window)
			window = 0
		}
	}
	if len(windows) == 0 {
		return 0, false
	}
	last := windows[0]
	if budget.usualAt == 0 || budget.part-budget.usualAt >= budgetParts {
		budget.usual, budget.usualAt = lowerHalf(windows), budget.part
	}
	return min(budget.usual, atMost(last), 2*atMost(half)), true
}

// lowerHalf returns the mean of the lower half of the values, which a burst doesn't raise. It sorts them.
func lowerHalf(values []float64) float64 {
	slices.Sort(values)
	lower := values[:max(1, len(values)/2)]
	sum := 0.0
	for _, value := range lower {
		sum += value
	}
	return sum / float64(len(lower))
}

// atMost returns the usual number of requests in a time, if there were so many in one.
func atMost(requests float64) float64 { return requests + math.Sqrt(requests) }

// forget drops what the budget knows of the past.
func (budget *Budget) forget() {
	budget.slots, budget.usual, budget.usualAt = [keptParts]slot{}, 0, 0
	budget.predecessors = 0
}

func (budget *Budget) current() *slot { return budget.slot(0) }

// slot returns the part of an age, in parts.
func (budget *Budget) slot(age int64) *slot {
	return &budget.slots[(budget.part-age+keptParts)%keptParts]
}

// advance starts the parts up to now.
func (budget *Budget) advance(now time.Duration) {
	part := int64(now / max(1, budget.Window/budgetParts))
	if part < budget.part { // Window has become longer
		budget.forget()
		budget.part = part
	}
	for range min(keptParts, part-budget.part) {
		budget.part++
		*budget.current() = slot{reach: budget.reach}
	}
	budget.part = part // if more have passed, all are alike
}
