package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"godwitramp.example/shell/exchanger"
)

// bench sends the load.
type bench struct {
	options         options
	direct, through string
}

// result is one run, or the medians of several.
type result struct {
	p50, p99   time.Duration
	processor  time.Duration // a request
	allocated  float64       // objects a request
	throughput float64
}

func (bench *bench) run() error {
	fmt.Printf("%-10s %-8s %10s %10s %14s %10s\n", "load", "path", "p50", "p99", "CPU/request", "allocs")
	for _, rate := range append(bench.options.Rates, 0) {
		var direct, through []result
		for range bench.options.Rounds {
			for _, turn := range []struct {
				address string
				results *[]result
			}{{bench.direct, &direct}, {bench.through, &through}} {
				result, err := bench.load(turn.address, rate)
				if err != nil {
					return err
				}
				*turn.results = append(*turn.results, result)
			}
		}
		print(rate, median(direct), median(through))
	}
	return nil
}

func print(rate int, direct, through result) {
	load := fmt.Sprintf("%d/s", rate)
	if rate == 0 {
		load = "all out"
	}
	for _, line := range []struct {
		path string
		result
	}{{"direct", direct}, {"through", through}} {
		fmt.Printf("%-10s %-8s %10v %10v %14v %10.1f\n", load, line.path, line.p50, line.p99, line.processor, line.allocated)
	}
	added := through.processor - direct.processor
	fmt.Printf("%-10s %-8s %10v %10v %14v %10.1f\n", load, "added", through.p50-direct.p50, through.p99-direct.p99, added,
		through.allocated-direct.allocated)
	if rate == 0 && added > 0 {
		fmt.Printf("%.0f requests/s through the VM; %.0f requests/s per core of the VM\n",
			through.throughput, float64(time.Second)/float64(added))
	}
}

func median(results []result) result {
	pick := func(less func(a, b result) int) result {
		slices.SortFunc(results, less)
		return results[len(results)/2]
	}
	return result{
		p50:        pick(func(a, b result) int { return int(a.p50 - b.p50) }).p50,
		p99:        pick(func(a, b result) int { return int(a.p99 - b.p99) }).p99,
		processor:  pick(func(a, b result) int { return int(a.processor - b.processor) }).processor,
		allocated:  pick(func(a, b result) int { return int(a.allocated - b.allocated) }).allocated,
		throughput: pick(func(a, b result) int { return int(a.throughput - b.throughput) }).throughput,
	}
}

// load sends requests at the rate, or one after the other on each worker if
// the rate is zero. Latency counts from when a request was due.
func (bench *bench) load(address string, rate int) (result, error) {
	sender := &exchanger.Exchanger{MaxIdlePerAddress: bench.options.Workers}
	defer sender.Close()
	due := make(chan time.Time, 1<<16)
	length := time.Duration(bench.options.Seconds) * time.Second
	go schedule(due, rate, length)

	var group sync.WaitGroup
	latencies := make([][]time.Duration, bench.options.Workers)
	errs := make([]error, bench.options.Workers)
	processor, objects, started := processorTime(), allocations(), time.Now()
	for worker := range bench.options.Workers {
		group.Go(func() { latencies[worker], errs[worker] = work(sender, address, due, rate == 0) })
	}
	group.Wait()
	took := time.Since(started)
	processor, objects = processorTime()-processor, allocations()-objects
	for _, err := range errs {
		if err != nil {
			return result{}, err
		}
	}
	all := slices.Concat(latencies...)
	slices.Sort(all)
	count := len(all)
	return result{
		p50: all[count/2], p99: all[count*99/100], processor: processor / time.Duration(count),
		allocated: float64(objects) / float64(count), throughput: float64(count) / took.Seconds(),
	}, nil
}

// schedule tells when requests are due.
func schedule(due chan<- time.Time, rate int, length time.Duration) {
	defer close(due)
	random := rand.New(rand.NewPCG(1, uint64(rate)))
	start := time.Now()
	for next := start; next.Sub(start) < length; {
		if rate == 0 {
			next = time.Now()
		} else {
			next = next.Add(delay(random, rate))
			time.Sleep(time.Until(next))
		}
		due <- next
	}
}

func work(sender *exchanger.Exchanger, address string, due <-chan time.Time, allOut bool) ([]time.Duration, error) {
	var latencies []time.Duration
	var failed error
	for at := range due {
		if failed != nil {
			continue
		}
		if allOut {
			at = time.Now()
		}
		failed = send(sender, address)
		latencies = append(latencies, time.Since(at))
	}
	return latencies, failed
}

func send(sender *exchanger.Exchanger, address string) error {
	request := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: "/r/cisterns"}, Host: address, Header: http.Header{"X-Api-Key": {key}},
	}
	answer, err := sender.Do(context.Background(), exchanger.Call{Address: address, Request: request})
	if err != nil {
		return fmt.Errorf("send: %w", err)
	}
	defer answer.Close()
	if answer.Response.StatusCode != http.StatusOK {
		return fmt.Errorf("send: status %d", answer.Response.StatusCode)
	}
	if _, err := io.Copy(io.Discard, answer.Response.Body); err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	return nil
}

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // can't fail with these arguments
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func allocations() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.Mallocs
}
