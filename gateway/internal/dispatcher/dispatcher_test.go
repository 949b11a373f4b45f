package dispatcher_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
	"godwitramp.example/core/throttler"
	"godwitramp.example/core/verifier"
	"godwitramp.example/gateway/internal/dispatcher"
	"godwitramp.example/gateway/internal/messenger"
	"godwitramp.example/gateway/internal/receiver"
	"godwitramp.example/shell/exchanger"
	"godwitramp.example/shell/timer"
)

// upstream is a target over a socket.
type upstream struct {
	address string
	mutex   sync.Mutex
	headers []http.Header
	// gone counts the requests whose connection ended before the answer.
	gone atomic.Int32
}

// serve starts a target that answers with the handler.
func serve(t *testing.T, handler http.HandlerFunc) *upstream {
	t.Helper()
	upstream := &upstream{}
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		upstream.mutex.Lock()
		upstream.headers = append(upstream.headers, request.Header.Clone())
		upstream.mutex.Unlock()
		writer.Header().Set("X-Attempt-Id", request.Header.Get("X-Attempt-Id"))
		handler(writer, request)
		if request.Context().Err() != nil {
			upstream.gone.Add(1)
		}
	}))
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	upstream.address = strings.TrimPrefix(server.URL, "http://")
	return upstream
}

// arrivals returns the headers of the requests so far.
func (upstream *upstream) arrivals() []http.Header {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return append([]http.Header(nil), upstream.headers...)
}

// answer answers with a status as a target does.
func answer(status int, body string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("X-Response-Signature", "signature")
		writer.WriteHeader(status)
		_, _ = io.WriteString(writer, body)
	}
}

// full answers that the target has no room.
func full(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("X-Not-Executed", "1")
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// hang gives no answer until the caller is gone.
func hang(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }

// breakOff closes the connection without an answer.
func breakOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// knowledge is what the VM knows of the configuration.
type knowledge struct {
	index  atomic.Pointer[indexer.Index]
	asOf   atomic.Int64
	behind atomic.Bool
	lost   atomic.Bool
}

func (knowledge *knowledge) Index() *indexer.Index { return knowledge.index.Load() }
func (knowledge *knowledge) AsOf() time.Duration   { return time.Duration(knowledge.asOf.Load()) }

func (knowledge *knowledge) Behind() bool           { return knowledge.behind.Load() }
func (knowledge *knowledge) StoreUnreachable() bool { return knowledge.lost.Load() }

// silence tells nobody.
type silence struct{}

func (silence) Tell(...messenger.Note)      {}
func (silence) TellFleet(...messenger.Note) {}

// vm is a dispatcher with what it knows.
type vm struct {
	*dispatcher.Dispatcher
	knowledge *knowledge
	t         *testing.T
}

func configuration(version uint64, keys ...string) indexer.Configuration {
	route := func(name string, idempotent, open bool) indexer.Route {
		return indexer.Route{
			Name: name, Host: "a.example", Prefix: "/" + name + "/", Idempotent: idempotent, Open: open, Attempts: 2,
			Timeout: time.Second, LatencyObjective: 300 * time.Millisecond, Shares: []indexer.Share{{Service: "s", Weight: 1}},
		}
	}
	return indexer.Configuration{
		Version:       version,
		Routes:        []indexer.Route{route("read", true, false), route("book", false, false), route("open", true, true)},
		Services:      []indexer.Service{{Name: "s"}},
		Organisations: []indexer.Organisation{{Name: "crews", Keys: keys, Rate: 1, Burst: 1000}},
	}
}

// start returns a VM that knows the targets and a key.
func start(t *testing.T, upstreams ...*upstream) *vm {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	vm := &vm{knowledge: &knowledge{}, t: t}
	vm.Dispatcher = &dispatcher.Dispatcher{
		Tracker: vm.knowledge, Messenger: silence{}, Exchanger: &exchanger.Exchanger{DialTimeout: 200 * time.Millisecond},
		Place: placer.Locality{Region: "r", DataCentre: "d"}, Regions: map[string]string{"d": "r"}, Clock: timer.Now,
		Policy: dispatcher.Policy{
			Rates:      throttler.Tolerance{Window: 5 * time.Second, Overshoot: 0.1, Extra: 20},
			RetryRatio: 0.2, RetryExtra: 600, RetryWindow: 10 * time.Second, Configuration: verifier.Policy{Propagation: 3 * time.Second, UnreachableGrace: 5 * time.Second, Withdrawal: 5 * time.Second},
		},
		Log: logrus.NewEntry(log),
	}
	vm.Open()
	t.Cleanup(vm.Exchanger.Close)
	vm.Share(messenger.Share{Group: 1, Heard: 1, VMs: 1})
	vm.configure(configuration(1, "key"))
	var targets []placer.Target
	for i, upstream := range upstreams {
		targets = append(targets, placer.Target{
			ID: fmt.Sprint("t", i), Service: "s", Address: upstream.address, DataCentre: "d", Slots: 4,
		})
	}
	vm.Target(targets)
	return vm
}

func (vm *vm) configure(configuration indexer.Configuration) {
	vm.t.Helper()
	index, err := indexer.New(configuration)
	if err != nil {
		vm.t.Fatal(err)
	}
	vm.knowledge.index.Store(index)
	vm.knowledge.asOf.Store(int64(timer.Now()))
	vm.Configure(index)
}

// call makes a caller's request.
func call(method, target, key string) *receiver.Call {
	turn := make(chan struct{})
	close(turn)
	header := http.Header{"X-Attempt-Id": {"a1"}, "X-Remaining-Milliseconds": {"800"}}
	if key != "" {
		header["X-Credential"] = []string{key}
	}
	request := httptest.NewRequest(method, "http://a.example"+target, nil)
	request.Header = header
	return &receiver.Call{Request: request, Target: target, Received: time.Now(), Turn: turn}
}

func (vm *vm) book() receiver.Reply {
	return vm.Serve(context.Background(), call(http.MethodPost, "/book/1", "key"))
}

func (vm *vm) read() receiver.Reply {
	return vm.Serve(context.Background(), call(http.MethodGet, "/read/1", "key"))
}

func TestTargetSeesWhatItMay(t *testing.T) {
	is := is.New(t)
	upstream := serve(t, answer(http.StatusOK, "done"))
	vm := start(t, upstream)
	asked := call(http.MethodGet, "/read/a%2Fb?x=1", "key")
	asked.Request.Header["X-Tenant"] = []string{"somebody-else"}
	asked.Request.Header["Connection"] = []string{"X-Secret"}
	asked.Request.Header["X-Secret"] = []string{"s"}
	reply := vm.Serve(context.Background(), asked)
	is.Equal(reply.Status, http.StatusOK)
	is.Equal(string(reply.Body), "done")
	is.Equal(reply.Header.Get("X-Response-Signature"), "signature")
	header := upstream.arrivals()[0]
	is.Equal(header["X-Credential"], nil)
	is.Equal(header["X-Secret"], nil)
	is.Equal(header["X-Tenant"], []string{"crews"})
	is.Equal(header["X-Expected-Instance"], []string{"t0"})
	is.Equal(header["X-Attempt-Id"], []string{"a1"})
}

func TestRefusals(t *testing.T) {
	is := is.New(t)
	vm := start(t, serve(t, answer(http.StatusOK, "")))
	status := func(target, key string) int {
		return vm.Serve(context.Background(), call(http.MethodGet, target, key)).Status
	}
	is.Equal(status("/nowhere/", "key"), http.StatusNotFound)
	is.Equal(status("/read/1", ""), http.StatusUnauthorized)
	is.Equal(status("/read/1", "other"), http.StatusUnauthorized)
	is.Equal(status("/open/1", ""), http.StatusOK)
	is.Equal(status("/open/1", "other"), http.StatusOK)
	// What a VM that may be behind doesn't know, another may.
	vm.knowledge.asOf.Store(int64(timer.Now() - 6*time.Second))
	is.Equal(status("/nowhere/", "key"), http.StatusServiceUnavailable)
	is.Equal(status("/read/1", "other"), http.StatusServiceUnavailable)
	is.Equal(status("/read/1", "key"), http.StatusServiceUnavailable)
	vm.knowledge.index.Store(nil)
	is.Equal(status("/open/1", ""), http.StatusServiceUnavailable)
}

// A VM whose knowledge is older than a change may be must not deny an added route.
func TestAddedRouteIsNotDeniedOnOldKnowledge(t *testing.T) {
	is := is.New(t)
	vm := start(t, serve(t, answer(http.StatusOK, "")))
	status := func(target, key string) int {
		return vm.Serve(context.Background(), call(http.MethodGet, target, key)).Status
	}
	vm.knowledge.asOf.Store(int64(timer.Now() - 3500*time.Millisecond))
	is.Equal(status("/added/", "key"), http.StatusServiceUnavailable)
	is.Equal(status("/read/1", "added"), http.StatusServiceUnavailable)
	is.Equal(status("/read/1", "key"), http.StatusOK)
	is.Equal(status("/open/1", ""), http.StatusOK)
}

// Open routes are no exception: a request must not run by a route that was moved.
func TestKnownChangeStopsServingByTheOldConfiguration(t *testing.T) {
	is := is.New(t)
	vm := start(t, serve(t, answer(http.StatusOK, "")))
	reply := func() receiver.Reply {
		return vm.Serve(context.Background(), call(http.MethodGet, "/open/1", ""))
	}
	vm.knowledge.asOf.Store(int64(timer.Now() - time.Hour))
	is.Equal(reply().Status, http.StatusOK) // the store is away
	vm.knowledge.behind.Store(true)
	is.Equal(reply().Status, http.StatusServiceUnavailable)
	is.True(!vm.Current())
	vm.knowledge.lost.Store(true)
	is.Equal(reply().Status, http.StatusServiceUnavailable)
	vm.knowledge.asOf.Store(int64(timer.Now() - 4*time.Second))
	is.Equal(reply().Status, http.StatusOK) // the store turns the VM away, not for long
	vm.knowledge.lost.Store(false)
	is.Equal(reply().Status, http.StatusServiceUnavailable)
	vm.knowledge.asOf.Store(int64(timer.Now() - time.Second))
	is.Equal(reply().Status, http.StatusOK) // the change is on its way, in time
}

// A request that meets a VM which has just started waits a moment for it, and is
// refused if it can't serve then.
func TestStartingVMIsAwaited(t *testing.T) {
	is := is.New(t)
	vm := start(t, serve(t, answer(http.StatusOK, "")))
	index := vm.knowledge.index.Swap(nil)
	started := make(chan struct{})
	vm.Started = started
	is.Equal(vm.read().Status, http.StatusServiceUnavailable)
	replies := make(chan receiver.Reply)
	go func() { replies <- vm.read() }()
	time.Sleep(20 * time.Millisecond)
	vm.knowledge.index.Store(index)
	close(started)
	is.Equal((<-replies).Status, http.StatusOK)
}

// A withdrawn key stops working also for a request that has waited.
func TestWithdrawnKeyIsNotSent(t *testing.T) {
	is := is.New(t)
	upstream := serve(t, answer(http.StatusOK, ""))
	vm := start(t, upstream)
	turn := make(chan struct{})
	waiting := call(http.MethodPost, "/book/1", "key")
	waiting.Turn = turn
	replies := make(chan receiver.Reply)
	go func() { replies <- vm.Serve(context.Background(), waiting) }()
	time.Sleep(20 * time.Millisecond)
	vm.configure(configuration(2, "new-key"))
	close(turn)
	is.Equal((<-replies).Status, http.StatusServiceUnavailable)
	is.Equal(vm.book().Status, http.StatusUnauthorized)
	is.Equal(len(upstream.arrivals()), 0)
}

func TestLeavingTargetGetsNothing(t *testing.T) {
	is := is.New(t)
	upstream := serve(t, answer(http.StatusOK, ""))
	vm := start(t, upstream)
	vm.Target([]placer.Target{{ID: "t0", Service: "s", Address: upstream.address, DataCentre: "d", Slots: 4, Leaving: true}})
	reply := vm.read()
	is.Equal(reply.Status, http.StatusServiceUnavailable)
	is.True(reply.Header.Get("Retry-After") != "")
	is.Equal(len(upstream.arrivals()), 0)
}

// A booking is sent again only if it certainly did not run.
func TestBookingRunsAtMostOnce(t *testing.T) {
	for name, test := range map[string]struct {
		first    http.HandlerFunc
		status   int
		arrivals int
	}{
		"good":         {answer(http.StatusOK, ""), http.StatusOK, 1},
		"failed":       {answer(http.StatusInternalServerError, ""), http.StatusInternalServerError, 1},
		"broken off":   {breakOff, http.StatusBadGateway, 1},
		"silent":       {hang, http.StatusGatewayTimeout, 1},
		"full":         {full, http.StatusServiceUnavailable, 2},
		"bare 503":     {answer(http.StatusServiceUnavailable, ""), http.StatusBadGateway, 1},
		"other target": {answer(http.StatusMisdirectedRequest, ""), http.StatusServiceUnavailable, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first, second := serve(t, test.first), serve(t, test.first)
			reply := start(t, first, second).book()
			is.Equal(reply.Status, test.status)
			is.Equal(len(first.arrivals())+len(second.arrivals()), test.arrivals)
			if reply.Status == http.StatusServiceUnavailable {
				is.True(reply.Header.Get("Retry-After") != "")
			}
		})
	}
}

func TestReadGoesToAnotherTarget(t *testing.T) {
	for name, bad := range map[string]http.HandlerFunc{
		"failed": answer(http.StatusInternalServerError, ""), "broken off": breakOff, "silent": hang, "full": full,
		"unsigned": func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "x") },
		"cut short": func(writer http.ResponseWriter, request *http.Request) {
			writer.Header().Set("Content-Length", "100")
			answer(http.StatusOK, "x")(writer, request)
		},
		"encoded": func(writer http.ResponseWriter, request *http.Request) {
			writer.Header().Set("Content-Encoding", "gzip")
			answer(http.StatusOK, "x")(writer, request)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			vm := start(t, serve(t, bad), serve(t, answer(http.StatusOK, "good")))
			for range 4 { // the first target is picked at once or later
				reply := vm.read()
				is.Equal(reply.Status, http.StatusOK)
				is.Equal(string(reply.Body), "good")
			}
		})
	}
}

// Without a budget for a second attempt a read isn't risked at a target that is
// known to fail, though the way to another is dearer.
func TestReadIsNotRiskedWithoutABudget(t *testing.T) {
	is := is.New(t)
	ill, good := serve(t, answer(http.StatusInternalServerError, "")), serve(t, answer(http.StatusOK, "good"))
	vm := start(t, ill, good)
	ahead := time.Duration(0)
	vm.Clock = func() time.Duration { return timer.Now() + ahead }
	vm.Regions["far"] = "elsewhere"
	vm.Target([]placer.Target{
		{ID: "t0", Service: "s", Address: ill.address, DataCentre: "d", Slots: 4},
		{ID: "t1", Service: "s", Address: good.address, DataCentre: "far", Slots: 4},
	})
	vm.SetPolicy(dispatcher.Policy{Rates: throttler.Tolerance{Window: time.Second}, RetryWindow: time.Second, Configuration: verifier.Policy{Withdrawal: 5 * time.Second}})
	vm.read() // takes what is left of the budget
	for range 5 {
		ahead += 500 * time.Millisecond // the suspicion of the near target fades a little
		is.Equal(vm.read().Status, http.StatusOK)
	}
}

// A target that can't be reached has not got the request.
func TestUnreachableTargetDoesNotCount(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	closed := &upstream{address: listener.Addr().String()}
	is.NoErr(listener.Close())
	good := serve(t, answer(http.StatusOK, ""))
	vm := start(t, closed, good)
	for range 4 {
		is.Equal(vm.book().Status, http.StatusOK)
	}
	is.Equal(start(t, closed).book().Status, http.StatusServiceUnavailable)
}

// The answer at the route's timeout comes at once, and the target's work ends.
func TestTimeoutIsAnsweredAtOnce(t *testing.T) {
	is := is.New(t)
	upstream := serve(t, hang)
	vm := start(t, upstream)
	began := time.Now()
	is.Equal(vm.book().Status, http.StatusGatewayTimeout)
	is.True(time.Since(began) < 1200*time.Millisecond) // the caller waits for 0.8 s
	for upstream.gone.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
}

func TestGoneCallerEndsTheTargetsWork(t *testing.T) {
	upstream := serve(t, hang)
	vm := start(t, upstream)
	ctx, cancel := context.WithCancel(context.Background())
	replies := make(chan receiver.Reply)
	go func() { replies <- vm.Serve(ctx, call(http.MethodGet, "/read/1", "key")) }()
	for len(upstream.arrivals()) == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	is.New(t).True((<-replies).Abort)
	for upstream.gone.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
}

// A second answer to an earlier request, which comes late on a kept connection,
// is not given to the next request.
func TestLateSecondAnswerIsDropped(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go doubled(listener)
	vm := start(t, &upstream{address: listener.Addr().String()})
	for _, id := range []string{"a1", "a2", "a3"} {
		asked := call(http.MethodGet, "/read/1", "key")
		asked.Request.Header["X-Attempt-Id"] = []string{id}
		reply := vm.Serve(context.Background(), asked)
		is.Equal(reply.Status, http.StatusOK)
		is.Equal(string(reply.Body), id)
	}
}

// doubled answers each request, after the answer to the one before once more.
func doubled(listener net.Listener) {
	for {
		raw, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = raw.Close() }()
			before := ""
			buffer := make([]byte, 4096)
			for {
				n, err := raw.Read(buffer)
				if err != nil {
					return
				}
				_, after, _ := strings.Cut(string(buffer[:n]), "X-Attempt-Id: ")
				id, _, _ := strings.Cut(after, "\r\n")
				text := before
				before = fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
				_, _ = io.WriteString(raw, text+before)
			}
		}()
	}
}

// Requests beyond the saved tokens wait for the next ones if these come soon.
func TestNearTokenIsAwaited(t *testing.T) {
	is := is.New(t)
	vm := start(t, serve(t, answer(http.StatusOK, "")))
	limited := configuration(2)
	limited.Organisations = []indexer.Organisation{{Name: "others", Keys: []string{"key"}, Rate: 50}}
	vm.configure(limited)
	for range 20 { // a VM starts with seven tokens
		is.Equal(vm.read().Status, http.StatusOK)
	}
}

func TestRateIsRefusedWithTheWait(t *testing.T) {
	is := is.New(t)
	vm := start(t, serve(t, answer(http.StatusOK, "")))
	limited := configuration(2, "key")
	limited.Organisations[0].Rate, limited.Organisations[0].Burst = 0.5, 1
	vm.configure(limited)
	var refused receiver.Reply
	for refused.Status != http.StatusTooManyRequests {
		refused = vm.read()
	}
	is.True(refused.Header.Get("Retry-After") != "")
}
