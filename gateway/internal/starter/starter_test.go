package starter_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"godwitramp.example/gateway/internal/loader"
	"godwitramp.example/gateway/internal/starter"
	"godwitramp.example/platform"
	"godwitramp.example/platform/faker"
)

// fleet runs VMs, a store and one target over real sockets.
type fleet struct {
	t              *testing.T
	store          *faker.Store
	address        string
	upstream       string
	targetRequests atomic.Int32
	// disconnected counts the requests whose connection ended before the answer.
	disconnected atomic.Int32
	mutex        sync.Mutex
	// runs counts how often the target ran each request, by its ID.
	runs map[string]int
	vms  []*vm
}

// vm is one running VM.
type vm struct {
	starter  *starter.Starter
	settings loader.Settings
	stop     context.CancelFunc
	stopped  chan struct{}
	logged   *logged
	// paths are the VM's paths to targets.
	paths *paths
}

// start runs a fleet of VMs and waits until they are ready.
func start(t *testing.T, vms int) *fleet {
	t.Helper()
	fleet := &fleet{t: t, store: &faker.Store{}}
	store := httptest.NewServer(fleet.store)
	t.Cleanup(store.Close)
	t.Cleanup(store.CloseClientConnections)
	fleet.address = strings.TrimPrefix(store.URL, "http://")
	target := httptest.NewServer(http.HandlerFunc(fleet.serveTarget))
	t.Cleanup(target.Close)
	fleet.upstream = strings.TrimPrefix(target.URL, "http://")
	fleet.configure(1, "key")
	fleet.store.Put(platform.TargetTable, "", "t", fmt.Appendf(nil,
		`{"Service":"s","Address":%q,"Zone":"d","Version":"v1","WarmupRemaining":"0ms","Slots":4,"State":"ready","Sequence":1}`, fleet.upstream))
	for i := range vms {
		fleet.run(fmt.Sprint("vm-", i))
	}
	return fleet
}

// longAnswer is the length of the answers to paths that end with /long.
const longAnswer = 4 << 20

func (fleet *fleet) serveTarget(writer http.ResponseWriter, request *http.Request) {
	fleet.targetRequests.Add(1)
	fleet.mutex.Lock()
	if fleet.runs == nil {
		fleet.runs = make(map[string]int)
	}
	fleet.runs[request.Header.Get("X-Attempt-Id")]++
	fleet.mutex.Unlock()
	if strings.HasSuffix(request.URL.Path, "/hangs") {
		<-request.Context().Done()
		fleet.disconnected.Add(1)
		return
	}
	if strings.HasSuffix(request.URL.Path, "/slow") {
		time.Sleep(1200 * time.Millisecond)
	}
	body := "served"
	if strings.HasSuffix(request.URL.Path, "/long") {
		body = strings.Repeat("s", longAnswer)
	}
	writer.Header().Set("X-Attempt-Id", request.Header.Get("X-Attempt-Id"))
	writer.Header().Set("X-Response-Signature", "signature")
	_, _ = io.WriteString(writer, body)
}

// runsOf returns how often the target ran a request.
func (fleet *fleet) runsOf(id string) int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.runs[id]
}

func (fleet *fleet) configure(version int, key string) {
	fleet.store.Put(platform.ConfigurationTable, "", "config", fmt.Appendf(nil, `{"Version":"r%d","Resources":[
		{"ResourceKind":"Routes","Metadata":{"Name":"r"},"Specification":{"Host":"a.example","Prefix":"/","Kind":"idempotent",
		"Timeout":"5s","ObjectiveLatency":"4s","Service":"s","Attempts":2}},
		{"ResourceKind":"Routes","Metadata":{"Name":"u"},"Specification":{"Host":"a.example","Prefix":"/upload/","Kind":"upload",
		"Timeout":"5s","ObjectiveLatency":"4s","Service":"s","Attempts":2}},
		{"ResourceKind":"Services","Metadata":{"Name":"s"},"Specification":{"HealthCheckPath":"/health","ConnectionLimit":9}},
		{"ResourceKind":"Tenants","Metadata":{"Name":"crews"},"Specification":{"ApiKeys":[%q]}},
		{"ResourceKind":"Limits","Metadata":{},"Specification":{"MaxHeaderBytes":4096,"MaxBodyBytes":4096,
		"HeaderTimeout":"3s","IdleTimeout":"15s"}}]}`, version, key))
}

// addressCount counts the calls of freeAddress.
var addressCount atomic.Int32

// firstPort is below the system's range of ephemeral ports.
const firstPort = 20000

// freeAddress returns a loopback address that no other process or connection uses: the
// IP address is derived from the process ID, and each port is returned once.
func freeAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid>>16&0x3f, pid>>8&0xff, pid&0xff, firstPort+addressCount.Add(1))
}

func (fleet *fleet) run(name string) {
	vm := fleet.launch(name)
	fleet.waitUntil("the VM is ready", vm.ready)
}

// launch starts a VM and returns at once.
func (fleet *fleet) launch(name string) *vm { return fleet.launchIn(name, "d", fleet.address) }

// launchIn starts a VM in a data centre that reaches the store by an address, and returns at once.
func (fleet *fleet) launchIn(name, dataCentre, store string) *vm {
	t := fleet.t
	settings := loader.Settings{
		Name: name, Region: "r", DataCentre: dataCentre, Regions: map[string]string{"d": "r", "e": "r"},
		Callers: freeAddress(), Readiness: freeAddress(), Operators: freeAddress(), Messages: freeAddress(), Store: store,
		MemoryMB: 256, Descriptors: 1000, Propagation: 2 * time.Second, Leaving: 2 * time.Second,
		Withdrawal: 5 * time.Second, StopGrace: 2 * time.Second, RetryRatio: 0.2, RetryExtra: 60, RetryWindow: 10 * time.Second,
		RateWindow: 5 * time.Second, RateOvershoot: 0.1, RateTolerance: 20, BlockTime: time.Minute,
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	logged := &logged{}
	log.AddHook(logged)
	starter := &starter.Starter{Settings: settings, Log: logrus.NewEntry(log)}
	starter.Open()
	paths := &paths{}
	starter.SetDial(paths.dial)
	ctx, cancel := context.WithCancel(context.Background())
	vm := &vm{starter: starter, settings: settings, stop: cancel, stopped: make(chan struct{}), logged: logged, paths: paths}
	go func() {
		defer close(vm.stopped)
		if err := starter.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-vm.stopped
	})
	fleet.vms = append(fleet.vms, vm)
	return vm
}

// waitUntil waits for a condition. The timeout only keeps a failing test from hanging.
func (fleet *fleet) waitUntil(what string, condition func() bool) {
	fleet.t.Helper()
	end := time.Now().Add(30 * time.Second)
	for !condition() {
		if time.Now().After(end) {
			fleet.t.Fatalf("timed out after 30 s: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (vm *vm) ready() bool {
	response, err := http.Get("http://" + vm.settings.Readiness + platform.ReadinessPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// sendRequest sends a request on a connection and returns the answer.
func sendRequest(connection net.Conn, path, key string) (*http.Response, error) {
	_, err := fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: a1\r\n"+
		"X-Remaining-Milliseconds: 5000\r\nX-Credential: %s\r\n\r\n", path, key)
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if _, err := io.ReadAll(response.Body); err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return response, nil
}

func (vm *vm) status(t *testing.T, key string) int {
	t.Helper()
	connection, err := net.Dial("tcp", vm.settings.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	response, err := sendRequest(connection, "/", key)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode
}

func TestRequestsAreServedEndToEnd(t *testing.T) {
	is := is.New(t)
	fleet := start(t, 3)
	for _, vm := range fleet.vms {
		is.Equal(vm.status(t, "key"), http.StatusOK)
		is.Equal(vm.status(t, "other"), http.StatusUnauthorized)
	}
	fleet.configure(2, "other")
	for _, vm := range fleet.vms {
		fleet.waitUntil("the withdrawn key is rejected", func() bool { return vm.status(t, "key") == http.StatusUnauthorized })
		is.Equal(vm.status(t, "other"), http.StatusOK)
	}
	response, err := http.Get("http://" + fleet.vms[0].settings.Operators + "/metrics")
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.True(strings.Contains(string(body), `gateway_answers_total{status="200"`))
	response, err = http.Get("http://" + fleet.vms[0].settings.Readiness + "/metrics")
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusNotFound) // the balancer's address shows no counters
}

// VMs that the store doesn't answer must end readiness and reject keys in time, and must
// serve again after the outage.
func TestUnreachableStoreEndsReadinessAndKeys(t *testing.T) {
	is := is.New(t)
	fleet := start(t, 2)
	fleet.store.SetFaults(faker.Faults{Silent: true})
	silentSince := time.Now()
	for _, vm := range fleet.vms {
		fleet.waitUntil("the VM is not ready", func() bool { return !vm.ready() })
		fleet.waitUntil("the key is rejected", func() bool { return vm.status(t, "key") == http.StatusServiceUnavailable })
	}
	is.True(time.Since(silentSince) < 6*time.Second)
	fleet.store.SetFaults(faker.Faults{})
	for _, vm := range fleet.vms {
		fleet.waitUntil("the VM serves again", func() bool { return vm.ready() && vm.status(t, "key") == http.StatusOK })
	}
}

// A planned stop must end within the grace although targets don't answer and callers
// keep their connections open.
func TestPlannedStopWithUnfinishedRequests(t *testing.T) {
	is := is.New(t)
	fleet := start(t, 1)
	vm := fleet.vms[0]
	for range 4 {
		connection, err := net.Dial("tcp", vm.settings.Callers)
		is.NoErr(err)
		defer func() { _ = connection.Close() }()
		go func() { _, _ = sendRequest(connection, "/hangs", "key") }() // fails at the end of the grace
	}
	fleet.waitUntil("the target runs the requests", func() bool { return fleet.targetRequests.Load() >= 4 })
	stopTime := time.Now()
	vm.stop()
	<-vm.stopped
	is.True(time.Since(stopTime) < vm.settings.StopGrace)
}

// A planned stop must end within the grace although callers don't read their answers.
func TestPlannedStopWithCallersThatNeverRead(t *testing.T) {
	is := is.New(t)
	fleet := start(t, 1)
	vm := fleet.vms[0]
	for range 4 {
		connection, err := net.Dial("tcp", vm.settings.Callers)
		is.NoErr(err)
		defer func() { _ = connection.Close() }()
		_, err = io.WriteString(connection, "GET /long HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: a1\r\n"+
			"X-Remaining-Milliseconds: 5000\r\nX-Credential: key\r\n\r\n")
		is.NoErr(err)
		_, err = connection.Read(make([]byte, 1))
		is.NoErr(err)
	}
	stopTime := time.Now()
	vm.stop()
	<-vm.stopped
	is.True(time.Since(stopTime) < vm.settings.StopGrace)
	is.True(vm.logged.has("delivery-cut"))
}

// Answers that are ready must be delivered although a request before them on their connection
// outlasts the stop.
func TestPlannedStopDeliversAnswersBehindAnUnfinishedRequest(t *testing.T) {
	is := is.New(t)
	fleet := start(t, 1)
	vm := fleet.vms[0]
	connection, err := net.Dial("tcp", vm.settings.Callers)
	is.NoErr(err)
	defer func() { _ = connection.Close() }()
	for i, path := range []string{"/hangs", "/ready"} {
		_, err = fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: a%d\r\n"+
			"X-Remaining-Milliseconds: 30000\r\nX-Credential: key\r\n\r\n", path, i)
		is.NoErr(err)
	}
	fleet.waitUntil("the target has both", func() bool { return fleet.targetRequests.Load() >= 2 })
	vm.stop()
	reader := bufio.NewReader(connection)
	for _, want := range []int{http.StatusBadGateway, http.StatusOK} {
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.Equal(response.StatusCode, want)
	}
	<-vm.stopped
}

// A planned stop must finish running requests, serve new connections meanwhile and end
// within the grace.
func TestPlannedStopFinishesRequests(t *testing.T) {
	is := is.New(t)
	fleet := start(t, 1)
	vm := fleet.vms[0]
	connection, err := net.Dial("tcp", vm.settings.Callers)
	is.NoErr(err)
	defer func() { _ = connection.Close() }()
	var group sync.WaitGroup
	var response *http.Response
	var requestErr error
	group.Go(func() { response, requestErr = sendRequest(connection, "/slow", "key") })
	fleet.waitUntil("the target runs the requests", func() bool { return fleet.targetRequests.Load() == 1 })
	stopTime := time.Now()
	vm.stop()
	fleet.waitUntil("the VM is not ready", func() bool { return !vm.ready() })
	is.Equal(vm.status(t, "key"), http.StatusOK) // a new connection
	group.Wait()
	is.NoErr(requestErr)
	is.Equal(response.StatusCode, http.StatusOK)
	is.True(response.Close)
	<-vm.stopped
	is.True(time.Since(stopTime) < vm.settings.StopGrace)
}

// VMs that were replaced as planned must not keep parts of the rates of a fleet that starts again.
func TestRestartedFleetLeavesPartsToReplacedVMs(t *testing.T) {
	is := is.New(t)
	fleet := start(t, 1)
	for i := range 2 {
		replaced := fleet.launch(fmt.Sprint("replaced-", i))
		fleet.waitUntil("the VM is ready", replaced.ready)
		replaced.stop()
		<-replaced.stopped
	}
	started := fleet.launch("starts")
	fleet.waitUntil("the VM is ready", started.ready)
	is.Equal(started.starter.Share().VMs, 2)
}

// A planned stop and a reload in the middle of an upload must not cut it; a key that is
// withdrawn meanwhile must not let it run.
func TestChangesInTheMiddleOfAnUpload(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(fleet *fleet, vm *vm)
		status int
	}{
		{"stop", func(_ *fleet, vm *vm) { vm.stop() }, http.StatusOK},
		{"reload", func(_ *fleet, vm *vm) { vm.starter.Reload(vm.settings) }, http.StatusOK},
		{"key withdrawn", func(fleet *fleet, vm *vm) {
			fleet.configure(2, "other")
			fleet.waitUntil("the withdrawn key is rejected", func() bool { return vm.status(t, "key") == http.StatusUnauthorized })
		}, http.StatusUnauthorized},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fleet := start(t, 1)
			vm := fleet.vms[0]
			connection, err := net.Dial("tcp", vm.settings.Callers)
			is.NoErr(err)
			t.Cleanup(func() { _ = connection.Close() })
			_, err = io.WriteString(connection, "POST /upload/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: a1\r\n"+
				"X-Remaining-Milliseconds: 30000\r\nX-Credential: key\r\nContent-Length: 4\r\n\r\nab")
			is.NoErr(err)
			test.change(fleet, vm)
			before := fleet.targetRequests.Load()
			_, err = io.WriteString(connection, "cd")
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, test.status)
			ran := fleet.targetRequests.Load() - before
			is.Equal(ran, map[int]int32{http.StatusOK: 1}[test.status])
		})
	}
}
