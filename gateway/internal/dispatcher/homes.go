package dispatcher

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
)

// refusalNoHome is the answer if the route and the organisation have no home region in common. Only a new
// configuration changes that.
var refusalNoHome = refusal{status: http.StatusServiceUnavailable, reason: "no-home-region", retryAfter: time.Second}

// homes returns the regions that the job may be sent to, nil for all, by the configuration in force, and the
// version of that. The job may have waited since it was admitted by an earlier one.
func (dispatcher *Dispatcher) homes(job *job) ([]string, uint64) {
	index := dispatcher.Tracker.Index()
	if index == nil || index == job.index {
		return job.homes, job.index.Version
	}
	route := routeOf(index, job.call)
	if route == nil {
		route = job.route
	}
	return indexer.HomeRegions(route, index.Organisation(job.metadata.Key)), index.Version
}

// permits reports whether the job may be sent to the target by the configuration in force.
func (dispatcher *Dispatcher) permits(job *job, target placer.Target) bool {
	homes, _ := dispatcher.homes(job)
	return dispatcher.state.permits(target, homes)
}

func (state *state) permits(target placer.Target, homes []string) bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.placer.Permits(target, homes)
}

// scope is a service and the regions whose targets are meant, nil for all. What a VM can reach is known by scope:
// home regions that are cut off say nothing about the others.
type scope struct {
	service string
	homes   []string
}

// key identifies the scope among those of the delegator. Names of services contain no line breaks.
func (scope scope) key() string {
	if scope.homes == nil {
		return scope.service
	}
	homes := slices.Sorted(slices.Values(scope.homes))
	return scope.service + "\n" + strings.Join(homes, "\n")
}

// isEmpty reports whether no region is permitted.
func (scope scope) isEmpty() bool { return scope.homes != nil && len(scope.homes) == 0 }

// scope returns what the next attempt may use.
func (handler *handler) scope() scope {
	homes, _ := handler.dispatcher.homes(handler.job)
	return scope{service: handler.job.service, homes: homes}
}
