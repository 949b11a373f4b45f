package persister_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"godwitramp.example/core/burner"
	"godwitramp.example/core/watcher"
	"godwitramp.example/entry/internal/persister"
	"godwitramp.example/shell/archiver"
	"godwitramp.example/shell/faker"
)

// fleet runs the VMs of one data centre in one process.
type fleet struct {
	platform    *faker.Platform
	vms         map[string]*persister.Persister
	calls       int
	loseReplies bool
}

// member is a VM's view of the fleet.
type member struct {
	*fleet
	name string
}

// Self returns the VM.
func (member member) Self() watcher.Peer { return watcher.Peer{Name: member.name, DataCentre: "d"} }

// Live returns the other VMs.
func (member member) Live() []watcher.Peer {
	var peers []watcher.Peer
	for name := range member.vms {
		if name != member.name {
			peers = append(peers, watcher.Peer{Name: name, DataCentre: "d", Address: name})
		}
	}
	return peers
}

// Call sends counters to another VM; the answer may be lost.
func (fleet *fleet) Call(_ context.Context, address, _ string, args, reply any) error {
	fleet.calls++
	err := fleet.vms[address].Receiver().Hand(args.(persister.Handover), reply.(*persister.Receipt))
	if fleet.loseReplies {
		return errors.New("answer lost")
	}
	return err
}

func newFleet(names ...string) *fleet {
	fleet := &fleet{platform: faker.New(), vms: make(map[string]*persister.Persister)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, name := range names {
		owner := burner.Source{VM: name, Incarnation: 1}
		fleet.vms[name] = &persister.Persister{
			Members: member{fleet, name}, Caller: fleet, Log: log.WithField("name", name),
			Archiver: &archiver.Archiver{Platform: fleet.platform, DataCentre: "d", Owner: owner},
		}
	}
	return fleet
}

func (fleet *fleet) count(answers int) {
	for _, vm := range fleet.vms {
		for range answers {
			vm.Count(burner.Pair{Service: "s"}, true)
		}
	}
}

func (fleet *fleet) flush(ctx context.Context) (failed int) {
	for _, vm := range fleet.vms {
		if err := vm.Flush(ctx); err != nil {
			failed++
		}
	}
	return failed
}

func (fleet *fleet) stored(t *testing.T) uint64 {
	ledger, gaps, err := archiver.Load(t.Context(), fleet.platform, time.Now())
	is.New(t).NoErr(err)
	is.New(t).Equal(len(gaps), 0)
	var total uint64
	for _, record := range ledger.Records(0, burner.BucketAt(time.Now())) {
		total += record.Total()
	}
	return total
}

func TestCountersSurviveOutageAndPlannedStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newFleet("vm-01", "vm-02", "vm-03", "vm-04")
		fleet.count(10)
		is.Equal(fleet.flush(t.Context()), 0)
		fleet.platform.SetFaults(faker.Faults{Outage: true})
		for _, name := range []string{"vm-01", "vm-02", "vm-03"} {
			fleet.count(10)
			time.Sleep(30 * time.Minute)
			is.True(fleet.flush(t.Context()) > 0)
			is.NoErr(fleet.vms[name].Stop(t.Context()))
			delete(fleet.vms, name)
		}
		fleet.platform.SetFaults(faker.Faults{})
		for range 3 {
			is.Equal(fleet.flush(t.Context()), 0)
			is.Equal(fleet.stored(t), uint64(4*10+4*10+3*10+2*10))
		}
		fleet.platform.SetFaults(faker.Faults{Outage: true})
		fleet.count(1)
		is.True(fleet.vms["vm-04"].Stop(t.Context()) != nil) // no peer is left: the loss is reported
	})
}

func TestLostReceiptsAndReplacedUploadersCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newFleet("vm-01", "vm-02", "vm-03")
		fleet.count(5)
		fleet.loseReplies = true
		_ = fleet.flush(t.Context())
		_ = fleet.flush(t.Context())
		fleet.loseReplies = false
		time.Sleep(2 * time.Hour) // longer than uploaders keep stored totals
		for range 3 {
			is.Equal(fleet.flush(t.Context()), 0)
			is.Equal(fleet.stored(t), uint64(15))
		}
		fleet.count(1)
		time.Sleep(2 * time.Hour)
		for range 3 {
			is.Equal(fleet.flush(t.Context()), 0)
		}
		fleet.calls = 0
		is.Equal(fleet.flush(t.Context()), 0)
		is.Equal(fleet.calls, 0) // nothing is sent again
	})
}

// BenchmarkHandover measures the encoded size of one flush of a VM.
func BenchmarkHandover(b *testing.B) {
	for _, lines := range []int{10, 100, 500} {
		b.Run(fmt.Sprintf("lines=%d", lines), func(b *testing.B) {
			meter := burner.Meter{Source: burner.Source{VM: "vm-0001", Incarnation: 1}}
			for line := range lines {
				pair := burner.Pair{Service: fmt.Sprintf("/team/services/s%04d", line%40), Organisation: fmt.Sprintf("/team/organisations/o%06d", line)}
				for range 100 {
					meter.Observe(time.Unix(1_800_000_000, 0), pair, true)
				}
			}
			var data bytes.Buffer
			for b.Loop() {
				data.Reset()
				if err := gob.NewEncoder(&data).Encode(persister.Handover{Records: meter.Records()}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(data.Len())/float64(lines), "bytes/line")
		})
	}
}

func BenchmarkCount(b *testing.B) {
	fleet := newFleet("vm-01")
	pair := burner.Pair{Service: "/team/services/s", Organisation: "/team/organisations/o"}
	b.RunParallel(func(parallel *testing.PB) {
		for parallel.Next() {
			fleet.vms["vm-01"].Count(pair, true)
		}
	})
}
