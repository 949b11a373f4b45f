package hedger

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// parts and partTime are the number and the length of the parts of a window of latencies: a shift is
	// followed within a few seconds, and a route with five answers a second has 40 of them in the window.
	parts    = 8
	partTime = time.Second
	// minSamples is the number of latencies from which a quantile is used.
	minSamples = 20
	// resolution is the unit of the latencies, and maxLatency the longest one that is told apart.
	resolution = 100 * time.Microsecond
	maxLatency = time.Minute
	// digits keeps a window below 20 KB. The error of a delay is at most 1 part in 16.
	digits = 1
	// refreshTime is how long a quantile is used before it is computed again.
	refreshTime = 100 * time.Millisecond
	// MinDelay keeps scheduling delays from triggering hedges.
	MinDelay = 20 * time.Millisecond
)

const (
	// minQuantile is that of Dean and Barroso. With a lower one, hedges of requests that are about to be answered
	// use up the limit before a burst ends: with 0.1 of the requests, 0.91 left a p999 of 1.05 s, 0.95 one of 0.55 s.
	minQuantile = 0.95
	maxQuantile = 0.99
	// quantileMargin is the part of the share that the usual delay asks for. The rest of it is for shifts.
	quantileMargin = 0.9
)

// Quantile returns the quantile of the latencies at which a request is hedged: while latencies stay as they are,
// somewhat fewer requests take longer than the share allows, so that those which are slowest get the hedges.
func Quantile(share float64) float64 {
	return min(maxQuantile, max(minQuantile, 1-quantileMargin*share))
}

// Latencies are the recent latencies of the attempts of a service, by route. Those of an attempt that lost
// against a hedge count with the time until it was cancelled: it took longer than that. It isn't safe for
// concurrent use.
type Latencies struct {
	routes map[string]*window
	all    *window
}

// NewLatencies returns latencies of a service without routes.
func NewLatencies() *Latencies { return &Latencies{all: newWindow()} }

// SetRoutes sets the routes that are told apart. Latencies of others are ignored.
func (latencies *Latencies) SetRoutes(names []string) {
	routes := make(map[string]*window, len(names))
	for _, name := range names {
		if routes[name] = latencies.routes[name]; routes[name] == nil {
			routes[name] = newWindow()
		}
	}
	latencies.routes = routes
}

// Clone returns a copy for decisions at the same time.
func (latencies *Latencies) Clone(now time.Duration) *Latencies {
	clone := &Latencies{routes: make(map[string]*window, len(latencies.routes)), all: latencies.all.clone(now)}
	for name, window := range latencies.routes {
		clone.routes[name] = window.clone(now)
	}
	return clone
}

// Observe adds the latency of an attempt of any VM of the group.
func (latencies *Latencies) Observe(route string, latency, now time.Duration) {
	if window := latencies.routes[route]; window != nil {
		window.observe(latency, now)
		latencies.all.observe(latency, now)
	}
}

// Delay returns after which time without an answer a request of the route is hedged, at most maxDelay. Without a
// maxDelay and with too few latencies there is none, and it returns false.
func (latencies *Latencies) Delay(route string, quantile float64, maxDelay, now time.Duration) (time.Duration, bool) {
	delay, ok := time.Duration(0), false
	if window := latencies.routes[route]; window != nil {
		delay, ok = window.quantile(quantile, now)
	}
	if !ok {
		delay, ok = latencies.all.quantile(quantile, now)
	}
	switch {
	case !ok:
		return maxDelay, maxDelay > 0
	case maxDelay > 0:
		return min(maxDelay, max(MinDelay, delay)), true
	}
	return max(MinDelay, delay), true
}

// window is a histogram of the last latencies.
type window struct {
	histogram *hdrhistogram.WindowedHistogram
	// part is the number of the current part since the start of the clock.
	part int64
	// quantiles holds one result.
	cached   time.Duration
	cachedOf float64
	cachedAt time.Duration
	valid    bool
}

func newWindow() *window {
	return &window{histogram: hdrhistogram.NewWindowed(parts, 1, int64(maxLatency/resolution), digits)}
}

// clone returns a copy that has the same quantiles.
func (window *window) clone(now time.Duration) *window {
	window.advance(now)
	clone := *window
	clone.histogram = hdrhistogram.NewWindowed(parts, 1, int64(maxLatency/resolution), digits)
	clone.histogram.Current.Merge(window.histogram.Merge())
	return &clone
}

// advance drops the parts that have become too old.
func (window *window) advance(now time.Duration) {
	part := int64(now / partTime)
	for range min(parts, part-window.part) {
		window.histogram.Rotate()
	}
	window.part = max(window.part, part)
}

func (window *window) observe(latency, now time.Duration) {
	window.advance(now)
	// It fails only for values out of range, which the bounds exclude.
	_ = window.histogram.Current.RecordValue(int64(min(maxLatency, max(resolution, latency)) / resolution))
}

// quantile returns false while there are too few latencies.
func (window *window) quantile(quantile float64, now time.Duration) (time.Duration, bool) {
	if window.cachedOf == quantile && now-window.cachedAt < refreshTime && window.cachedAt > 0 {
		return window.cached, window.valid
	}
	window.advance(now)
	merged := window.histogram.Merge()
	window.valid = merged.TotalCount() >= minSamples
	window.cached = time.Duration(merged.ValueAtQuantile(100*quantile)) * resolution
	window.cachedOf, window.cachedAt = quantile, now
	return window.cached, window.valid
}
