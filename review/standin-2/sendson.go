package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"godwitramp.example/core/indexer"
	"godwitramp.example/platform/faker"
)

const (
	stemBytes    = 540000 // the longest answer of the site's traffic
	stemWork     = 250 * time.Millisecond
	stemDeadline = 6 * time.Second
	stemRate     = 100000 // bytes a second that a caller reads
	stemEvery    = 50 * time.Millisecond
	nextAfter    = 4300 * time.Millisecond // a caller sends its next request so long after the first
	grace        = 6 * time.Second
)

// padded is an answer with a longer body.
type padded struct {
	http.ResponseWriter
	bytes int
}

// WriteHeader adds to the length.
func (padded *padded) WriteHeader(status int) {
	length, err := strconv.Atoi(padded.Header().Get("Content-Length"))
	if err != nil || status != http.StatusOK {
		padded.bytes = 0
	} else {
		padded.Header().Set("Content-Length", strconv.Itoa(length+padded.bytes))
	}
	padded.ResponseWriter.WriteHeader(status)
}

// Write writes the body and what is added to it.
func (padded *padded) Write(data []byte) (int, error) {
	n, err := padded.ResponseWriter.Write(data)
	if err == nil {
		_, err = padded.ResponseWriter.Write([]byte(strings.Repeat("s", padded.bytes)))
	}
	return n, err
}

// balancer asks for the readiness of machines once a second and takes out those that miss two answers.
type balancer struct {
	mutex  sync.Mutex
	misses map[*vm]int
}

func (balancer *balancer) run(stage *stage) {
	for stage.ctx.Err() == nil {
		for _, vm := range stage.vms {
			ready := vm.ready()
			balancer.mutex.Lock()
			if balancer.misses[vm]++; ready {
				balancer.misses[vm] = 0
			}
			balancer.mutex.Unlock()
		}
		time.Sleep(time.Second)
	}
}

// choose returns the machine of a new connection.
func (balancer *balancer) choose(number int, vms []*vm) *vm {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	for i := range vms {
		if vm := vms[(number+i)%len(vms)]; balancer.misses[vm] < 2 {
			return vm
		}
	}
	return vms[number%len(vms)]
}

// download is a request whose answer is read slowly.
type download struct {
	outcome
	received int
	whole    bool
	// closes is true if the answer announced that the connection will be closed, and next is when the next request was sent.
	closes bool
	next   time.Time
}

// fetch opens a connection, sends a request, reads its answer slowly, and sends the next request before it has read all.
func fetch(vm *vm) download {
	request := faker.Request{Host: host, Method: "GET", Path: "/stem-download/2f", ID: newID(), Key: key, Remaining: stemDeadline}
	result := download{outcome: outcome{request: request, vm: vm.name, sent: time.Now()}}
	connection, err := net.DialTimeout("tcp", vm.callers, time.Second)
	if err != nil {
		result.err, result.ended = err, time.Now()
		return result
	}
	defer func() { _ = connection.Close() }()
	result.sent = time.Now()
	_ = connection.SetDeadline(result.sent.Add(stemDeadline))
	if result.err = request.Write(connection); result.err != nil {
		result.ended = time.Now()
		return result
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(connection, 4<<10), nil)
	if err != nil {
		result.err, result.ended = err, time.Now()
		return result
	}
	result.answer.Status, result.closes = response.StatusCode, response.Close
	buffer := make([]byte, 4<<10)
	for result.err == nil {
		var n int
		n, result.err = response.Body.Read(buffer)
		result.received += n
		time.Sleep(time.Duration(n) * time.Second / stemRate)
		if result.err == nil && result.next.IsZero() && !result.closes && time.Since(result.sent) >= nextAfter {
			next := request
			next.ID = newID()
			result.next = time.Now()
			_ = next.Write(connection) // whether it is answered isn't judged
		}
	}
	result.ended = time.Now()
	if errors.Is(result.err, io.EOF) {
		result.err, result.whole = nil, true
	}
	var timeout net.Error
	result.late = errors.As(result.err, &timeout) && timeout.Timeout()
	return result
}

// sendsOn: a machine is stopped as planned while callers read long answers slowly and send their next requests.
func sendsOn(stage *stage, trouble bool) (int, error) {
	if err := stage.openStore(); err != nil {
		return failed, err
	}
	stage.configure(indexer.Configuration{
		Version:       7,
		Routes:        []indexer.Route{route("stem-download", "vault-delivery", true, stemDeadline, 3*time.Second, 2)},
		Services:      []indexer.Service{{Name: "vault-delivery", HealthPath: faker.HealthPath, ConnectionLimit: 1680}},
		Organisations: []indexer.Organisation{{Name: "sese880", Keys: []string{key}}},
		Limits:        kundsetuLimits, // the same on this site
	})
	pad := func(handler http.Handler) http.Handler {
		return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			handler.ServeHTTP(&padded{writer, stemBytes}, request)
		})
	}
	for i := range 28 {
		target := &faker.Target{ID: fmt.Sprintf("i-stem-%02d", i), Service: "vault-delivery", Slots: 4, ServiceTime: stemWork}
		if err := stage.addTarget(target, tidewaterZones[0][0], pad); err != nil {
			return failed, err
		}
	}
	for i := range 3 {
		vm, err := stage.addVM(fmt.Sprintf("front-bne-north-%d", i+1), tidewaterMachine, tidewaterZones)
		if err != nil {
			return failed, err
		}
		if i > 0 {
			go vm.supervise()
		}
	}
	if err := stage.awaitReady(15 * time.Second); err != nil {
		return failed, err
	}
	stage.note("3 machines are ready")
	balancer := &balancer{misses: make(map[*vm]int)}
	go balancer.run(stage)
	stopped := stage.vms[0]
	var mutex sync.Mutex
	var results []download
	var callers sync.WaitGroup
	stop := make(chan struct{})
	callers.Go(func() {
		for number := 0; ; number++ {
			select {
			case <-stop:
				return
			case <-time.After(stemEvery):
			}
			vm := balancer.choose(number, stage.vms)
			callers.Go(func() {
				result := fetch(vm)
				mutex.Lock()
				results = append(results, result)
				mutex.Unlock()
			})
		}
	})
	time.Sleep(10 * time.Second)
	termAt := time.Now()
	if trouble {
		stage.note("platform: SIGTERM for %s", stopped.name)
		stopped.signal(syscall.SIGTERM)
		_, ended := stopped.process()
		select {
		case <-ended:
			stage.note("platform: the process has ended %.3f s after SIGTERM", time.Since(termAt).Seconds())
		case <-time.After(grace):
			stage.note("platform: SIGKILL at the end of the grace period")
			stopped.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(time.Until(termAt.Add(grace)))
	close(stop)
	callers.Wait()
	all := make([]outcome, 0, len(results))
	for _, result := range results {
		all = append(all, result.outcome)
	}
	stage.noteRequests(all)
	ran := stage.ran()
	cut, whole, late, other := 0, 0, 0, make(map[string]int)
	for _, result := range results {
		switch {
		case result.whole && result.answer.Status == http.StatusOK:
			whole++
			continue
		case result.late:
			late++
			continue
		case result.whole || result.vm != stopped.name:
			other[fmt.Sprint(result.answer.Status, " ", result.err)]++
			continue
		}
		for _, arrival := range ran[result.request.ID] {
			sent, worked, ended := result.sent.Sub(termAt), arrival.Ended.Sub(termAt), result.ended.Sub(termAt)
			stage.note("LOST: request %s, sent %.3f s from SIGTERM, its caller waits until %.3f s; %s had answered whole at %.3f s; the next request was sent at %.3f s; connection ended at %.3f s after %d of %d bytes: %v",
				result.request.ID, sent.Seconds(), (sent + stemDeadline).Seconds(), arrival.TargetID, worked.Seconds(), result.next.Sub(termAt).Seconds(), ended.Seconds(), result.received, stemBytes, result.err)
			if worked < grace*5/6 { // else the target was at work in the last sixth of the grace period
				cut++
			}
		}
	}
	stage.note("%d of %d answers whole, %d not in time, others %v; LOST %d times", whole, len(results), late, other, cut)
	if cut > 0 {
		return broken, nil
	}
	return held, nil
}
