package dispatcher

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"
)

// evacuation is an evacuated data centre.
type evacuation struct {
	since time.Duration
	// drained is true once none of this VM's requests has been in flight there since.
	drained bool
}

// SetEvacuated sets the evacuated data centres. No request is sent to their targets from then on; those in flight
// go on.
func (dispatcher *Dispatcher) SetEvacuated(dataCentres []string) {
	dispatcher.state.setEvacuated(dataCentres, dispatcher.Clock())
	dispatcher.reportDrained()
}

// InFlight returns the number of this VM's attempts in flight at targets of the data centre.
func (dispatcher *Dispatcher) InFlight(dataCentre string) int {
	state := &dispatcher.state
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.placer.InFlight(dataCentre)
}

// evacuated is for callers that don't hold the state's mutex.
func (dispatcher *Dispatcher) evacuated(dataCentre string) bool {
	state := &dispatcher.state
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.placer.Evacuated(dataCentre)
}

// reportDrained logs each evacuated data centre once in which the last request in flight has ended.
func (dispatcher *Dispatcher) reportDrained() {
	for dataCentre, duration := range dispatcher.state.takeDrained(dispatcher.Clock()) {
		dispatcher.Log.WithFields(logrus.Fields{"data-centre": dataCentre, "duration": duration.Round(time.Millisecond)}).Info("evacuation-drained")
	}
}

func (state *state) setEvacuated(dataCentres []string, now time.Duration) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	evacuations := make(map[string]evacuation, len(dataCentres))
	for _, dataCentre := range dataCentres {
		known, ok := state.evacuations[dataCentre]
		if !ok {
			known.since = now
		}
		evacuations[dataCentre] = known
	}
	if len(state.evacuations)+len(evacuations) > 0 {
		ended := maps.Clone(state.evacuations)
		maps.DeleteFunc(ended, func(dataCentre string, _ evacuation) bool { _, ok := evacuations[dataCentre]; return ok })
		state.evacuations = evacuations
		state.placer.SetEvacuated(dataCentres)
		for dataCentre := range ended {
			state.placer.PresumeCold(dataCentre, now) // their rows tell so up to a heartbeat later
		}
		setEvacuated(len(evacuations), state.evacuatedInFlight())
	}
}

// evacuatedInFlight returns the number of attempts in flight at evacuated data centres.
func (state *state) evacuatedInFlight() int {
	inFlight := 0
	for dataCentre := range state.evacuations {
		inFlight += state.placer.InFlight(dataCentre)
	}
	return inFlight
}

// takeDrained returns the data centres whose last request in flight has ended, each once, and how long after the
// begin of the evacuation. It also sets the gauges.
func (state *state) takeDrained(now time.Duration) map[string]time.Duration {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if len(state.evacuations) == 0 {
		return nil
	}
	drained := make(map[string]time.Duration)
	for dataCentre, known := range state.evacuations {
		if !known.drained && state.placer.InFlight(dataCentre) == 0 {
			known.drained = true
			state.evacuations[dataCentre] = known
			drained[dataCentre] = now - known.since
		}
	}
	setEvacuated(len(state.evacuations), state.evacuatedInFlight())
	return drained
}
