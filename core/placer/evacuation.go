package placer

import "cmp"

// SetEvacuated sets the data centres that are evacuated. Their targets get no requests, trials included, and don't
// count towards the floor. Attempts in flight go on.
func (placer *Placer) SetEvacuated(dataCentres []string) {
	placer.evacuated = make(map[string]bool, len(dataCentres))
	for _, dataCentre := range dataCentres {
		placer.evacuated[dataCentre] = true
	}
	for _, target := range placer.byID {
		target.evacuated = placer.evacuated[target.DataCentre]
	}
	placer.markSpares()
}

// InFlight returns the number of this VM's attempts in flight at targets of the data centre, including those that
// have gone since.
func (placer *Placer) InFlight(dataCentre string) int { return placer.ownInFlight[dataCentre] }

func (placer *Placer) countInFlight(dataCentre string, change int) {
	if placer.ownInFlight == nil {
		placer.ownInFlight = make(map[string]int)
	}
	placer.ownInFlight[dataCentre] += change
	if placer.ownInFlight[dataCentre] <= 0 {
		delete(placer.ownInFlight, dataCentre)
	}
}

// markSpares marks the spares of each service among its targets that aren't evacuated.
func (placer *Placer) markSpares() {
	for service := range placer.byService {
		markSpares(placer.unevacuated(service), cmp.Or(placer.Floor, defaultFloor))
	}
}

// unevacuated returns the targets of the service that aren't evacuated.
func (placer *Placer) unevacuated(service string) []*target {
	targets := placer.byService[service]
	if len(placer.evacuated) == 0 {
		return targets
	}
	left := make([]*target, 0, len(targets))
	for _, target := range targets {
		if !target.evacuated {
			left = append(left, target)
		}
	}
	return left
}

// excluded reports whether the target receives no new requests, whatever its state.
func (target *target) excluded() bool { return target.isLeaving() || target.evacuated }
