package main

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
	"godwitramp.example/platform/faker"
)

// The stage of "chunks": four VMs and ten targets. For five seconds, six of the targets spoil 3 in 100 of their answers: the
// status line names HTTP/1.0, and the body comes in chunks, which that version doesn't have.
const (
	chunksVMs     = 4
	chunksTargets = 10
	spoilers      = 6
	spoiledShare  = 0.03
	spoilTime     = 5 * time.Second
	// chunksPause is the pause between bookings: 90 a second, as at the site.
	chunksPause = 11 * time.Millisecond
)

// spoiler spoils some answers of a target.
type spoiler struct {
	*faker.Target
	record  *record
	active  *atomic.Bool
	spoiled *atomic.Int64
}

// ServeHTTP answers as the target does, in a spoiled form at times.
func (spoiler *spoiler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == faker.HealthPath || !spoiler.active.Load() || rand.Float64() >= spoiledShare {
		spoiler.Target.ServeHTTP(writer, request)
		return
	}
	answer := httptest.NewRecorder()
	spoiler.Target.ServeHTTP(answer, request)
	if answer.Code != http.StatusOK {
		for name, values := range answer.Header() {
			writer.Header()[name] = values
		}
		writer.WriteHeader(answer.Code)
		return
	}
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = connection.Close() }()
	var spoiled bytes.Buffer
	spoiled.WriteString("HTTP/1.0 200 OK\r\n")
	for name, values := range answer.Header() {
		if name != "Content-Length" {
			fmt.Fprintf(&spoiled, "%s: %s\r\n", name, values[0])
		}
	}
	fmt.Fprintf(&spoiled, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", answer.Body.Len(), answer.Body)
	spoiler.spoiled.Add(1)
	spoiler.record.say("target %s answers in a spoiled form, its body is %q", spoiler.ID, answer.Body)
	_, _ = connection.Write(spoiled.Bytes())
}

// chunks plays the stage, and returns the exit code.
func chunks(root, recordFile string, trouble bool) int {
	stage, err := newStage(root, recordFile)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer stage.close()
	var active atomic.Bool
	var spoiled atomic.Int64
	for i := range chunksTargets {
		target := &faker.Target{ID: fmt.Sprintf("i-%02d", i), Service: "s", Slots: 8, ServiceTime: 50 * time.Millisecond, Record: func(faker.Arrival) {}}
		var handler http.Handler = target
		if i < spoilers {
			handler = &spoiler{Target: target, record: stage.record, active: &active, spoiled: &spoiled}
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fmt.Println(err)
			return exitNotRun
		}
		go func() { _ = http.Serve(listener, handler) }()
		go stage.register(stage.context, placer.Target{
			ID: target.ID, Incarnation: time.Now().UnixMilli(), Service: "s", Address: listener.Addr().String(), DataCentre: zoneNames[i%len(zoneNames)], Slots: 8,
		})
	}
	stage.configure(indexer.Configuration{
		Version:  1,
		Services: []indexer.Service{{Name: "s", HealthPath: faker.HealthPath, ConnectionLimit: 360}},
		Routes: []indexer.Route{
			{Name: "book", Host: "a.example", Prefix: "/book/", Timeout: 2500 * time.Millisecond, LatencyObjective: time.Second, Attempts: 2, Shares: []indexer.Share{{Service: "s", Weight: 1}}},
		},
		Organisations: []indexer.Organisation{{Name: "crew", Keys: []string{"key-1"}}},
		Limits:        indexer.Limits{HeaderBytes: 16384, BodyBytes: 67108864, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	})
	if err := stage.startVMs(chunksVMs, 284, 4100); err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	begin := time.Now()
	var group sync.WaitGroup
	var sent, answered, mixed atomic.Int64
	for i := 0; time.Since(begin) < 3*spoilTime; i++ {
		after := time.Since(begin)
		active.Store(trouble && after > spoilTime && after < 2*spoilTime)
		vm, id := stage.vms[i%len(stage.vms)], fmt.Sprintf("booking-%d", i)
		group.Go(func() {
			sent.Add(1)
			answer, body, err := book(vm.callers, id)
			switch {
			case err != nil:
				stage.record.say("%s at %s: %v", id, vm.name, err)
			case answer.Status == http.StatusOK && answer.Genuine:
				answered.Add(1)
			case answer.Status == http.StatusOK:
				mixed.Add(1)
				stage.record.say("%s at %s: 200, signed %v, with a body that is not the target's: %q", id, vm.name, answer.Signed, body)
			default:
				stage.record.say("%s at %s: %d", id, vm.name, answer.Status)
			}
		})
		time.Sleep(chunksPause)
	}
	group.Wait()
	stage.record.say("%d bookings sent, %d answered with the target's body, %d answers spoiled by targets, %d bookings answered 200 with another body",
		sent.Load(), answered.Load(), spoiled.Load(), mixed.Load())
	if mixed.Load() > 0 {
		stage.record.say("MIXED is broken")
		return exitBroken
	}
	stage.record.say("the rule holds")
	return exitHeld
}

// book sends a booking on a new connection, and returns its answer and what came behind the head.
func book(address, id string) (faker.Answer, string, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return faker.Answer{}, "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2500 * time.Millisecond))
	request := faker.Request{Host: "a.example", Method: http.MethodPost, Path: "/book/1", Body: id, ID: id, Key: "key-1", Remaining: 2500 * time.Millisecond}
	if err := request.Write(conn); err != nil {
		return faker.Answer{}, "", err
	}
	var copied bytes.Buffer
	answer, err := faker.ReadAnswer(bufio.NewReader(&teeConn{Conn: conn, copied: &copied}))
	_, body, _ := bytes.Cut(copied.Bytes(), []byte("\r\n\r\n"))
	return answer, string(body), err
}

// teeConn keeps what is read.
type teeConn struct {
	net.Conn
	copied *bytes.Buffer
}

func (conn *teeConn) Read(data []byte) (int, error) {
	n, err := conn.Conn.Read(data)
	conn.copied.Write(data[:n])
	return n, err
}
