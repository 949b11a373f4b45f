package prober_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/router"
	"godwitramp.example/core/watcher"
	"godwitramp.example/entry/internal/prober"
)

// members is the membership of one region, as seen by the VM with index self.
type members struct {
	self  int
	peers []watcher.Peer
}

func (members members) Self() watcher.Peer { return members.peers[members.self] }

func (members members) Live() []watcher.Peer {
	live := append([]watcher.Peer{}, members.peers[:members.self]...)
	return append(live, members.peers[members.self+1:]...)
}

// targets answers probes by port, and counts them and the reports to the steward.
type targets struct {
	mutex   sync.Mutex
	table   *configurator.Table
	probes  map[string]int
	reports map[string]string
}

func (targets *targets) Table() *configurator.Table { return targets.table }

func (targets *targets) RoundTrip(request *http.Request) (*http.Response, error) {
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	port := request.URL.Port()
	targets.probes[port]++
	answers := map[string]*http.Response{
		"7000": {StatusCode: 200, Body: io.NopCloser(strings.NewReader("load 1 of 4\n"))},
		"7001": {StatusCode: 503, Body: io.NopCloser(strings.NewReader("leaving\n"))},
		"7002": {StatusCode: 503, Body: io.NopCloser(strings.NewReader("overloaded\n"))},
		"7003": {StatusCode: 500, Body: io.NopCloser(strings.NewReader("sick\n"))},
	}
	return answers[port], nil
}

func (targets *targets) ReportLeaving(target configurator.Path, _ string) {
	targets.report(target, "leaves")
}

func (targets *targets) ReportUnhealthy(target configurator.Path) { targets.report(target, "sick") }

func (targets *targets) report(target configurator.Path, state string) {
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	targets.reports[target.Name()] = state
}

func TestEachTargetIsProbedByTwoVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		entries := []configurator.Entry{{Path: "/a/services/s"}}
		for i := range 4 {
			entries = append(entries, configurator.Entry{Path: configurator.Path(fmt.Sprint("/a/services/s/targets/t", i)), Fields: []configurator.Field{
				{Name: "address", Value: fmt.Sprint("127.0.0.1:", 7000+i)}, {Name: "data-centre", Value: "r-1"}, {Name: "region", Value: "r"},
			}})
		}
		state := configurator.NewState()
		is.NoErr(state.Apply(configurator.Change{Revision: 1, Team: "a", Puts: entries}))
		targets := &targets{probes: make(map[string]int), reports: make(map[string]string)}
		targets.table, _ = configurator.Compile(state.All())
		var peers []watcher.Peer
		for i := range 20 {
			peers = append(peers, watcher.Peer{Name: fmt.Sprintf("vm-%02d", i), Region: "r"})
		}
		for i := range peers {
			prober := &prober.Prober{Members: members{i, peers}, Tables: targets, Router: &router.Router{}, Steward: targets,
				Now: func() time.Duration { return 0 }, HTTP: &http.Client{Transport: targets}}
			go func() { _ = prober.Run(t.Context()) }()
		}
		time.Sleep(10*time.Second - time.Millisecond)
		targets.mutex.Lock()
		defer targets.mutex.Unlock()
		is.Equal(targets.probes, map[string]int{"7000": 20, "7001": 20, "7002": 20, "7003": 20}) // two per second each
		is.Equal(targets.reports, map[string]string{"t1": "leaves", "t2": "sick", "t3": "sick"})
	})
}
