package dispatcher

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"godwitramp.example/core/drainer"
	"godwitramp.example/core/indexer"
	"godwitramp.example/gateway/internal/receiver"
	"godwitramp.example/platform"
)

// job is an admitted request.
type job struct {
	call         *receiver.Call
	index        *indexer.Index
	route        *indexer.Route
	service      string
	organisation *indexer.Organisation
	metadata     platform.Request
	// deadline is when the caller's or the route's timeout ends, whichever is earlier.
	deadline time.Time
	// homes are the regions that it may be sent to by index, nil for all.
	homes []string
	// targets is the number of targets that it may be sent to.
	targets int
	// limit is the time from the receipt of the request to its deadline.
	limit time.Duration
	// answered is true once an attempt was answered well.
	answered atomic.Bool
}

// otherVMRetryAfter is the Retry-After of refusals that another VM may not give, for
// instance because its configuration is current.
const otherVMRetryAfter = 100 * time.Millisecond

// defaultTimeout applies if neither the caller nor the route sets a timeout.
const defaultTimeout = 30 * time.Second

// admit returns the admitted request, or the reason why it is refused.
func (dispatcher *Dispatcher) admit(call *receiver.Call) (*job, *refusal) {
	index := dispatcher.Tracker.Index()
	if index == nil {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "configuration-unknown", retryAfter: otherVMRetryAfter}
	}
	metadata, err := platform.ReadRequest(call.Request.Header)
	if err != nil {
		return nil, &refusal{status: http.StatusBadRequest, reason: "header-malformed"}
	}
	job := &job{call: call, index: index, route: routeOf(index, call), metadata: metadata}
	if refusal := dispatcher.admitJob(job, &dispatcher.state); refusal != nil {
		return nil, refusal
	}
	return job, nil
}

// admitJob sets what the job lacks, or returns the reason why it is refused. The state chooses the service.
func (dispatcher *Dispatcher) admitJob(job *job, state *state) *refusal {
	call := job.call
	if !dispatcher.MayServe() {
		return &refusalStale
	}
	if call.From != "" && call.Configuration != job.index.Version {
		return &refusalOtherVersion
	}
	if refusal := dispatcher.resolve(job, state); refusal != nil {
		if (refusal.status == http.StatusNotFound || refusal.status == http.StatusUnauthorized) && !dispatcher.mayRejectUnknown() {
			return &refusalStale
		}
		return refusal
	}
	job.targets = job.route.Attempts
	if call.Targets > 0 {
		job.targets = min(job.targets, call.Targets)
	}
	job.setDeadline()
	if !dispatcher.askStop(job, drainer.Policy.Admits) {
		return &refusalStopping
	}
	return nil
}

var refusalStopping = refusal{status: http.StatusServiceUnavailable, reason: "stopping", retryAfter: otherVMRetryAfter}

// askStop reports whether the policy allows to go on with the job, if the VM stops.
func (dispatcher *Dispatcher) askStop(job *job, allows func(policy drainer.Policy, elapsed, usual time.Duration) bool) bool {
	stop := dispatcher.stop.Load()
	if stop == nil {
		return true
	}
	usual := min(dispatcher.latency.usual(job.service), time.Until(job.deadline))
	return allows(stop.policy, dispatcher.Clock()-stop.startedAt, usual)
}

// refusalOtherVersion is the answer to a request of another VM that has another version of the
// configuration in force: its callers would see versions change back and forth.
var refusalOtherVersion = refusal{status: http.StatusServiceUnavailable, reason: "configuration-differs", retryAfter: otherVMRetryAfter}

var refusalStale = refusal{status: http.StatusServiceUnavailable, reason: "configuration-stale", retryAfter: otherVMRetryAfter}

// resolve sets the job's service, which the state chooses, and the organisation of its key.
func (dispatcher *Dispatcher) resolve(job *job, state *state) *refusal {
	if job.route == nil {
		return &refusal{status: http.StatusNotFound, reason: "route-unknown"}
	}
	if job.organisation == nil {
		job.organisation = job.index.Organisation(job.metadata.Key)
	}
	if job.index.NeedsKeys() && !job.route.Open && job.organisation == nil {
		return &refusal{status: http.StatusUnauthorized, reason: "key-unknown"}
	}
	if job.organisation != nil && !dispatcher.mayTrustKeys() {
		return &refusalStale
	}
	job.homes = indexer.HomeRegions(job.route, job.organisation)
	job.service = state.pickService(job.route)
	if job.service == "" {
		return &refusal{status: http.StatusServiceUnavailable, reason: "route-without-service", retryAfter: time.Second}
	}
	return nil
}

// routeOf returns the route of a request, or nil.
func routeOf(index *indexer.Index, call *receiver.Call) *indexer.Route {
	path, _, _ := strings.Cut(call.Target, "?")
	return index.Route(hostOf(call.Request.Host), path)
}

// hostOf returns the host without its port.
func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

func (job *job) setDeadline() {
	limit := defaultTimeout
	if job.route.Timeout > 0 {
		limit = job.route.Timeout
	}
	if job.metadata.Remaining > 0 {
		limit = min(limit, job.metadata.Remaining)
	}
	job.limit = limit
	job.deadline = job.call.Received.Add(limit)
}

// maySend reports whether the configuration is fresh enough to accept keys, and the key
// still belongs to the same organisation in it. Jobs without an organisation need no fresh keys; those with home regions
// may be sent only while the configuration is fresh enough to handle requests. Evacuations are checked by
// knowsEvacuations. It is called right before each attempt is written, as the key may have been
// withdrawn while the job waited.
func (dispatcher *Dispatcher) maySend(job *job) bool {
	if job.organisation == nil {
		homes, _ := dispatcher.homes(job)
		return homes == nil || dispatcher.MayServe()
	}
	if !dispatcher.mayTrustKeys() {
		return false
	}
	index := dispatcher.Tracker.Index()
	if index == job.index {
		return true
	}
	organisation := index.Organisation(job.metadata.Key)
	return organisation != nil && organisation.Name == job.organisation.Name
}

// requestID returns the caller's ID of the request for logs, or "" if its headers are
// malformed.
func requestID(call *receiver.Call) string {
	metadata, err := platform.ReadRequest(call.Request.Header)
	if err != nil {
		return "" // the request was refused as header-malformed
	}
	return metadata.ID
}
