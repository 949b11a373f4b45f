package starter

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"godwitramp.example/shell/describer"
)

func (starter *Starter) ready() bool {
	return !starter.leaving.Load() && starter.syncer.Table() != nil
}

// status describes the state of the VM to operators.
func (starter *Starter) status() describer.Status {
	return describer.Status{
		Name: starter.Settings.Name, Region: starter.Settings.Region, DataCentre: starter.Settings.DataCentre,
		Version: starter.Version, Revision: starter.syncer.Revision(), Ready: starter.ready(),
		Leaving: starter.leaving.Load(), KeysKnown: starter.syncer.KeysKnown(),
		Incarnation: starter.gossiper.Self().Incarnation, Ejections: starter.ejections(),
	}
}

// operators returns the handler of health checks and metrics.
func (starter *Starter) operators() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(writer, "live")
	})
	mux.HandleFunc("GET /ready", func(writer http.ResponseWriter, _ *http.Request) {
		if !starter.ready() {
			http.Error(writer, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprintf(writer, "ready revision=%d\n", starter.syncer.Revision())
	})
	mux.HandleFunc("GET /metrics", func(writer http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(writer, true)
	})
	return mux
}
