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

// bench sends the load to two addresses and compares the results.
type bench struct {
	options         options
	direct, through string
}

// result holds the figures of one run or the medians of several.
type result struct {
	p50, p99         time.Duration
	cpuPerRequest    time.Duration // of the whole process
	allocsPerRequest float64       // of the whole process
	throughput       float64       // requests per second
}

func (bench *bench) run() error {
	fmt.Printf("%-10s %-8s %10s %10s %14s %10s\n", "load", "path", "p50", "p99", "CPU/request", "allocs")
	for _, rate := range append(bench.options.Rates, 0) {
		var direct, through []result
		for range bench.options.Rounds {
			for _, path := range []struct {
				address string
				results *[]result
			}{{bench.direct, &direct}, {bench.through, &through}} {
				result, err := bench.measure(path.address, rate)
				if err != nil {
					return err
				}
				*path.results = append(*path.results, result)
			}
		}
		printResults(rate, median(direct), median(through))
	}
	return nil
}

func printResults(rate int, direct, through result) {
	label := fmt.Sprintf("%d/s", rate)
	if rate == 0 {
		label = "all out"
	}
	for _, line := range []struct {
		path string
		result
	}{{"direct", direct}, {"through", through}} {
		fmt.Printf("%-10s %-8s %10v %10v %14v %10.1f\n", label, line.path, line.p50, line.p99, line.cpuPerRequest, line.allocsPerRequest)
	}
	added := through.cpuPerRequest - direct.cpuPerRequest
	fmt.Printf("%-10s %-8s %10v %10v %14v %10.1f\n", label, "added", through.p50-direct.p50, through.p99-direct.p99, added,
		through.allocsPerRequest-direct.allocsPerRequest)
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
		p50:              pick(func(a, b result) int { return int(a.p50 - b.p50) }).p50,
		p99:              pick(func(a, b result) int { return int(a.p99 - b.p99) }).p99,
		cpuPerRequest:    pick(func(a, b result) int { return int(a.cpuPerRequest - b.cpuPerRequest) }).cpuPerRequest,
		allocsPerRequest: pick(func(a, b result) int { return int(a.allocsPerRequest - b.allocsPerRequest) }).allocsPerRequest,
		throughput:       pick(func(a, b result) int { return int(a.throughput - b.throughput) }).throughput,
	}
}

// measure sends requests at the rate per second, or as fast as the workers can if it is
// zero. At a given rate, latency is measured from the time at which a request was due, so
// that it includes the wait for a free worker.
func (bench *bench) measure(address string, rate int) (result, error) {
	sender := &exchanger.Exchanger{MaxIdlePerAddress: bench.options.Workers}
	defer sender.Close()
	due := make(chan time.Time, 1<<16)
	duration := time.Duration(bench.options.Seconds) * time.Second
	go schedule(due, rate, duration)

	var group sync.WaitGroup
	latencies := make([][]time.Duration, bench.options.Workers)
	errs := make([]error, bench.options.Workers)
	cpu, allocs, started := cpuTime(), allocations(), time.Now()
	for worker := range bench.options.Workers {
		group.Go(func() { latencies[worker], errs[worker] = runWorker(sender, address, due, rate == 0) })
	}
	group.Wait()
	elapsed := time.Since(started)
	cpu, allocs = cpuTime()-cpu, allocations()-allocs
	for _, err := range errs {
		if err != nil {
			return result{}, err
		}
	}
	all := slices.Concat(latencies...)
	slices.Sort(all)
	count := len(all)
	return result{
		p50: all[count/2], p99: all[count*99/100], cpuPerRequest: cpu / time.Duration(count),
		allocsPerRequest: float64(allocs) / float64(count), throughput: float64(count) / elapsed.Seconds(),
	}, nil
}

// schedule sends the times at which requests are due, and closes the channel at the end.
func schedule(due chan<- time.Time, rate int, duration time.Duration) {
	defer close(due)
	random := rand.New(rand.NewPCG(1, uint64(rate)))
	start := time.Now()
	for next := start; next.Sub(start) < duration; {
		if rate == 0 {
			next = time.Now()
		} else {
			next = next.Add(arrivalInterval(random, rate))
			time.Sleep(time.Until(next))
		}
		due <- next
	}
}

func runWorker(sender *exchanger.Exchanger, address string, due <-chan time.Time, unthrottled bool) ([]time.Duration, error) {
	var latencies []time.Duration
	var failed error
	for at := range due {
		if failed != nil {
			continue
		}
		if unthrottled {
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

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // can't fail with these arguments
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func allocations() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.Mallocs
}
