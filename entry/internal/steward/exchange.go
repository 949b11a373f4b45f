package steward

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"godwitramp.example/core/ejector"
	"godwitramp.example/core/watcher"
	"godwitramp.example/entry/internal/reporter"
)

const (
	// neighbourCount is the number of peers that a VM pulls from in turn, one
	// each pullPeriod, and notifies.
	neighbourCount = 3
	pullPeriod     = 300 * time.Millisecond
	// noticeDelay coalesces changes into one notice.
	noticeDelay = 5 * time.Millisecond

	pullMethod   = "Ejection.Pull"
	noticeMethod = "Ejection.Notice"
)

// PullRequest requests the changes after revision Since of the answering VM's
// view. Incarnation is the incarnation of that VM that Since belongs to. If the
// VM has another one, the answer is the same as for revision 0.
type PullRequest struct {
	Incarnation uint64
	Since       uint64
}

// PullReply contains the ejections and leaving targets that a VM knows. Each
// lease has the duration that remained when the reply was made; the receiver
// counts it from before it sent the request.
type PullReply struct {
	Incarnation uint64
	Revision    uint64
	Statements  []ejector.Statement
	Leaves      []ejector.Leave
}

// Notice notifies a VM that the VM at Address has changes to pull.
type Notice struct {
	Address string
}

// seenRevision is the newest revision of a peer's view that has been pulled.
type seenRevision struct {
	incarnation uint64
	revision    uint64
}

// Service answers the calls of other VMs. Replies without content have type
// bool, since gob has no encoding for empty structs.
type Service struct {
	steward *Steward
}

// Service returns the service to register under the name "Ejection".
func (steward *Steward) Service() *Service {
	steward.prepare()
	return &Service{steward: steward}
}

// Report adds evidence to the groups for which this VM holds permits.
func (service *Service) Report(report reporter.Report, _ *bool) error {
	steward := service.steward
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	now := steward.Clock.Reading()
	for _, group := range report.Groups {
		if groupSteward := steward.stewards[group.Group]; groupSteward != nil {
			groupSteward.Detector.Add(group.Batch, now.Mono)
			steward.decide(group.Group, now)
		}
	}
	return nil
}

// Pull returns the changes that the caller has not seen.
func (service *Service) Pull(request PullRequest, reply *PullReply) error {
	steward := service.steward
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	since := request.Since
	if request.Incarnation != steward.Members.Self().Incarnation {
		since = 0
	}
	reply.Incarnation = steward.Members.Self().Incarnation
	reply.Revision = steward.view.Revision()
	now := steward.Clock.Reading()
	reply.Statements = steward.view.StatementsSince(since, now)
	reply.Leaves = steward.view.LeavesSince(since, now)
	return nil
}

// Notice makes this VM pull from the caller.
func (service *Service) Notice(notice Notice, _ *bool) error {
	steward := service.steward
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	steward.schedulePull(notice.Address)
	return nil
}

// exchangeLoop pulls from peers and sends notices until the context ends.
func (steward *Steward) exchangeLoop(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(pullPeriod)
	defer ticker.Stop()
	next := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if peers := steward.neighbours(); len(peers) > 0 {
				next++
				address := peers[next%len(peers)].Address
				group.Go(func() { steward.pull(ctx, address) })
			}
		case <-steward.wake:
			group.Go(func() { steward.pullAndNotify(ctx) })
		}
	}
}

// scheduleNotice schedules a notice to peers; the caller holds the mutex.
func (steward *Steward) scheduleNotice() {
	steward.noticePending = true
	steward.wakeUp()
}

func (steward *Steward) wakeUp() {
	select {
	case steward.wake <- struct{}{}:
	default:
	}
}

// schedulePull schedules a pull from the address, unless one is scheduled
// already; the caller holds the mutex.
func (steward *Steward) schedulePull(address string) {
	if slices.Contains(steward.pullQueue, address) {
		return
	}
	steward.pullQueue = append(steward.pullQueue, address)
	steward.wakeUp()
}

// pullAndNotify does the scheduled pulls, and then sends notices if something
// has changed.
func (steward *Steward) pullAndNotify(ctx context.Context) {
	steward.mutex.Lock()
	addresses := steward.pullQueue
	steward.pullQueue = nil
	steward.mutex.Unlock()
	var group sync.WaitGroup
	for _, address := range addresses {
		group.Go(func() { steward.pull(ctx, address) })
	}
	group.Wait()
	if !steward.takeNoticePending() {
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(noticeDelay):
	}
	notice := Notice{Address: steward.Members.Self().Address}
	for _, peer := range steward.neighbours() {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			// After a lost notice the next periodic pull delivers the changes.
			_ = steward.Caller.Call(ctx, peer.Address, noticeMethod, notice, new(bool))
		})
	}
	group.Wait()
}

// takeNoticePending reports whether a notice is pending, and clears the flag.
func (steward *Steward) takeNoticePending() bool {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	pending := steward.noticePending
	steward.noticePending = false
	return pending
}

// pull requests the changes of one peer and applies them.
func (steward *Steward) pull(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	steward.mutex.Lock()
	seen := steward.seenRevisions[address]
	steward.mutex.Unlock()
	requestedAt := steward.Clock.Reading()
	var reply PullReply
	request := PullRequest{Incarnation: seen.incarnation, Since: seen.revision}
	if err := steward.Caller.Call(ctx, address, pullMethod, request, &reply); err != nil {
		return // the next pull retries
	}
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	steward.seenRevisions[address] = seenRevision{incarnation: reply.Incarnation, revision: reply.Revision}
	now := steward.Clock.Reading()
	changed := false
	for _, statement := range reply.Statements {
		changed = steward.applyStatement(statement, requestedAt, now) || changed
	}
	for _, leave := range reply.Leaves {
		if steward.view.ApplyLeave(leave, requestedAt, now) {
			changed = true
			steward.applyLeave(leave)
		}
	}
	if changed {
		steward.scheduleNotice()
	}
}

// neighbours returns the next live VM by name, so that all VMs form a ring, and
// those of lowest hash, which keep the paths between VMs short.
func (steward *Steward) neighbours() []watcher.Peer {
	peers := slices.Clone(steward.Members.Live())
	if len(peers) <= neighbourCount {
		return peers
	}
	self := steward.Members.Self().Name
	next := slices.IndexFunc(peers, func(peer watcher.Peer) bool { return peer.Name > self })
	chosen := []watcher.Peer{peers[max(0, next)]}
	slices.SortFunc(peers, func(a, b watcher.Peer) int {
		return cmp.Compare(xxhash.Sum64String(self+a.Name), xxhash.Sum64String(self+b.Name))
	})
	for _, peer := range peers {
		if len(chosen) < neighbourCount && peer.Name != chosen[0].Name {
			chosen = append(chosen, peer)
		}
	}
	return chosen
}
