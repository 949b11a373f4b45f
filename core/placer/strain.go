package placer

import (
	"math"
	"time"
)

const (
	// strainMemory is the time over which requests are counted.
	strainMemory = 3 * time.Second
	// strainedShare is the part of a service's requests that aren't served from
	// which idle targets are tried. The floor of used targets is promised from a
	// tenth on; VMs see only a part of the requests, and none of those that a VM
	// which stopped has lost.
	strainedShare = 0.06
	// strainedRequests is the least number of requests that aren't served, so
	// that one failure is no strain.
	strainedRequests = 1.6
	// longestIdle is how long a target of a strained service stays without a
	// request, so that all that are well are in use within two seconds.
	longestIdle = 1500 * time.Millisecond
	// maxSuspicionOfTrial leaves out targets that failed less than four seconds
	// ago, most of which still fail.
	maxSuspicionOfTrial = 0.52
)

// strain counts the requests of a service that were served and those that were
// not, with weights that fade.
type strain struct {
	served, unserved float64
	updated          time.Duration
}

func (strain *strain) fade(now time.Duration) {
	if passed := now - strain.updated; passed > 0 {
		factor := math.Exp(-passed.Seconds() / strainMemory.Seconds())
		strain.served *= factor
		strain.unserved *= factor
		strain.updated = now
	}
}

func (strain *strain) add(served bool, now time.Duration) {
	strain.fade(now)
	if served {
		strain.served++
	} else {
		strain.unserved++
	}
}

// strained reports whether so many requests aren't served that targets which
// are avoided may be needed.
func (strain *strain) strained(now time.Duration) bool {
	strain.fade(now)
	return strain.unserved >= strainedRequests && strain.unserved >= strainedShare*(strain.served+strain.unserved)
}

// Served takes note of a request that was served, at this VM or another of its
// data centre.
func (placer *Placer) Served(service string, now time.Duration) {
	placer.strainOf(service).add(true, now)
}

// Unserved takes note of a request that was refused or failed.
func (placer *Placer) Unserved(service string, now time.Duration) {
	placer.strainOf(service).add(false, now)
}

func (placer *Placer) strainOf(service string) *strain {
	if placer.strains == nil {
		placer.strains = make(map[string]*strain)
	}
	known := placer.strains[service]
	if known == nil {
		known = &strain{}
		placer.strains[service] = known
	}
	return known
}

// wantsTrial reports whether an idle target should get the next request that can
// be sent again, or the next one at all if its service is strained. The VMs of
// each data centre try the targets of their own.
func (placer *Placer) wantsTrial(target *target, now time.Duration) bool {
	return target.DataCentre == placer.Place.DataCentre && now-target.usedAt > longestIdle &&
		target.suspicion.at(now) < maxSuspicionOfTrial
}
