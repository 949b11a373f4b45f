package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
	"godwitramp.example/platform/faker"
)

// The stage of "crashing": six VMs, sixteen targets of one service, and a read that crashes each target workTime after that
// began to run it. Several callers of one organisation send it at the same moment, every five seconds.
const (
	crashingVMs     = 6
	crashingTargets = 16
	// volleySize callers send the read at once.
	volleySize   = 8
	volleys      = 3
	volleyPeriod = 5 * time.Second
	// workTime is how long a target works on the read before it crashes, beside faker.CrashTime, and downTime how long it
	// is away.
	workTime = 1200 * time.Millisecond
	downTime = 2 * time.Second
	// stabilityWindow is the platform's, and maxRetries the number of retries that its rule allows after that.
	stabilityWindow = 3 * time.Second
	maxRetries      = 3
	bookingPause    = 25 * time.Millisecond
	// bookingTime is how long bookings go before the first volley.
	bookingTime = 6 * time.Second
)

// crashingTarget is a target whose process ends and starts again at the same address.
type crashingTarget struct {
	stage   *stage
	id      string
	address string
	audit   *crashAudit
	trouble bool

	mutex       sync.Mutex
	server      *http.Server
	unregister  context.CancelFunc
	connections map[net.Conn]bool
}

func (target *crashingTarget) start() error {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	address := target.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("start target %s again: %w", target.id, err)
	}
	target.address = listener.Addr().String()
	target.connections = make(map[net.Conn]bool)
	connections := target.connections
	service := &faker.Target{ID: target.id, Service: "s", Slots: 4, ServiceTime: 200 * time.Millisecond, Record: target.audit.add}
	target.server = &http.Server{Handler: service, ConnState: func(conn net.Conn, state http.ConnState) {
		target.mutex.Lock()
		defer target.mutex.Unlock()
		if state == http.StateNew {
			connections[conn] = true
		} else if state == http.StateClosed {
			delete(connections, conn)
		}
	}}
	server := target.server
	if target.trouble {
		service.Crash = func() {
			time.Sleep(workTime)
			target.crash(server)
		}
	}
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithCancel(target.stage.context)
	target.unregister = cancel
	go target.stage.register(ctx, placer.Target{
		ID: target.id, Incarnation: time.Now().UnixMilli(), Service: "s", Address: target.address, DataCentre: zoneNames[0], Slots: 4,
	})
	return nil
}

// crash ends a start of the target as a crash of its process does: connections are reset, and the address refuses new ones.
func (target *crashingTarget) crash(server *http.Server) {
	target.mutex.Lock()
	connections := target.connections
	if target.server != server {
		target.mutex.Unlock()
		return // it has crashed already
	}
	target.server = nil
	target.audit.crashed(target.id)
	target.unregister()
	for conn := range connections {
		if raw, ok := conn.(*net.TCPConn); ok {
			_ = raw.SetLinger(0)
		}
	}
	target.mutex.Unlock()
	_ = server.Close()
	time.AfterFunc(downTime, func() {
		if err := target.start(); err != nil {
			target.stage.record.say("%v", err)
		}
	})
}

// crashing plays the stage, and returns the exit code.
func crashing(root, recordFile string, trouble bool) int {
	stage, err := newStage(root, recordFile)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer stage.close()
	audit := &crashAudit{record: stage.record}
	for i := range crashingTargets {
		target := &crashingTarget{stage: stage, id: fmt.Sprintf("i-%02d", i), audit: audit, trouble: trouble}
		if err := target.start(); err != nil {
			fmt.Println(err)
			return exitNotRun
		}
	}
	stage.configure(indexer.Configuration{
		Version:  1,
		Services: []indexer.Service{{Name: "s", HealthPath: faker.HealthPath, ConnectionLimit: 360}},
		Routes: []indexer.Route{
			{Name: "list", Host: "a.example", Prefix: "/list/", Idempotent: true, Timeout: 5 * time.Second, LatencyObjective: time.Second, Attempts: 2, Shares: []indexer.Share{{Service: "s", Weight: 1}}},
			{Name: "book", Host: "a.example", Prefix: "/book/", Timeout: 2500 * time.Millisecond, LatencyObjective: time.Second, Attempts: 2, Shares: []indexer.Share{{Service: "s", Weight: 1}}},
		},
		Organisations: []indexer.Organisation{{Name: "crew", Keys: []string{"key-1"}}},
		Limits:        indexer.Limits{HeaderBytes: 16384, BodyBytes: 67108864, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	})
	if err := stage.startVMs(crashingVMs, 284, 4100); err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	var group sync.WaitGroup
	bookings := make(chan struct{})
	group.Go(func() { audit.book(stage, bookings) })
	time.Sleep(bookingTime)
	for volley := range volleys {
		next := time.Now().Add(volleyPeriod)
		stage.record.say("%d callers send the read at once, volley %d", volleySize, volley+1)
		var callers sync.WaitGroup
		for i := range volleySize {
			callers.Go(func() {
				id := fmt.Sprintf("read-%d-%d", volley+1, i+1)
				outcome := ask(stage.vms[i%len(stage.vms)].callers, faker.Request{
					Host: "a.example", Method: http.MethodGet, Path: "/list" + faker.CrashPath + "7/", ID: id, Key: "key-1", Remaining: 5 * time.Second,
				})
				stage.record.say("%s at %s: %s", id, stage.vms[i%len(stage.vms)].name, outcome)
			})
		}
		callers.Wait()
		time.Sleep(time.Until(next))
	}
	close(bookings)
	group.Wait()
	return audit.judge()
}

// ask sends a request on a new connection, and returns its answer as text.
func ask(address string, request faker.Request) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "no connection"
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(request.Remaining))
	if err := request.Write(conn); err != nil {
		return "not sent"
	}
	answer, err := faker.ReadAnswer(bufio.NewReader(conn))
	if err != nil {
		return "no answer"
	}
	return fmt.Sprint(answer.Status)
}

// crashAudit holds what the targets saw of the read.
type crashAudit struct {
	record *record
	mutex  sync.Mutex
	runs   []faker.Arrival
	// crashes are the times at which targets crashed.
	crashes      []time.Time
	booked, lost atomic.Int64
}

// add records a run of the read that has ended.
func (audit *crashAudit) add(arrival faker.Arrival) {
	if !strings.Contains(arrival.Path, faker.CrashPath) || !arrival.Run {
		return
	}
	audit.mutex.Lock()
	defer audit.mutex.Unlock()
	audit.runs = append(audit.runs, arrival)
}

// crashed records that a target crashes.
func (audit *crashAudit) crashed(target string) {
	audit.mutex.Lock()
	defer audit.mutex.Unlock()
	audit.crashes = append(audit.crashes, time.Now())
	audit.record.say("target %s crashes", target)
}

// book sends bookings of other callers until the channel is closed.
func (audit *crashAudit) book(stage *stage, end <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for i := 0; ; i++ {
		select {
		case <-end:
			return
		case <-time.After(bookingPause):
		}
		vm := stage.vms[i%len(stage.vms)]
		group.Go(func() {
			id := fmt.Sprintf("booking-%d", i)
			outcome := ask(vm.callers, faker.Request{
				Host: "a.example", Method: http.MethodPost, Path: fmt.Sprintf("/book/%d", i), Body: id, ID: id, Key: "key-1", Remaining: 2500 * time.Millisecond,
			})
			audit.booked.Add(1)
			if outcome != "200" {
				audit.lost.Add(1)
				stage.record.say("%s at %s: %s", id, vm.name, outcome)
			}
		})
	}
}

// judge counts the retries of the read that reached targets later than the rule allows: those that began then, and were not
// the first of their client attempt.
func (audit *crashAudit) judge() int {
	audit.mutex.Lock()
	defer audit.mutex.Unlock()
	slices.SortFunc(audit.runs, func(a, b faker.Arrival) int { return a.Begun.Compare(b.Begun) })
	slices.SortFunc(audit.crashes, time.Time.Compare)
	since := func(at time.Time) float64 { return at.Sub(audit.record.start).Seconds() }
	late, retries, sent := 0, 0, make(map[string]bool)
	for _, run := range audit.runs {
		what := "first"
		if sent[run.ID] {
			what = "retry"
		}
		if len(audit.crashes) >= 3 && run.Begun.After(audit.crashes[2].Add(stabilityWindow)) {
			late++
			if sent[run.ID] {
				retries++
			}
			what += ", late"
		}
		sent[run.ID] = true
		audit.record.say("%s reached target %s at %.3f s (%s)", run.ID, run.TargetID, since(run.Begun), what)
	}
	audit.record.say("%d of %d other requests were not answered with success", audit.lost.Load(), audit.booked.Load())
	if len(audit.crashes) < 3 {
		audit.record.say("the read crashed %d targets and ran %d times: the rule holds", len(audit.crashes), len(audit.runs))
		return exitHeld
	}
	audit.record.say("the read crashed its third target at %.3f s, and %d in all; later than %v after the third it reached targets %d times, %d of them retries; allowed are %d",
		since(audit.crashes[2]), len(audit.crashes), stabilityWindow, late, retries, maxRetries)
	if retries > maxRetries {
		audit.record.say("BUDGET is broken")
		return exitBroken
	}
	audit.record.say("the rule holds")
	return exitHeld
}
