package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
	"godwitramp.example/platform/faker"
)

// The stage of "silent": six VMs, twelve targets of the site's slowest service and twelve of its quickest. One read of the
// slow service crashes each target that begins
// to run it; the target falls silent as a machine without power does, and is back after some seconds. The read comes
// again every half second, at another VM each time.
const (
	silentVMs     = 6
	silentTargets = 12
	silentDown    = 2 * time.Second
	silentPeriod  = 500 * time.Millisecond
	silentReads   = 40
	// usualPause is the mean pause between the other reads: seven a second, as at the site. usualWork and usualSpread are
	// the site's work for them.
	usualPause  = 140 * time.Millisecond
	usualWork   = 1100 * time.Millisecond
	usualSpread = 0.6
	maxWork     = 4 * time.Second
	// listsPause and listsWork are those of the site's quickest service, whose targets stay sound.
	listsPause = 63 * time.Millisecond
	listsWork  = 350 * time.Millisecond
	// warmup is how long the other reads go before the first one that crashes targets.
	warmup = 15 * time.Second
)

// silentTarget is a target whose machine loses power: its connections stay open and nothing comes over them, and new ones
// hang. Then it is back at the same address, under its ID, and knows nothing of before.
type silentTarget struct {
	stage    *stage
	id       string
	silent   bool
	service  string
	audit    *crashAudit
	listener *net.TCPListener

	mutex sync.Mutex
	// start is the present start of the target, nil while it is down.
	start *targetStart
	// fillers are the connections that fill the queue of new connections while it is down.
	fillers []net.Conn
	resumed chan struct{}
}

// targetStart is one start of a target.
type targetStart struct {
	dead   atomic.Bool
	cancel context.CancelFunc
}

func (target *silentTarget) open() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for target: %w", err)
	}
	target.listener = listener.(*net.TCPListener)
	target.begin()
	return nil
}

// begin starts the target.
func (target *silentTarget) begin() {
	ctx, cancel := context.WithCancel(target.stage.context)
	start := &targetStart{cancel: cancel}
	service := &faker.Target{ID: target.id, Service: target.service, Slots: 4, ServiceTime: usualWork, Record: target.audit.add, HidesCrashes: true}
	if target.silent {
		service.Crash = func() { target.crash(start) }
	}
	target.mutex.Lock()
	target.start = start
	target.mutex.Unlock()
	server := &http.Server{Handler: service}
	go func() { _ = server.Serve(&startListener{Listener: target.listener, start: start}) }()
	go target.stage.register(ctx, placer.Target{
		ID: target.id, Incarnation: time.Now().UnixMilli(), Service: target.service, Address: target.listener.Addr().String(), DataCentre: zoneNames[0], Slots: 4,
	})
}

// crash ends a start once. Its requests never get an answer.
func (target *silentTarget) crash(start *targetStart) {
	if !start.dead.CompareAndSwap(false, true) {
		return
	}
	start.cancel()
	_ = target.listener.SetDeadline(time.Unix(1, 0)) // ends the wait for the next connection
	target.setBacklog(0)
	fillers := target.fill()
	target.audit.crashed(target.id)
	time.AfterFunc(silentDown, func() {
		target.setBacklog(128)
		for _, filler := range fillers {
			_ = filler.Close()
		}
		_ = target.listener.SetDeadline(time.Time{})
		target.begin()
		target.stage.record.say("target %s is back", target.id)
	})
}

// setBacklog sets the length of the queue of new connections.
func (target *silentTarget) setBacklog(length int) {
	raw, err := target.listener.SyscallConn()
	if err == nil {
		err = raw.Control(func(descriptor uintptr) { _ = syscall.Listen(int(descriptor), length) })
	}
	if err != nil {
		target.stage.record.say("set queue of target %s: %v", target.id, err)
	}
}

// fill opens connections until new ones hang.
func (target *silentTarget) fill() []net.Conn {
	var fillers []net.Conn
	for range 8 {
		conn, err := net.DialTimeout("tcp", target.listener.Addr().String(), 50*time.Millisecond)
		if err != nil {
			break
		}
		fillers = append(fillers, conn)
	}
	return fillers
}

// startListener accepts connections for a start of a target.
type startListener struct {
	net.Listener
	start *targetStart
}

// Accept returns the next connection, or an error once the start has ended.
func (listener *startListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if listener.start.dead.Load() || errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, net.ErrClosed
	}
	if err != nil {
		return nil, err
	}
	return &startConn{Conn: conn, start: listener.start}, nil
}

// Close leaves the listener open for the next start.
func (listener *startListener) Close() error { return nil }

// startConn is a connection of a start. It falls silent with that.
type startConn struct {
	net.Conn
	start *targetStart
}

// Write drops what a dead target would write.
func (conn *startConn) Write(data []byte) (int, error) {
	if conn.start.dead.Load() {
		return len(data), nil
	}
	return conn.Conn.Write(data)
}

// Close leaves the connection of a dead target open.
func (conn *startConn) Close() error {
	if conn.start.dead.Load() {
		return nil
	}
	return conn.Conn.Close()
}

// silent plays the stage, and returns the exit code.
func silent(root, recordFile string, trouble bool) int {
	stage, err := newStage(root, recordFile)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer stage.close()
	audit := &crashAudit{record: stage.record}
	for i := range 2 * silentTargets {
		target := &silentTarget{stage: stage, id: fmt.Sprintf("i-%02d", i), service: "notes", silent: trouble, audit: audit}
		if i >= silentTargets {
			target.service = "lists"
		}
		if err := target.open(); err != nil {
			fmt.Println(err)
			return exitNotRun
		}
	}
	stage.configure(indexer.Configuration{
		Version:  1,
		Services: []indexer.Service{{Name: "notes", HealthPath: faker.HealthPath, ConnectionLimit: 360}, {Name: "lists", HealthPath: faker.HealthPath, ConnectionLimit: 360}},
		Routes: []indexer.Route{
			{Name: "notes", Host: "a.example", Prefix: "/notes/", Idempotent: true, Timeout: 8 * time.Second, LatencyObjective: 3 * time.Second, Attempts: 2, Priority: 2, Shares: []indexer.Share{{Service: "notes", Weight: 1}}},
			{Name: "lists", Host: "a.example", Prefix: "/lists/", Idempotent: true, Timeout: 2 * time.Second, LatencyObjective: time.Second, Attempts: 2, Priority: 2, Shares: []indexer.Share{{Service: "lists", Weight: 1}}},
		},
		Organisations: []indexer.Organisation{{Name: "crew", Keys: []string{"key-1"}}},
		Limits:        indexer.Limits{HeaderBytes: 16384, BodyBytes: 67108864, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	})
	if err := stage.startVMs(silentVMs, 284, 4100); err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	var group sync.WaitGroup
	end := make(chan struct{})
	group.Go(func() { audit.readOthers(stage, end) })
	group.Go(func() { audit.readLists(stage, end) })
	time.Sleep(warmup)
	for i := range silentReads {
		vm, id := stage.vms[i%len(stage.vms)], fmt.Sprintf("read-%d", i+1)
		group.Go(func() {
			outcome := ask(vm.callers, faker.Request{Host: "a.example", Method: http.MethodGet, Path: "/notes" + faker.CrashPath + "7/", ID: id, Key: "key-1", Remaining: 8 * time.Second})
			stage.record.say("%s at %s: %s", id, vm.name, outcome)
		})
		time.Sleep(silentPeriod)
	}
	close(end)
	group.Wait()
	return audit.judge()
}

// readOthers sends other reads until the channel is closed.
func (audit *crashAudit) readOthers(stage *stage, end <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for i := 0; ; i++ {
		select {
		case <-end:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(usualPause))):
		}
		vm := stage.vms[rand.IntN(len(stage.vms))]
		work := min(maxWork, time.Duration(float64(usualWork)*math.Exp(usualSpread*rand.NormFloat64()-usualSpread*usualSpread/2)))
		group.Go(func() {
			id := fmt.Sprintf("other-%d", i)
			outcome := ask(vm.callers, faker.Request{
				Host: "a.example", Method: http.MethodGet, Path: fmt.Sprintf("/notes/%d?work=%dms", i, work.Milliseconds()), ID: id, Key: "key-1", Remaining: 8 * time.Second,
			})
			audit.booked.Add(1)
			if outcome != "200" {
				audit.lost.Add(1)
				stage.record.say("%s at %s: %s", id, vm.name, outcome)
			}
		})
	}
}

// readLists sends reads to the other service until the channel is closed.
func (audit *crashAudit) readLists(stage *stage, end <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for i := 0; ; i++ {
		select {
		case <-end:
			return
		case <-time.After(listsPause):
		}
		vm := stage.vms[i%len(stage.vms)]
		group.Go(func() {
			id := fmt.Sprintf("list-%d", i)
			outcome := ask(vm.callers, faker.Request{
				Host: "a.example", Method: http.MethodGet, Path: fmt.Sprintf("/lists/%d?work=%dms", i, listsWork.Milliseconds()), ID: id, Key: "key-1", Remaining: 2 * time.Second,
			})
			if outcome != "200" {
				stage.record.say("%s at %s: %s", id, vm.name, outcome)
			}
		})
	}
}
