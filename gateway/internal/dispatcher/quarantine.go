package dispatcher

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/fingerprinter"
	"godwitramp.example/core/placer"
	"godwitramp.example/core/quarantiner"
	"godwitramp.example/gateway/internal/messenger"
)

const (
	// crashDialTimeout is how long a target is dialed to find out whether it has crashed.
	crashDialTimeout = 300 * time.Millisecond
	// maxBlocks limits the blocks that a VM repeats to others and writes to the store, and maxStoredCrashes the
	// crashes that it writes there.
	maxBlocks        = 32
	maxStoredCrashes = 64
	// repeatTime is how long a crash is told to others with heartbeats, as messages may be lost, and
	// maxRepeated the most crashes that are.
	repeatTime  = 2 * time.Second
	maxRepeated = 16
	// blockedReason is the reason of refusals because the request crashes targets.
	blockedReason = "request-blocked"
)

// fingerprint returns the fingerprint of the job's request, or false while the VM doesn't know
// the fleet's key.
func (dispatcher *Dispatcher) fingerprint(job *job) (fingerprinter.Fingerprint, bool) {
	if dispatcher.FleetKey == nil {
		return fingerprinter.Fingerprint{}, false
	}
	key := dispatcher.FleetKey()
	if len(key) == 0 {
		return fingerprinter.Fingerprint{}, false
	}
	request := fingerprinter.Request{
		Method: job.call.Request.Method, Host: hostOf(job.call.Request.Host), Target: job.call.Target, Body: job.call.Body,
	}
	if job.organisation != nil {
		request.Caller = job.organisation.Name
	}
	return fingerprinter.New(key).Sum(request), true
}

// refuseBlocked returns a refusal for a request that is blocked, and nil for others.
func (dispatcher *Dispatcher) refuseBlocked(job *job) *refusal {
	state := &dispatcher.state
	if !state.knowsCrashes() {
		return nil
	}
	fingerprint, ok := dispatcher.fingerprint(job)
	if !ok {
		return nil
	}
	wait, blocked := state.blocked(fingerprint, dispatcher.Clock())
	if !blocked {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: blockedReason, retryAfter: wait}
}

// detectCrash finds out whether the target has crashed while it ran the request. A connection
// that ends before the whole answer may also have been reset, or closed while it was idle. A target
// that leaves closes its connections in the end, and is no longer present. The dial may outlast the
// request, by crashDialTimeout at most: the crash counts whether the caller waits or not.
func (attempt *attempt) detectCrash(ctx context.Context) {
	dispatcher := attempt.dispatcher
	if !attempt.lost && !attempt.cut || attempt.silent.Load() || !dispatcher.state.present(attempt.target) {
		return
	}
	end := dispatcher.Clock()
	start := end - time.Since(attempt.started)
	if dispatcher.Exchanger.Reachable(context.WithoutCancel(ctx), attempt.target.Address, crashDialTimeout) {
		return
	}
	attempt.crashed = true
	// It may also be this VM's path that is cut. In neither case the target fails requests.
	attempt.verdict.Outcome = placer.Unreachable
	attempt.recordCrash(start, end)
}

// recordCrash records that the target has crashed while it ran the request, from start to end, and tells
// the other VMs.
func (attempt *attempt) recordCrash(start, end time.Duration) {
	dispatcher := attempt.dispatcher
	countCrash()
	fingerprint, ok := dispatcher.fingerprint(attempt.job)
	if !ok {
		return
	}
	run := quarantiner.Run{
		Request: fingerprint, At: quarantiner.Instance{Target: attempt.target.ID, Incarnation: attempt.target.Incarnation},
		Start: start, End: end, Follows: attempt.follows,
	}
	blocked, kept := dispatcher.recordCrash(run)
	if kept {
		dispatcher.blocksChanged()
	}
	dispatcher.state.repeatCrash(run)
	dispatcher.sendToAll(crashEvent(run, dispatcher.Clock()))
	dispatcher.sendBlocks(blocked)
}

// sendBlocks sends new blocks to the other VMs at once: one that has missed crashes can't find them by itself, and would send
// the requests until the next heartbeat.
func (dispatcher *Dispatcher) sendBlocks(blocks []quarantiner.Block) {
	for _, block := range blocks {
		dispatcher.sendToAll(blockEvent(block, dispatcher.Clock()))
	}
}

// blockEvent returns the event that tells other VMs of a block.
func blockEvent(block quarantiner.Block, now time.Duration) messenger.Event {
	return messenger.Event{
		Kind: messenger.RequestBlocked, Fingerprint: string(block.Request[:]),
		EndedAgo: now - block.CrashedAt, Remaining: block.Until - now, Blocks: block.Count,
	}
}

// crashEvent returns the event that tells other VMs of a crash.
func crashEvent(run quarantiner.Run, now time.Duration) messenger.Event {
	return messenger.Event{
		Kind: messenger.RequestCrashed, Name: run.At.Target, Incarnation: run.At.Incarnation, Fingerprint: string(run.Request[:]),
		StartedAgo: now - run.Start, EndedAgo: now - run.End, Follows: run.Follows,
	}
}

func (dispatcher *Dispatcher) sendToAll(event messenger.Event) {
	dispatcher.Messenger.SendToGroup(event)
	dispatcher.Messenger.SendToFleet(event)
}

func (dispatcher *Dispatcher) blocksChanged() {
	if dispatcher.OnBlocksChange != nil {
		dispatcher.OnBlocksChange()
	}
}

// writesBlocks reports whether this VM also writes what other VMs have told.
func (dispatcher *Dispatcher) writesBlocks() bool {
	return dispatcher.WritesBlocks != nil && dispatcher.WritesBlocks()
}

// blocksChangedElsewhere is blocksChanged for what other VMs have told, on the VMs that write that too.
func (dispatcher *Dispatcher) blocksChangedElsewhere() {
	if dispatcher.writesBlocks() {
		dispatcher.blocksChanged()
	}
}

// recordCrash records a crash and logs which requests are blocked because of it, or no longer. It returns
// the new blocks, and whether what the store keeps has changed.
func (dispatcher *Dispatcher) recordCrash(run quarantiner.Run) (blocked []quarantiner.Block, kept bool) {
	changes, kept := dispatcher.state.recordCrash(run, dispatcher.Clock())
	for _, change := range changes {
		log := dispatcher.Log.WithFields(logrus.Fields{
			"fingerprint": change.Request, "crashes": change.Crashes, "blocks": change.Count, "target": run.At.Target,
			"block-time": change.Until - dispatcher.Clock(),
		})
		if change.Blocked {
			blocked = append(blocked, change.Block)
			countBlock()
			log.Warn("request-blocked")
		} else {
			log.Info("request-unblocked")
		}
	}
	return blocked, kept || len(changes) > 0
}

// recordAnswer records that a request was answered well. Usually no crash of it is known.
func (dispatcher *Dispatcher) recordAnswer(job *job) {
	if !dispatcher.state.knowsCrashes() {
		return
	}
	fingerprint, ok := dispatcher.fingerprint(job)
	if !ok {
		return
	}
	_, blocked := dispatcher.state.blocked(fingerprint, dispatcher.Clock())
	kept := dispatcher.state.keptCrashes(fingerprint, dispatcher.Clock())
	if dispatcher.state.clear(fingerprint, dispatcher.Clock()) {
		if blocked || kept {
			dispatcher.blocksChanged()
		}
		dispatcher.Log.WithFields(logrus.Fields{"request": job.metadata.ID, "fingerprint": fingerprint}).Info("request-cleared")
		dispatcher.sendToAll(messenger.Event{Kind: messenger.RequestCleared, Fingerprint: string(fingerprint[:])})
	}
}

// Blocks returns the requests that are blocked, those with the latest crashes.
func (dispatcher *Dispatcher) Blocks() []quarantiner.Block {
	blocks := dispatcher.state.blocks(dispatcher.Clock())
	return blocks[:min(len(blocks), maxBlocks)]
}

// ImportBlock adds a request that another VM has blocked.
func (dispatcher *Dispatcher) ImportBlock(block quarantiner.Block) {
	dispatcher.state.importBlock(block, dispatcher.Clock())
}

// Crashes returns the crashes of requests that are worth keeping while no VM is up.
func (dispatcher *Dispatcher) Crashes() []quarantiner.Run {
	runs := dispatcher.state.keptRuns(dispatcher.Clock())
	return runs[:min(len(runs), maxStoredCrashes)]
}

// ImportCrash adds a crash that another VM has kept.
func (dispatcher *Dispatcher) ImportCrash(run quarantiner.Run) { dispatcher.recordCrash(run) }

// Reminders returns an event for each request that is blocked, and for each crash that this VM has found a moment ago.
// It is called with each heartbeat, and also logs the targets that have become cold or warm since the last.
func (dispatcher *Dispatcher) Reminders() []messenger.Event {
	dispatcher.logWarmups()
	now := dispatcher.Clock()
	var events []messenger.Event
	for _, run := range dispatcher.state.recentCrashes(now) {
		events = append(events, crashEvent(run, now))
	}
	for _, block := range dispatcher.Blocks() {
		events = append(events, blockEvent(block, now))
	}
	return events
}

func isQuarantineEvent(event messenger.Event) bool {
	switch event.Kind {
	case messenger.RequestCrashed, messenger.RequestCleared, messenger.RequestBlocked:
		return true
	default:
		return false
	}
}

// handleQuarantineEvent applies what another VM knows of crashes. It tells the fleet again that a
// request was answered if the other VM has missed that.
func (dispatcher *Dispatcher) handleQuarantineEvent(event messenger.Event) {
	fingerprint, ok := fingerprinter.Parse(event.Fingerprint)
	if !ok {
		dispatcher.Log.WithField("kind", event.Kind).Warn("fingerprint-malformed")
		return
	}
	now := dispatcher.Clock()
	switch event.Kind {
	case messenger.RequestCrashed:
		// The VM whose attempt it was may have missed the crashes before, may not reach the store, or have been killed.
		blocked, kept := dispatcher.recordCrash(quarantiner.Run{
			Request: fingerprint, At: quarantiner.Instance{Target: event.Name, Incarnation: event.Incarnation},
			Start: now - max(0, event.StartedAgo), End: now - max(0, event.EndedAgo), Follows: event.Follows,
		})
		if kept {
			dispatcher.blocksChangedElsewhere()
		}
		if dispatcher.writesBlocks() {
			dispatcher.sendBlocks(blocked)
		}
	case messenger.RequestCleared:
		kept := dispatcher.state.keptCrashes(fingerprint, now)
		if dispatcher.state.clear(fingerprint, now) && kept {
			dispatcher.blocksChangedElsewhere() // else a VM that starts counts crashes from before the answer
		}
	case messenger.RequestBlocked:
		block := quarantiner.Block{
			Request: fingerprint, CrashedAt: now - max(0, event.EndedAgo), Until: now + max(0, event.Remaining), Count: max(1, event.Blocks),
		}
		switch dispatcher.state.importBlock(block, now) {
		case quarantiner.Outdated:
			dispatcher.sendToAll(messenger.Event{Kind: messenger.RequestCleared, Fingerprint: event.Fingerprint})
		case quarantiner.Added:
			dispatcher.blocksChangedElsewhere()
		}
	}
}

// knowsCrashes reports whether a crash of any request is known, so that fingerprints matter.
func (state *state) knowsCrashes() bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return !state.quarantine.Empty()
}

// blocked returns how much longer a request is blocked, or false if it isn't.
func (state *state) blocked(fingerprint fingerprinter.Fingerprint, now time.Duration) (time.Duration, bool) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	until, blocked := state.quarantine.BlockedUntil(fingerprint, now)
	return until - now, blocked && state.policy.BlockTime > 0
}

// recordCrash also reports whether the run is new and belongs to those of keptRuns.
func (state *state) recordCrash(run quarantiner.Run, now time.Duration) (changes []quarantiner.Change, kept bool) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	known := state.quarantine.Knows(run)
	changes = state.quarantine.RecordCrash(run, now)
	return changes, !known && state.quarantine.Suspected(run.Request, now)
}

func (state *state) keptRuns(now time.Duration) []quarantiner.Run {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.quarantine.Runs(now)
}

func (state *state) keptCrashes(fingerprint fingerprinter.Fingerprint, now time.Duration) bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.quarantine.Suspected(fingerprint, now)
}

// repeatCrash keeps a crash that this VM has found for reminders.
func (state *state) repeatCrash(run quarantiner.Run) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.crashes = append(state.crashes[max(0, len(state.crashes)-maxRepeated+1):], run)
}

// recentCrashes returns the crashes that other VMs are reminded of.
func (state *state) recentCrashes(now time.Duration) []quarantiner.Run {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.crashes = slices.DeleteFunc(state.crashes, func(run quarantiner.Run) bool { return now-run.End > repeatTime })
	return slices.Clone(state.crashes)
}

// clear records that a request was answered well, and reports whether crashes of it were known.
func (state *state) clear(fingerprint fingerprinter.Fingerprint, now time.Duration) bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.quarantine.RecordAnswer(fingerprint, now)
}

func (state *state) importBlock(block quarantiner.Block, now time.Duration) quarantiner.Imported {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.quarantine.Import(block, now)
}

func (state *state) blocks(now time.Duration) []quarantiner.Block {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.quarantine.Blocks(now)
}
