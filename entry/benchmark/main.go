// Command benchmark measures the latency, CPU time and allocations that one VM adds to a
// request. It sends the same load directly to a stand-in upstream and through a VM's
// server, alternately, over loopback and in one process.
//
// # Usage
//
//	go run ./entry/benchmark --rate 600 --rate 2000 --seconds 5 --rounds 3
package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/parser"
	"godwitramp.example/core/router"
	"godwitramp.example/entry/internal/forwarder"
	"godwitramp.example/entry/internal/server"
	"godwitramp.example/shell/exchanger"
)

const key = "benchmark-key"

// options are the flags of the command.
type options struct {
	Rates   []int `long:"rate" default:"600" default:"2000" description:"requests a second"`
	Seconds int   `long:"seconds" default:"5" description:"length of each run"`
	Rounds  int   `long:"rounds" default:"3" description:"runs of each kind, in turns"`
	Workers int   `long:"workers" default:"32" description:"requests in progress at most"`
}

func main() {
	var options options
	if _, err := flags.Parse(&options); err != nil {
		os.Exit(2)
	}
	if err := run(options); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(options options) error {
	upstream, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for upstream: %w", err)
	}
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	go func() { _ = http.Serve(upstream, http.HandlerFunc(serveUpstream)) }()
	table, err := table(upstream.Addr().String())
	if err != nil {
		return err
	}
	vm := vm{table}
	entry := &server.Server{
		VM: "benchmark", Tables: vm, Keys: vm, Limits: vm,
		Forwarder: &forwarder.Forwarder{
			Picker: &router.Router{Locality: router.Locality{Region: "r", DataCentre: "r-1"}}, Exchanger: &exchanger.Exchanger{MaxIdlePerAddress: options.Workers},
		},
	}
	go func() { _ = entry.HTTP().Serve(&server.Listener{Listener: callers}) }()
	bench := &bench{options: options, direct: upstream.Addr().String(), through: callers.Addr().String()}
	return bench.run()
}

// serveUpstream is the handler of the stand-in upstream.
func serveUpstream(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(writer, "due: cistern 7, cistern 9\n")
}

// vm provides a fixed configuration and never limits the rate.
type vm struct{ table *configurator.Table }

// Table returns the table.
func (vm vm) Table() *configurator.Table { return vm.table }

// KeysKnown returns true.
func (vm) KeysKnown() bool { return true }

// Admit admits every request.
func (vm) Admit(context.Context, *configurator.Organisation) (bool, time.Duration) { return true, 0 }

func table(upstream string) (*configurator.Table, error) {
	hash := sha256.Sum256([]byte(key))
	var parser parser.Parser
	parser.Add("benchmark.ini", []byte(`
[/a/organisations/o]
rate = 1
burst = 1
[/a/organisations/o/keys/k]
sha-256 = `+hex.EncodeToString(hash[:])+`
[/a/services/s]
[/a/services/s/targets/t]
address = `+upstream+`
region = r
data-centre = r-1
slots = 1000
[/a/routes/r]
prefix = /r
service = s
`))
	entries, problems := parser.Finish()
	if len(problems) > 0 {
		return nil, fmt.Errorf("parse settings: %w", problems[0])
	}
	state := configurator.NewState()
	if err := state.Apply(configurator.Change{Revision: 1, Team: "a", Puts: entries}); err != nil {
		return nil, fmt.Errorf("apply settings: %w", err)
	}
	table, _ := configurator.Compile(state.All())
	return table, nil
}

// arrivalInterval returns a random time between two arrivals of a Poisson process with the
// given rate per second.
func arrivalInterval(random *rand.Rand, rate int) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(time.Second) / float64(rate))
}
