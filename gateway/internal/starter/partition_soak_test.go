package starter_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// outcomes are the statuses that callers got, by the IDs of their requests; 0 is a connection
// that ended.
type outcomes struct {
	mutex  sync.Mutex
	status map[string]int
}

func (outcomes *outcomes) add(id string, status int) {
	outcomes.mutex.Lock()
	defer outcomes.mutex.Unlock()
	outcomes.status[id] = status
}

// upload sends a request that may not run twice, on a connection of its own.
func (vm *vm) upload(id string) int {
	connection, err := net.DialTimeout("tcp", vm.settings.Callers, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = connection.Close() }()
	_, err = fmt.Fprintf(connection, "POST /upload/%s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\n"+
		"X-Remaining-Milliseconds: 3000\r\nX-Credential: key\r\nContent-Length: 4\r\n\r\nbody", id, id)
	if err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0
	}
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// While VMs are cut off from the targets and back in turn, and one stops as planned, no request runs
// twice, none that was refused as not run has run, and callers of cut VMs are served.
func TestRequestsRunTwiceOrAreLostBesidePartitions(t *testing.T) {
	is := is.New(t)
	fleet := start(t, 4)
	fleet.waitUntil("the VMs know each other", func() bool { return fleet.vms[0].starter.Share().VMs == 4 })
	done := make(chan struct{})
	outcomes := &outcomes{status: make(map[string]int)}
	var group sync.WaitGroup
	for caller := range 8 {
		group.Go(func() {
			random := rand.New(rand.NewPCG(35, uint64(caller)))
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				id := fmt.Sprintf("c%d-%d", caller, i)
				outcomes.add(id, fleet.vms[random.IntN(3)].upload(id))
			}
		})
	}
	random := rand.New(rand.NewPCG(35, 100))
	for step := range 20 {
		for _, vm := range fleet.vms[:random.IntN(3)] {
			vm.paths.set([]cut{none, refused, silent}[random.IntN(3)])
		}
		if step == 10 {
			fleet.vms[3].stop()
		}
		time.Sleep(300 * time.Millisecond)
	}
	close(done)
	group.Wait()
	for _, vm := range fleet.vms {
		vm.stop()
		<-vm.stopped
	}
	counts := make(map[int]int)
	for id, status := range outcomes.status {
		runs := fleet.runsOf(id)
		counts[status]++
		if runs > 1 {
			t.Errorf("%s ran %d times", id, runs)
		}
		if (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && runs > 0 {
			t.Errorf("%s was answered %d and has run", id, status)
		}
		if status == http.StatusOK && runs != 1 {
			t.Errorf("%s was answered 200 and ran %d times", id, runs)
		}
	}
	t.Log(counts)
	is.Equal(counts[0], 0)
	is.True(counts[http.StatusOK] > 0)
}

// Requests that come at any time of a planned stop, on kept connections, are answered or closed unread,
// although slow ones keep the VM up until the end of its grace.
func TestRequestsLateInAStopAreCut(t *testing.T) {
	is := is.New(t)
	fleet := start(t, 1)
	vm := fleet.vms[0]
	for range 3 { // they keep the VM up
		connection, err := net.Dial("tcp", vm.settings.Callers)
		is.NoErr(err)
		defer func() { _ = connection.Close() }()
		go func() { _, _ = sendRequest(connection, "/hangs", "key") }() // ends with the grace
	}
	fleet.waitUntil("the target runs them", func() bool { return fleet.targetRequests.Load() >= 3 })
	var group sync.WaitGroup
	outcomes := &outcomes{status: make(map[string]int)}
	for caller := range 40 {
		connection, err := net.Dial("tcp", vm.settings.Callers)
		is.NoErr(err)
		group.Go(func() {
			defer func() { _ = connection.Close() }()
			reader := bufio.NewReader(connection)
			time.Sleep(time.Duration(caller) * 50 * time.Millisecond)
			for i := 0; ; i++ {
				id := fmt.Sprintf("c%d-%d", caller, i)
				_, err := fmt.Fprintf(connection, "POST /upload/%s%s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\n"+
					"X-Remaining-Milliseconds: 3000\r\nX-Credential: key\r\nContent-Length: 4\r\n\r\nbody", id, []string{"", "/slow"}[caller%2], id)
				if err != nil {
					return
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					outcomes.add(id, 0)
					return
				}
				_, _ = io.ReadAll(response.Body) // a failed read shows in the next request
				outcomes.add(id, response.StatusCode)
				if response.Close {
					return
				}
			}
		})
	}
	vm.stop()
	<-vm.stopped
	group.Wait()
	counts := make(map[int]int)
	for id, status := range outcomes.status {
		counts[status]++
		runs := fleet.runsOf(id)
		if status == 0 && runs > 0 || status == http.StatusServiceUnavailable && runs > 0 || runs > 1 {
			t.Errorf("%s: status %d, ran %d times", id, status, runs)
		}
	}
	t.Log(counts)
	is.True(counts[http.StatusOK] > 0)
}
