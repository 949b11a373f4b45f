// Package indexer validates one version of the configuration and looks up the
// route, the service and the organisation of a request in it.
//
// An Index is immutable and safe for concurrent use, so that a request can keep
// using the one that it was admitted with.
//
// # Usage
//
//	index, err := indexer.New(configuration)
//	route := index.Route(host, path)
//	organisation := index.Organisation(key)
package indexer

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Configuration is one version of the operators' declarations.
type Configuration struct {
	// Version rises with each change.
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Route describes which requests are sent to which services, and how.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent is true if the requests may be executed more than once.
	Idempotent bool
	// Timeout is the longest time that a caller waits for an answer; 0 means no
	// timeout.
	Timeout time.Duration
	// LatencyObjective is the latency up to which an answer has its full value.
	LatencyObjective time.Duration
	// Attempts is the maximum number of targets that one request is sent to.
	Attempts int
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	// HomeRegions are the regions in which the requests may be served; none means all.
	HomeRegions []string
	// Open is true if requests need no key.
	Open bool
	// Shares are the services that the requests are split between.
	Shares []Share
}

// Share is one service's part in a route's traffic split.
type Share struct {
	Service string
	// Weight is relative to the sum of the weights of the route.
	Weight int
}

// Service is a set of targets that serve the same requests.
type Service struct {
	Name string
	// HealthPath is the path of the targets' health check.
	HealthPath string
	// ConnectionLimit is the maximum number of connections that a target accepts
	// from all callers together.
	ConnectionLimit int
	// WarmupRate is the number of requests a second that a cold target tolerates from all VMs together; 0 means
	// no limit.
	WarmupRate float64
	// WarmupTime is how long a target is cold after its start.
	WarmupTime time.Duration
}

// Organisation is a holder of keys with a rate limit.
type Organisation struct {
	Name string
	Keys []string
	// Rate is in requests per second over the whole fleet; 0 means no limit.
	Rate float64
	// Burst is in requests.
	Burst float64
	// Priority overrides the priority of routes if HasPriority is true.
	Priority    int
	HasPriority bool
	// HomeRegions are the regions in which the organisation's requests may be served; none means all.
	HomeRegions []string
}

// Limits restricts what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the maximum time for receiving the header of a request.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection is kept open without a request.
	IdleTimeout time.Duration
}

// Index looks up one version of the configuration.
type Index struct {
	Configuration

	// byHost lists the routes of a host, the longest prefix first.
	byHost   map[string][]*Route
	services map[string]*Service
	byKey    map[string]*Organisation
}

// New validates the configuration and indexes it. The error describes the first
// mistake found; no part of an invalid configuration may be used.
func New(configuration Configuration) (*Index, error) {
	index := &Index{
		Configuration: configuration,
		byHost:        make(map[string][]*Route), services: make(map[string]*Service), byKey: make(map[string]*Organisation),
	}
	for i := range configuration.Services {
		service := &configuration.Services[i]
		if !(service.WarmupRate >= 0) || math.IsInf(service.WarmupRate, 1) || service.WarmupTime < 0 {
			return nil, fmt.Errorf("service %q has the warm-up rate %v and the warm-up time %v, must be 0 or more",
				service.Name, service.WarmupRate, service.WarmupTime)
		}
		index.services[service.Name] = service
	}
	for i := range configuration.Routes {
		if err := index.addRoute(&configuration.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range configuration.Organisations {
		if err := index.addOrganisation(&configuration.Organisations[i]); err != nil {
			return nil, err
		}
	}
	for _, routes := range index.byHost {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return index, nil
}

func (index *Index) addRoute(route *Route) error {
	switch {
	case route.Host == "":
		return fmt.Errorf("route %q has no host", route.Name)
	case !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"):
		return fmt.Errorf("prefix %q of route %q must begin and end with a slash", route.Prefix, route.Name)
	case route.Attempts < 1:
		return fmt.Errorf("route %q allows %d attempts, must be 1 or more", route.Name, route.Attempts)
	case len(route.Shares) == 0:
		return fmt.Errorf("route %q has no service", route.Name)
	case route.Priority < 0:
		return fmt.Errorf("route %q has the priority %d, must be 0 or more", route.Name, route.Priority)
	}
	for _, share := range route.Shares {
		if index.services[share.Service] == nil {
			return fmt.Errorf("route %q names the unknown service %q", route.Name, share.Service)
		}
		if share.Weight < 0 {
			return fmt.Errorf("route %q has the weight %d, must be 0 or more", route.Name, share.Weight)
		}
	}
	host := strings.ToLower(route.Host)
	index.byHost[host] = append(index.byHost[host], route)
	return nil
}

func (index *Index) addOrganisation(organisation *Organisation) error {
	if !(organisation.Rate >= 0) || !(organisation.Burst >= 0) {
		return fmt.Errorf("organisation %q has the rate %v and the burst %v, must be 0 or more",
			organisation.Name, organisation.Rate, organisation.Burst)
	}
	if organisation.Priority < 0 {
		return fmt.Errorf("organisation %q has the priority %d, must be 0 or more", organisation.Name, organisation.Priority)
	}
	for _, key := range organisation.Keys {
		if key == "" {
			return fmt.Errorf("organisation %q has an empty key", organisation.Name)
		}
		if other := index.byKey[key]; other != nil && other != organisation {
			return fmt.Errorf("organisations %q and %q have a key in common", other.Name, organisation.Name)
		}
		index.byKey[key] = organisation
	}
	return nil
}

// Route returns the route of the host with the longest prefix that matches the
// path, or nil. The host is case-insensitive.
func (index *Index) Route(host, path string) *Route {
	host = strings.ToLower(host)
	for _, route := range index.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns the service with the name, or nil.
func (index *Index) Service(name string) *Service { return index.services[name] }

// Organisation returns the organisation that holds the key, or nil.
func (index *Index) Organisation(key string) *Organisation { return index.byKey[key] }

// NeedsKeys reports whether requests need a key on routes that aren't open.
func (index *Index) NeedsKeys() bool { return len(index.Organisations) > 0 }

// PickService chooses a service by weight, given a random number in [0, 1). It
// returns an empty name if the weights sum to 0.
func (route *Route) PickService(random float64) string {
	total := 0.0
	for _, share := range route.Shares {
		total += float64(share.Weight)
	}
	point := random * total
	last := ""
	for _, share := range route.Shares {
		if share.Weight == 0 {
			continue
		}
		last = share.Service
		if point -= float64(share.Weight); point < 0 {
			break
		}
	}
	return last
}
