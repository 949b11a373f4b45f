package starter_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// cut is how a VM's paths to all targets are cut.
type cut int

const (
	none cut = iota
	// refused connections fail at once, silent ones hang.
	refused
	silent
)

// paths opens a VM's connections to targets.
type paths struct {
	mutex sync.Mutex
	cut   cut
	open  []net.Conn
	dials int
}

var errCut = errors.New("no path to the target")

func (paths *paths) dial(ctx context.Context, network, address string) (net.Conn, error) {
	paths.mutex.Lock()
	paths.dials++
	cut := paths.cut
	paths.mutex.Unlock()
	switch cut {
	case refused:
		return nil, errCut
	case silent:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	paths.open = append(paths.open, connection)
	return connection, nil
}

// set cuts or restores the paths. Open connections are reset by a cut.
func (paths *paths) set(cut cut) {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	paths.cut, paths.dials = cut, 0
	if cut != none {
		for _, connection := range paths.open {
			_ = connection.Close()
		}
	}
}

func (paths *paths) dialed() int {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	return paths.dials
}

func TestVMThatReachesNoTargetRefusesRequests(t *testing.T) {
	for name, cut := range map[string]cut{"refused": refused, "silent": silent} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fleet := start(t, 2)
			cutOff := fleet.vms[0]
			fleet.waitUntil("the VMs know each other", func() bool { return cutOff.starter.Share().VMs == 2 })
			is.Equal(cutOff.status(t, "key"), http.StatusOK)
			cutOff.paths.set(cut)
			for range 3 { // while it finds out
				cutOff.status(t, "key")
			}
			for range 10 {
				is.Equal(cutOff.status(t, "key"), http.StatusOK)
			}
			is.Equal(cutOff.status(t, "other"), http.StatusUnauthorized)
			is.True(cutOff.paths.dialed() < 15) // no dials for each request
			cutOff.paths.set(none)
			fleet.waitUntil("the VM serves by itself again", func() bool {
				return cutOff.status(t, "key") == http.StatusOK && cutOff.logged.has("service-reachable")
			})
		})
	}
}

// A VM that has passed requests on must not lose them when the VM that serves them stops as planned,
// and requests of other VMs must end within the grace.
func TestPlannedStopLosesRequestsOfOtherVMs(t *testing.T) {
	is := is.New(t)
	fleet := start(t, 2)
	cutOff, other := fleet.vms[0], fleet.vms[1]
	fleet.waitUntil("the VMs know each other", func() bool { return cutOff.starter.Share().VMs == 2 })
	cutOff.paths.set(refused)
	cutOff.status(t, "key")
	for _, test := range []struct {
		path   string
		status int
	}{{"/slow", http.StatusOK}, {"/hangs", http.StatusBadGateway}} {
		connection, err := net.Dial("tcp", cutOff.settings.Callers)
		is.NoErr(err)
		defer func() { _ = connection.Close() }()
		var group sync.WaitGroup
		var response *http.Response
		before := fleet.targetRequests.Load()
		group.Go(func() { response, err = sendRequest(connection, test.path, "key") })
		fleet.waitUntil("the target runs the request", func() bool { return fleet.targetRequests.Load() > before })
		if test.path == "/hangs" {
			stopTime := time.Now()
			other.stop()
			<-other.stopped
			is.True(time.Since(stopTime) < other.settings.StopGrace)
		}
		group.Wait()
		is.NoErr(err)
		is.Equal(response.StatusCode, test.status)
	}
}

// The caller's leaving must reach the target over the other VM.
func TestTargetWorksOnAfterTheCallerOfAnotherVMHasLeft(t *testing.T) {
	is := is.New(t)
	fleet := start(t, 2)
	cutOff := fleet.vms[0]
	fleet.waitUntil("the VMs know each other", func() bool { return cutOff.starter.Share().VMs == 2 })
	cutOff.paths.set(refused)
	cutOff.status(t, "key")
	connection, err := net.Dial("tcp", cutOff.settings.Callers)
	is.NoErr(err)
	before := fleet.targetRequests.Load()
	go func() { _, _ = sendRequest(connection, "/hangs", "key") }() // fails when the connection is closed
	fleet.waitUntil("the target runs the request", func() bool { return fleet.targetRequests.Load() > before })
	is.NoErr(connection.Close())
	fleet.waitUntil("the target sees the end", func() bool { return fleet.disconnected.Load() > 0 })
}
