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
	// Peers that a VM asks in turn, one each period, and sends notices to.
	neighbours = 3
	pullPeriod = 300 * time.Millisecond
	// A notice waits this long for further news.
	noticeDelay = 5 * time.Millisecond

	pullMethod   = "Ejection.Pull"
	noticeMethod = "Ejection.Notice"
)

// PullRequest asks for what is newer than a revision of the answering VM's
// view.
type PullRequest struct {
	Incarnation uint64
	Since       uint64
}

// PullReply is what a VM knows of ejections and leaving targets. The leases
// are as long as they are left when the reply is made, and count from before
// the request was sent.
type PullReply struct {
	Incarnation uint64
	Revision    uint64
	Statements  []ejector.Statement
	Leaves      []ejector.Leave
}

// Notice tells a VM that its caller has news.
type Notice struct {
	Address string
}

// peerRevision is up to where a peer's view has been heard.
type peerRevision struct {
	incarnation uint64
	revision    uint64
}

// Service answers the calls of other VMs. Replies without content are a bool,
// since gob has no encoding for empty structs.
type Service struct {
	steward *Steward
}

// Service returns what has to be registered under the name "Ejection".
func (steward *Steward) Service() *Service {
	steward.prepare()
	return &Service{steward: steward}
}

// Report takes evidence for the permits that this VM holds.
func (service *Service) Report(report reporter.Report, _ *bool) error {
	steward := service.steward
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	now := steward.Clock.Reading()
	for _, group := range report.Groups {
		if held := steward.stewards[group.Group]; held != nil {
			held.Detector.Add(group.Batch, now.Mono)
			steward.decide(group.Group, now)
		}
	}
	return nil
}

// Pull returns what the caller doesn't know yet.
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

// Notice makes this VM ask the caller for its news.
func (service *Service) Notice(notice Notice, _ *bool) error {
	steward := service.steward
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	steward.pullSoon(notice.Address)
	return nil
}

// exchange asks peers and sends notices until the context ends.
func (steward *Steward) exchange(ctx context.Context) {
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
			group.Go(func() { steward.spread(ctx) })
		}
	}
}

// notify lets peers be told of news; the lock is held.
func (steward *Steward) notify() {
	steward.news = true
	steward.wakeUp()
}

func (steward *Steward) wakeUp() {
	select {
	case steward.wake <- struct{}{}:
	default:
	}
}

// pullSoon plans a pull from the address; the lock is held. Notices that come
// while one is planned need no other.
func (steward *Steward) pullSoon(address string) {
	if slices.Contains(steward.wanted, address) {
		return
	}
	steward.wanted = append(steward.wanted, address)
	steward.wakeUp()
}

// spread does the planned pulls, and then sends notices if there is news.
func (steward *Steward) spread(ctx context.Context) {
	steward.mutex.Lock()
	wanted := steward.wanted
	steward.wanted = nil
	steward.mutex.Unlock()
	var group sync.WaitGroup
	for _, address := range wanted {
		group.Go(func() { steward.pull(ctx, address) })
	}
	group.Wait()
	if !steward.hasNews() {
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
			// A lost notice is made good by the next regular pull.
			_ = steward.Caller.Call(ctx, peer.Address, noticeMethod, notice, new(bool))
		})
	}
	group.Wait()
}

// hasNews reports whether peers have to be told of something.
func (steward *Steward) hasNews() bool {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	news := steward.news
	steward.news = false
	return news
}

// pull asks one peer for its news.
func (steward *Steward) pull(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	steward.mutex.Lock()
	heard := steward.pulled[address]
	steward.mutex.Unlock()
	asked := steward.Clock.Reading()
	var reply PullReply
	request := PullRequest{Incarnation: heard.incarnation, Since: heard.revision}
	if err := steward.Caller.Call(ctx, address, pullMethod, request, &reply); err != nil {
		return // the next one follows
	}
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	steward.pulled[address] = peerRevision{incarnation: reply.Incarnation, revision: reply.Revision}
	now := steward.Clock.Reading()
	news := false
	for _, statement := range reply.Statements {
		news = steward.take(statement, asked, now) || news
	}
	for _, leave := range reply.Leaves {
		if steward.view.ApplyLeave(leave, asked, now) {
			news = true
			steward.obeyLeave(leave)
		}
	}
	if news {
		steward.notify()
	}
}

// neighbours returns the next live VM by name, which makes a ring of all, and
// the ones of lowest hash, which make the ways short.
func (steward *Steward) neighbours() []watcher.Peer {
	peers := slices.Clone(steward.Members.Live())
	if len(peers) <= neighbours {
		return peers
	}
	self := steward.Members.Self().Name
	next := slices.IndexFunc(peers, func(peer watcher.Peer) bool { return peer.Name > self })
	chosen := []watcher.Peer{peers[max(0, next)]}
	slices.SortFunc(peers, func(a, b watcher.Peer) int {
		return cmp.Compare(xxhash.Sum64String(self+a.Name), xxhash.Sum64String(self+b.Name))
	})
	for _, peer := range peers {
		if len(chosen) < neighbours && peer.Name != chosen[0].Name {
			chosen = append(chosen, peer)
		}
	}
	return chosen
}
