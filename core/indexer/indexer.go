// Package indexer finds the route, the service and the organisation of a
// request in one version of the configuration.
//
// An Index never changes once it is made, so that a request can keep the one
// it was admitted with.
//
// # Usage
//
//	index, err := indexer.New(configuration)
//	route := index.Route(host, path)
//	organisation := index.Organisation(key)
package indexer

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Configuration is one version of what operators declare.
type Configuration struct {
	// Version rises with each change.
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Route says which requests go to which services and how.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request is kept waiting, none if zero.
	Timeout time.Duration
	// Objective is the time within which an answer has its full value.
	Objective time.Duration
	// Attempts bounds the targets that one request is sent to.
	Attempts int
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	// Open routes need no key.
	Open bool
	// Shares are the services that the requests are divided between.
	Shares []Share
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	// Weight is relative to the sum of the route's weights.
	Weight int
}

// Service is a set of targets that serve the same requests.
type Service struct {
	Name string
	// HealthPath is the path of the targets' health check.
	HealthPath string
	// ConnectionLimit is the most connections that a target takes from all
	// callers together.
	ConnectionLimit int
}

// Organisation is a customer with keys and a rate.
type Organisation struct {
	Name string
	Keys []string
	// Rate is in requests a second over the whole fleet; zero means no limit.
	Rate float64
	// Burst is in requests.
	Burst float64
	// Priority goes before the priority of routes if HasPriority is true.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the longest time that the header of a request may take.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection stays open without a request.
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

// New checks the configuration and indexes it. The error names what is wrong
// first; nothing of such a configuration may be used.
func New(configuration Configuration) (*Index, error) {
	index := &Index{
		Configuration: configuration,
		byHost:        make(map[string][]*Route), services: make(map[string]*Service), byKey: make(map[string]*Organisation),
	}
	for i := range configuration.Services {
		service := &configuration.Services[i]
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

// Route returns the route with the longest prefix of the path among those of
// the host, or nil.
func (index *Index) Route(host, path string) *Route {
	host = strings.ToLower(host)
	for _, route := range index.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns the service of that name, or nil.
func (index *Index) Service(name string) *Service { return index.services[name] }

// Organisation returns the holder of the key, or nil.
func (index *Index) Organisation(key string) *Organisation { return index.byKey[key] }

// NeedsKeys reports whether requests need a key on routes that aren't open.
func (index *Index) NeedsKeys() bool { return len(index.Organisations) > 0 }

// Pick returns the service for a request, given a random number from 0 to 1.
// It is empty if no share has a weight.
func (route *Route) Pick(random float64) string {
	total := 0
	for _, share := range route.Shares {
		total += share.Weight
	}
	point := random * float64(total)
	for _, share := range route.Shares {
		point -= float64(share.Weight)
		if point < 0 {
			return share.Service
		}
	}
	return ""
}
