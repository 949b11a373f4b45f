package dispatcher_test

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/throttler"
	"godwitramp.example/gateway/internal/messenger"
	"godwitramp.example/gateway/internal/receiver"
)

// fragileTargets are targets that crash when they run a request with "crash" in its path.
type fragileTargets struct {
	mutex sync.Mutex
	// open are the connections of each target that is up or has been.
	open map[string][]net.Conn
	down map[string]bool
	// crashes counts the targets that have crashed, and ran the requests that were run.
	crashes, ran int
	// resets makes every request end with a reset of its own connection only.
	resets bool
	// silent makes crashes end no connection; new ones to a target that is down hang.
	silent bool
	// cut makes all connections hang.
	cut bool
	// begins is what a target sends of the answer to a request before that crashes it.
	begins string
	// last is the address of the target that got the last request.
	last string
	// hold, if set, keeps requests running until it is closed.
	hold chan struct{}
	// ended is closed when the test ends.
	ended chan struct{}
}

// crashTime is how long a request runs before its target crashes.
const crashTime = 70 * time.Millisecond

var errRefused = errors.New("connection refused")

func (fragileTargets *fragileTargets) dial(ctx context.Context, _, address string) (net.Conn, error) {
	fragileTargets.mutex.Lock()
	defer fragileTargets.mutex.Unlock()
	if fragileTargets.cut || fragileTargets.down[address] && fragileTargets.silent {
		fragileTargets.mutex.Unlock()
		<-ctx.Done()
		fragileTargets.mutex.Lock()
		return nil, ctx.Err()
	}
	if fragileTargets.down[address] {
		return nil, errRefused
	}
	near, far := net.Pipe()
	fragileTargets.open[address] = append(fragileTargets.open[address], far)
	go fragileTargets.serve(address, far)
	return near, nil
}

func (fragileTargets *fragileTargets) serve(address string, connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !fragileTargets.run(address, connection, request) {
			return
		}
		_, err = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", request.Header.Get("X-Attempt-Id"))
		if err != nil {
			return
		}
	}
}

// run runs a request. It returns false if that ends the connection.
func (fragileTargets *fragileTargets) run(address string, connection net.Conn, request *http.Request) bool {
	fragileTargets.mutex.Lock()
	fragileTargets.ran++
	fragileTargets.last = address
	hold := fragileTargets.hold
	fragileTargets.mutex.Unlock()
	if hold != nil {
		<-hold
	}
	crashes := strings.Contains(request.URL.Path, "crash")
	if crashes {
		if fragileTargets.begins != "" {
			_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Attempt-Id: %s\r\n%s", request.Header.Get("X-Attempt-Id"), fragileTargets.begins)
		}
		time.Sleep(crashTime)
	}
	fragileTargets.mutex.Lock()
	if fragileTargets.cut || fragileTargets.silent && (crashes || fragileTargets.down[address]) {
		if crashes && !fragileTargets.cut && !fragileTargets.down[address] {
			fragileTargets.crashes++
			fragileTargets.down[address] = true
		}
		fragileTargets.mutex.Unlock()
		<-fragileTargets.ended
		return false
	}
	defer fragileTargets.mutex.Unlock()
	if fragileTargets.resets {
		return false
	}
	if !crashes {
		return true
	}
	fragileTargets.crashes++
	fragileTargets.down[address] = true
	for _, connection := range fragileTargets.open[address] {
		_ = connection.Close()
	}
	return false
}

// killUsed ends every target that has open connections, and returns how many those are.
func (fragileTargets *fragileTargets) killUsed() int {
	fragileTargets.mutex.Lock()
	defer fragileTargets.mutex.Unlock()
	for address, connections := range fragileTargets.open {
		fragileTargets.down[address] = true
		for _, connection := range connections {
			_ = connection.Close()
		}
	}
	return len(fragileTargets.open)
}

// restart starts the targets that are down.
func (fragileTargets *fragileTargets) restart() {
	fragileTargets.mutex.Lock()
	defer fragileTargets.mutex.Unlock()
	clear(fragileTargets.down)
}

// used returns the number of targets to which connections were opened.
func (fragileTargets *fragileTargets) used() int {
	fragileTargets.mutex.Lock()
	defer fragileTargets.mutex.Unlock()
	return len(fragileTargets.open)
}

func (fragileTargets *fragileTargets) counts() (crashes, ran int) {
	fragileTargets.mutex.Lock()
	defer fragileTargets.mutex.Unlock()
	return fragileTargets.crashes, fragileTargets.ran
}

// hub passes the events of a VM on to the other VMs of its group.
type hub struct {
	self int
	vms  *[]*vm
}

func (hub hub) SendToGroup(events ...messenger.Event) {
	for i, other := range *hub.vms {
		for _, event := range events {
			if i != hub.self {
				other.HandleEvent(event, true)
			}
		}
	}
}

// SendToFleet reaches nobody, as all VMs belong to one group.
func (hub) SendToFleet(...messenger.Event) {}

// AskForTokens reaches no other group.
func (hub) AskForTokens(throttler.Scope, string, float64, int) int { return 0 }

// startFragile returns VMs of one group in front of the targets.
func startFragile(t *testing.T, vms, targets int) ([]*vm, *fragileTargets) {
	fragile := &fragileTargets{open: make(map[string][]net.Conn), down: make(map[string]bool), ended: make(chan struct{})}
	t.Cleanup(func() { close(fragile.ended) })
	servers := make([]*targetServer, targets)
	for i := range servers {
		servers[i] = &targetServer{address: fmt.Sprint("target:", i)}
	}
	var started []*vm
	for i := range vms {
		vm := start(t, servers...)
		vm.Exchanger.Dial = fragile.dial
		vm.Messenger = hub{self: i, vms: &started}
		vm.FleetKey = func() []byte { return []byte("key of the fleet") }
		started = append(started, vm)
	}
	return started, fragile
}

func (vm *vm) send(method, target string) receiver.Reply {
	return vm.Serve(context.Background(), call(method, target, "key"))
}

func TestRequestThatCrashesTargetsIsSentAgainAndAgain(t *testing.T) {
	for _, kind := range []struct{ method, path string }{{http.MethodGet, "/read/"}, {http.MethodPost, "/book/"}} {
		t.Run(kind.method, func(t *testing.T) {
			is := is.New(t)
			vms, targets := startFragile(t, 3, 12)
			for i := range 12 {
				vm := vms[i%len(vms)]
				before, _ := targets.counts()
				reply := vm.send(kind.method, kind.path+"crash")
				is.True(reply.Status >= http.StatusInternalServerError)
				if before >= 3 {
					is.Equal(reply.Status, http.StatusServiceUnavailable)
					is.True(reply.Header.Get("Retry-After") != "")
				}
				is.Equal(vm.send(kind.method, fmt.Sprint(kind.path, i)).Status, http.StatusOK)
			}
			crashes, _ := targets.counts()
			is.Equal(crashes, 3)
		})
	}
}

// A target may crash when it has sent a part of its answer, with its connections or without their ends.
func TestRequestThatCrashesTargetsInTheMiddleOfAnswersIsSentAgainAndAgain(t *testing.T) {
	for _, test := range []struct {
		name, begins string
		silent       bool
	}{
		{"head", "", false},
		{"body", "Content-Length: 10\r\n\r\npart", false},
		{"chunks", "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", false},
		{"silent in the head", "", true},
		{"silent in the body", "Content-Length: 10\r\n\r\npart", true},
		{"silent in the chunks", "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", true},
	} {
		for _, kind := range []struct{ method, path string }{{http.MethodGet, "/read/crash"}, {http.MethodPost, "/book/crash"}} {
			t.Run(test.name+", "+kind.method, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				vms, targets := startFragile(t, 2, 24)
				targets.begins, targets.silent = cmp.Or(test.begins, "Server: "), test.silent
				defer serveBeside(vms)()
				refused := 0
				for i := range 8 {
					if vms[i%len(vms)].sendFor(kind.method, kind.path, time.Second).Status == http.StatusServiceUnavailable {
						refused++
					}
					if test.silent {
						time.Sleep(lookTime)
					}
				}
				crashes, _ := targets.counts()
				t.Logf("%d targets crashed, %d requests were refused", crashes, refused)
				is.True(crashes >= 3)
				is.True(crashes <= 4) // the last time it may be sent to two
				is.True(refused >= 3)
			})
		}
	}
}

// A target that cuts its answers, but whose machine accepts connections, is no crash.
func TestCutAnswersCountAsCrashes(t *testing.T) {
	is := is.New(t)
	vms, targets := startFragile(t, 1, 12)
	targets.resets, targets.begins = true, "Content-Length: 10\r\n\r\npart"
	for range 6 {
		vms[0].send(http.MethodPost, "/book/crash")
	}
	_, ran := targets.counts()
	is.Equal(ran, 6)
	is.Equal(len(vms[0].Reminders()), 0)
}

func TestResetsOfConnectionsCountAsCrashes(t *testing.T) {
	is := is.New(t)
	vms, targets := startFragile(t, 1, 12)
	targets.resets = true
	for range 6 {
		_, before := targets.counts()
		vms[0].send(http.MethodPost, "/book/1")
		_, after := targets.counts()
		is.Equal(after, before+1)
	}
}

func TestCrashingRequestOfOneCallerBlocksOthers(t *testing.T) {
	is := is.New(t)
	vms, targets := startFragile(t, 1, 12)
	changed := configuration(2, "key")
	other := changed.Organisations[0]
	other.Name, other.Keys = "others", []string{"other"}
	changed.Organisations = append(changed.Organisations, other)
	vms[0].configure(changed)
	for range 4 {
		vms[0].send(http.MethodGet, "/read/crash")
	}
	before, _ := targets.counts()
	is.Equal(before, 3)
	vms[0].Serve(context.Background(), call(http.MethodPost, "/read/crash", "key")) // another method
	vms[0].Serve(context.Background(), call(http.MethodGet, "/read/crash", "other"))
	after, _ := targets.counts()
	is.True(after >= before+2)
}

// All targets of a service may die at once while callers ask for the same.
func TestPopularRequestIsBlockedAfterManyTargetsDiedAtOnce(t *testing.T) {
	is := is.New(t)
	vms, targets := startFragile(t, 2, 12)
	targets.hold = make(chan struct{})
	var group sync.WaitGroup
	for i := range 16 {
		group.Go(func() { vms[i%2].send(http.MethodPost, "/book/popular") })
	}
	for running := 0; running < 16; _, running = targets.counts() {
		time.Sleep(time.Millisecond)
	}
	died := targets.killUsed()
	is.True(died >= 4)
	group.Wait()
	close(targets.hold)
	targets.restart()
	is.Equal(vms[0].send(http.MethodPost, "/book/popular").Status, http.StatusOK)
	is.Equal(vms[1].send(http.MethodPost, "/book/popular").Status, http.StatusOK)
}

// Messages may be lost: a VM that hears of no crash must not send the request again.
func TestVMThatMissedTheCrashesSendsTheRequest(t *testing.T) {
	is := is.New(t)
	vms, targets := startFragile(t, 2, 12)
	vms[0].Messenger = discardMessenger{}
	for range 3 {
		vms[0].send(http.MethodGet, "/read/crash")
	}
	for _, event := range vms[0].Reminders() {
		vms[1].HandleEvent(event, false)
	}
	_, before := targets.counts()
	is.Equal(vms[1].send(http.MethodGet, "/read/crash").Status, http.StatusServiceUnavailable)
	_, after := targets.counts()
	is.Equal(after, before)
}

// An operator may let requests through although they have crashed targets.
func TestBlocksAreTurnedOff(t *testing.T) {
	is := is.New(t)
	vms, targets := startFragile(t, 1, 12)
	for range 4 {
		vms[0].send(http.MethodGet, "/read/crash")
	}
	before, _ := targets.counts()
	policy := vms[0].Policy
	policy.BlockTime = 0
	vms[0].SetPolicy(policy)
	vms[0].send(http.MethodGet, "/read/crash")
	after, _ := targets.counts()
	is.True(after > before)
}

// News of crashes that make no sense must not block anything, and must not end the VM.
func TestMalformedNewsOfCrashes(t *testing.T) {
	is := is.New(t)
	vms, _ := startFragile(t, 1, 12)
	for _, event := range []messenger.Event{
		{Kind: messenger.RequestCrashed, Fingerprint: "short", Name: "t1"},
		{Kind: messenger.RequestBlocked, Remaining: time.Hour, Blocks: 1},
		{Kind: messenger.RequestBlocked, Fingerprint: "0123456789abcdef", Remaining: -time.Hour, EndedAgo: -time.Hour, Blocks: -5},
		{Kind: messenger.RequestCleared, Fingerprint: ""},
	} {
		vms[0].HandleEvent(event, true)
	}
	is.Equal(vms[0].send(http.MethodGet, "/read/1").Status, http.StatusOK)
	is.Equal(len(vms[0].Reminders()), 0)
}

// The VM whose attempt ends with the third crash may have missed the first ones. The block must get
// into the store all the same, and so must the first two crashes once there are two.
func TestBlockFoundByOtherVMsIsNotStored(t *testing.T) {
	is := is.New(t)
	vms, _ := startFragile(t, 3, 12)
	stored := make([]int, len(vms))
	for i, vm := range vms {
		vm.OnBlocksChange = func() { stored[i]++ }
	}
	vms[1].WritesBlocks = func() bool { return true }
	vms[2].WritesBlocks = func() bool { return false }
	for i := range 3 {
		event := messenger.Event{
			Kind: messenger.RequestCrashed, Fingerprint: "0123456789abcdef", Name: fmt.Sprint("t", i),
			StartedAgo: time.Duration(3-i)*time.Second + 100*time.Millisecond, EndedAgo: time.Duration(3-i) * time.Second,
		}
		for _, vm := range vms {
			vm.HandleEvent(event, true)
		}
	}
	is.Equal(stored, []int{0, 2, 0})
	told := messenger.Event{Kind: messenger.RequestBlocked, Fingerprint: "fedcba9876543210", Remaining: time.Minute, Blocks: 1}
	for _, vm := range vms {
		vm.HandleEvent(told, true)
		vm.HandleEvent(told, true)
	}
	is.Equal(stored, []int{0, 3, 0})
}

// The first news of a crash may be lost. It must be told again for a while, and then no more.
func TestCrashIsToldOnce(t *testing.T) {
	is := is.New(t)
	vms, _ := startFragile(t, 1, 12)
	vm := vms[0]
	var now atomic.Int64
	now.Store(int64(vm.Clock()))
	vm.Clock = func() time.Duration { return time.Duration(now.Load()) }
	vm.send(http.MethodPost, "/book/crash")
	now.Add(int64(time.Second))
	reminders := vm.Reminders()
	is.Equal(len(reminders), 1)
	is.Equal(reminders[0].Kind, messenger.RequestCrashed)
	is.Equal(reminders[0].EndedAgo, time.Second)
	now.Add(int64(2 * time.Second))
	is.Equal(len(vm.Reminders()), 0)
}

// A target that requested a cool-down, or whose data centre is evacuated, gets no new requests. One that still runs there
// may crash it, which counts as at any other target.
func TestCrashAtAnEvacuatedTargetIsMissed(t *testing.T) {
	is := is.New(t)
	vms, targets := startFragile(t, 1, 12)
	vm := vms[0]
	targets.hold = make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		vm.send(http.MethodPost, "/book/crash")
	}()
	for ran := 0; ran == 0; _, ran = targets.counts() {
		time.Sleep(time.Millisecond)
	}
	vm.SetEvacuated([]string{"d"})
	close(targets.hold)
	<-done
	reminders := vm.Reminders()
	is.Equal(len(reminders), 1)
	is.Equal(reminders[0].Kind, messenger.RequestCrashed)
}

// The caller leaves, or its deadline passes, while the VM finds out whether the target has crashed.
func TestCrashIsMissedIfTheCallerLeaves(t *testing.T) {
	is := is.New(t)
	vms, targets := startFragile(t, 1, 12)
	vm := vms[0]
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	vm.Exchanger.Dial = func(dialContext context.Context, network, address string) (net.Conn, error) {
		connection, err := targets.dial(dialContext, network, address)
		if errors.Is(err, errRefused) {
			leave()
			time.Sleep(10 * time.Millisecond)
		}
		return connection, err
	}
	vm.Serve(ctx, call(http.MethodPost, "/book/crash", "key"))
	for range 100 {
		if len(vm.Reminders()) > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	reminders := vm.Reminders()
	is.Equal(len(reminders), 1)
	is.Equal(reminders[0].Kind, messenger.RequestCrashed)
}

// A VM that has missed crashes, as it has just started, doesn't find that the request must be blocked. It must not take until
// the next heartbeat for it to learn that.
func TestBlockIsToldWithTheNextHeartbeat(t *testing.T) {
	for _, sender := range []int{0, 1} {
		t.Run(fmt.Sprint("third crash at VM ", sender), func(t *testing.T) {
			is := is.New(t)
			vms, targets := startFragile(t, 2, 12)
			vms[0].WritesBlocks = func() bool { return true }
			told := vms[0].Messenger
			vms[0].Messenger = discardMessenger{}
			for range 2 {
				vms[0].send(http.MethodPost, "/book/crash")
			}
			vms[0].Messenger = told
			vms[sender].send(http.MethodPost, "/book/crash")
			crashes, _ := targets.counts()
			is.Equal(crashes, 3)
			for _, vm := range vms {
				is.Equal(vm.send(http.MethodPost, "/book/crash").Status, http.StatusServiceUnavailable)
			}
			crashes, _ = targets.counts()
			is.Equal(crashes, 3)
		})
	}
}
