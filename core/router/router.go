// Package router picks the target that a request is sent to.
//
// # Usage
//
//	router := router.New(router.Place{Region: "kutch", DataCentre: "kutch-1"})
//	target, ok := router.Pick(router.Ask{Service: service}, random)
//	defer router.Done(router.Result{Target: target.Path}, now)
package router

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"godwitramp.example/core/configurator"
)

// Place is where a VM stands.
type Place struct {
	Region     string
	DataCentre string
}

// Router knows the requests in progress at each target. It is safe for
// concurrent use.
type Router struct {
	Place Place

	mutex   sync.Mutex
	running map[configurator.Path]int
}

// New returns a router of a VM at the given place.
func New(place Place) *Router {
	return &Router{Place: place, running: make(map[configurator.Path]int)}
}

// Pick returns the better of two random targets of the nearest kind, leaving
// out those that were tried. It reports false if none is left.
func (router *Router) Pick(ask Ask, random *rand.Rand) (configurator.Target, bool) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	var nearest []configurator.Target
	best := farthest
	for _, target := range ask.Service.Targets {
		if target.Leaving || slices.Contains(ask.Tried, target.Path) {
			continue
		}
		distance := router.distance(target)
		if distance < best {
			best = distance
			nearest = nearest[:0]
		}
		if distance == best {
			nearest = append(nearest, target)
		}
	}
	if len(nearest) == 0 {
		return configurator.Target{}, false
	}
	first := nearest[random.IntN(len(nearest))]
	second := nearest[random.IntN(len(nearest))]
	if router.running[second.Path] < router.running[first.Path] {
		first = second
	}
	router.running[first.Path]++
	return first, true
}

// Distances between a VM and a target.
const (
	sameDataCentre = iota
	sameRegion
	otherRegion
	farthest
)

func (router *Router) distance(target configurator.Target) int {
	switch {
	case target.Region != router.Place.Region:
		return otherRegion
	case target.DataCentre != router.Place.DataCentre:
		return sameRegion
	default:
		return sameDataCentre
	}
}

// Done takes note of how an attempt at a target ended.
func (router *Router) Done(result Result, _ time.Duration) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.running[result.Target]--
}
