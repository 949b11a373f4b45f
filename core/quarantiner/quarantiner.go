// Package quarantiner finds requests that crash the targets that run them, and blocks them.
//
// A target that crashes takes all its requests with it, so that most requests of a crash are
// innocent. The cause takes part in each crash and is never answered; others are answered
// sooner or later, which clears them. A request is blocked once it has crashed three targets
// one after the other without an answer. Crashes that happen at once count little more than
// one, since a failure of power or of a switch ends many targets, and a request that many
// callers send at the same time is on all of them. Where a blocked request took part, a crash
// no longer counts against others.
//
// A target may also crash so that its connections stay open. A Watch says when to look whether
// that is so, and a Look what was seen. Runs at such targets end when they are found to be down, and
// those that began after that don't count.
//
// All VMs of a fleet tell each other of crashes and answers, and decide alike.
//
// # Usage
//
//	quarantiner := &quarantiner.Quarantiner{}
//	changes := quarantiner.RecordCrash(run, now)
//	if until, blocked := quarantiner.BlockedUntil(fingerprint, now); blocked {
//		// Refuse the request.
//	}
//	cleared := quarantiner.RecordAnswer(fingerprint, now) // tell the other VMs if true
//
//	watch := &quarantiner.Watch{Usual: usual}
//	time.Sleep(watch.Next())
//	if (quarantiner.Look{Reachable: reachable, OthersReachable: others}).Judge() == quarantiner.Crashed {
//		// Record a crash.
//	}
package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"godwitramp.example/core/fingerprinter"
)

const (
	// crashesToBlock is the number of targets that a request crashes before it is blocked.
	crashesToBlock = 3
	// overlapWeight is the weight of a crash whose run overlaps an earlier one, and
	// maxOverlapWeight the most that runs that overlap count in all, retries among them.
	overlapWeight    = 0.5
	maxOverlapWeight = 2
	// clockSlack is the error of times that VMs tell each other: the way of a message.
	clockSlack = 50 * time.Millisecond
	// defaultBlockTime applies if BlockTime is zero.
	defaultBlockTime = 2 * time.Minute
	// maxBlockTime limits the duration of a block.
	maxBlockTime = time.Hour
	// memory is how long a crash counts.
	memory = 10 * time.Minute
	// maxRequests limits the requests that are remembered, maxRuns the runs of each, and maxInstances the
	// instances that have crashed.
	maxRequests  = 1024
	maxRuns      = 16
	maxInstances = 4096
)

// Instance is one start of a target.
type Instance struct {
	Target      string
	Incarnation int64
}

// Run is a run of a request that ended with a crash of its target. Times are on the monotonic
// clock of this VM. If the crash ended no connection, End is the first time at which the target
// was found to be down.
type Run struct {
	Request    fingerprinter.Fingerprint
	At         Instance
	Start, End time.Duration
	// Follows is true if it is a retry after a run that had ended with the crash of another target.
	Follows bool
}

// Block is a request that must not be sent.
type Block struct {
	Request fingerprinter.Fingerprint
	// CrashedAt is the time of its last known crash.
	CrashedAt time.Duration
	Until     time.Duration
	// Count is the number of blocks so far without an answer between them.
	Count int
}

// Change is a request that has become blocked, or that isn't blocked any more because another
// one explains its crashes.
type Change struct {
	Block
	// Blocked is false if the block has ended.
	Blocked bool
	// Crashes is the number of crashes that are known of the request.
	Crashes int
}

// Quarantiner holds what a VM knows of crashes. Its zero value is ready to use. It isn't safe
// for concurrent use.
type Quarantiner struct {
	// BlockTime is the duration of the first block of a request. It doubles with each block that
	// follows a crash after the one before, up to an hour. Zero counts as two minutes. It may
	// change between calls.
	BlockTime time.Duration

	requests map[fingerprinter.Fingerprint]*request
	// downAt are the times at which instances were first known to be down.
	downAt map[Instance]time.Duration
}

// request is what is known of a request.
type request struct {
	// runs are those since the last answer, the latest maxRuns by their ends.
	runs []Run
	// answeredAt is the time of the last answer. It is only set if answered is true.
	answeredAt time.Duration
	answered   bool
	block      Block
}

// RecordCrash adds a run that ended with a crash, found by this VM or another. It returns the
// requests whose state has changed.
func (quarantiner *Quarantiner) RecordCrash(run Run, now time.Duration) []Change {
	quarantiner.recordDown(run, now)
	known := quarantiner.add(run.Request, now)
	if known.includes(run) {
		return nil
	}
	known.runs = append(known.runs, run)
	slices.SortStableFunc(known.runs, func(a, b Run) int { return cmp.Compare(a.End, b.End) })
	known.runs = known.runs[max(0, len(known.runs)-maxRuns):]
	return quarantiner.judge(now)
}

// RecordAnswer records that a request was answered well, at this VM or another. It returns false
// if no crash of it was known, which is the usual case.
func (quarantiner *Quarantiner) RecordAnswer(fingerprint fingerprinter.Fingerprint, now time.Duration) bool {
	known := quarantiner.requests[fingerprint]
	if known == nil {
		return false
	}
	suspected := len(known.runs) > 0 || known.block.Until > now
	known.answered, known.answeredAt = true, max(now, known.answeredAt)
	known.runs, known.block = nil, Block{}
	return suspected
}

// Imported is what has become of a block of another VM.
type Imported int

// The results of Import.
const (
	// Known is a block that changes nothing.
	Known Imported = iota
	// Added is a block that was unknown.
	Added
	// Outdated is a block of a request that has been answered since, which the other VM can't know.
	Outdated
)

// Import adds a block of another VM.
func (quarantiner *Quarantiner) Import(block Block, now time.Duration) Imported {
	known := quarantiner.add(block.Request, now)
	if known.answered && block.CrashedAt <= known.answeredAt {
		return Outdated
	}
	blocked := known.block.Until > now
	if !blocked && weigh(quarantiner.fresh(known, now), nil) >= crashesToBlock {
		return Known // this VM knows the crashes, and that another request explains them
	}
	block.Until = min(block.Until, now+max(maxBlockTime, quarantiner.BlockTime))
	if block.Until > known.block.Until {
		known.block = block
	}
	if blocked || block.Until <= now {
		return Known
	}
	return Added
}

// BlockedUntil returns the end of the block of a request, or false if it isn't blocked.
func (quarantiner *Quarantiner) BlockedUntil(fingerprint fingerprinter.Fingerprint, now time.Duration) (time.Duration, bool) {
	known := quarantiner.requests[fingerprint]
	if known == nil || known.block.Until <= now {
		return 0, false
	}
	return known.block.Until, true
}

// Blocks returns all blocks, the latest crash first.
func (quarantiner *Quarantiner) Blocks(now time.Duration) []Block {
	var blocks []Block
	for _, known := range quarantiner.requests {
		if known.block.Until > now {
			blocks = append(blocks, known.block)
		}
	}
	slices.SortFunc(blocks, func(a, b Block) int {
		return cmp.Or(cmp.Compare(b.CrashedAt, a.CrashedAt), slices.Compare(a.Request[:], b.Request[:]))
	})
	return blocks
}

// Suspected reports whether a request may have crashed several targets. A single crash isn't worth keeping while no VM
// is up, as it took many innocent requests with it.
func (quarantiner *Quarantiner) Suspected(fingerprint fingerprinter.Fingerprint, now time.Duration) bool {
	known := quarantiner.requests[fingerprint]
	return known != nil && len(quarantiner.fresh(known, now)) > 1
}

// Runs returns the runs of the requests that are Suspected, the most crashes first, then the latest. A VM that knows them
// from the start counts on where others ended.
func (quarantiner *Quarantiner) Runs(now time.Duration) []Run {
	var suspects [][]Run
	for _, known := range quarantiner.requests {
		if runs := quarantiner.fresh(known, now); len(runs) > 1 {
			suspects = append(suspects, runs)
		}
	}
	slices.SortFunc(suspects, func(a, b []Run) int {
		lastOfA, lastOfB := a[len(a)-1], b[len(b)-1]
		return cmp.Or(
			cmp.Compare(weigh(b, nil), weigh(a, nil)), cmp.Compare(lastOfB.End, lastOfA.End), slices.Compare(lastOfA.Request[:], lastOfB.Request[:]),
		)
	})
	return slices.Concat(suspects...)
}

// Knows reports whether a run is known, or was followed by an answer.
func (quarantiner *Quarantiner) Knows(run Run) bool {
	known := quarantiner.requests[run.Request]
	return known != nil && known.includes(run)
}

func (request *request) includes(run Run) bool {
	return request.answered && run.End <= request.answeredAt || slices.ContainsFunc(request.runs, func(other Run) bool { return other.At == run.At })
}

// Empty reports whether nothing is known of any request, so that fingerprints need not be
// computed.
func (quarantiner *Quarantiner) Empty() bool { return quarantiner.Len() == 0 }

// Len returns the number of requests of which something is known.
func (quarantiner *Quarantiner) Len() int { return len(quarantiner.requests) }

// add returns what is known of a request. If there is no room, it drops the request that is least
// worth knowing: one that isn't blocked, with the oldest crash.
func (quarantiner *Quarantiner) add(fingerprint fingerprinter.Fingerprint, now time.Duration) *request {
	if known := quarantiner.requests[fingerprint]; known != nil {
		return known
	}
	if quarantiner.requests == nil {
		quarantiner.requests = make(map[fingerprinter.Fingerprint]*request)
	}
	maps.DeleteFunc(quarantiner.requests, func(_ fingerprinter.Fingerprint, known *request) bool {
		return known.lastAt() < now-memory && known.block.Until < now-memory
	})
	if len(quarantiner.requests) >= maxRequests {
		delete(quarantiner.requests, quarantiner.leastKnown(now))
	}
	known := &request{}
	quarantiner.requests[fingerprint] = known
	return known
}

func (quarantiner *Quarantiner) leastKnown(now time.Duration) fingerprinter.Fingerprint {
	var least fingerprinter.Fingerprint
	var chosen *request
	for fingerprint, known := range quarantiner.requests {
		blocked, other := known.block.Until > now, chosen != nil && chosen.block.Until > now
		if chosen == nil || other && !blocked || blocked == other && known.lastAt() < chosen.lastAt() {
			least, chosen = fingerprint, known
		}
	}
	return least
}

// lastAt returns the time of the last crash or answer.
func (request *request) lastAt() time.Duration {
	last := max(request.answeredAt, request.block.CrashedAt)
	if len(request.runs) > 0 {
		last = max(last, request.runs[len(request.runs)-1].End)
	}
	return last
}
