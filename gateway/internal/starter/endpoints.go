package starter

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"godwitramp.example/platform"
	"godwitramp.example/shell/timer"
)

const readHeaderTimeout = 5 * time.Second

// staleReadiness is the age of the configuration from which the balancer is
// told to turn elsewhere, below the age from which keys are refused.
const staleReadiness = 4 * time.Second

// endpoints answer the balancer and operators.
type endpoints struct {
	servers []*http.Server
}

func (endpoints *endpoints) close() {
	for _, server := range endpoints.servers {
		_ = server.Close()
	}
}

func (starter *Starter) startEndpoints() (*endpoints, error) {
	router := echo.New()
	router.GET(platform.ReadinessPath, starter.readiness)
	router.GET("/metrics", func(context echo.Context) error {
		metrics.WritePrometheus(context.Response(), true)
		return nil
	})
	endpoints := &endpoints{}
	for _, address := range []string{starter.Settings.Readiness, starter.Settings.Operators} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			endpoints.close()
			return nil, fmt.Errorf("listen for operators: %w", err)
		}
		server := &http.Server{Handler: router, ReadHeaderTimeout: readHeaderTimeout}
		endpoints.servers = append(endpoints.servers, server)
		go func() {
			if err := server.Serve(listener); err != http.ErrServerClosed {
				starter.Log.WithError(err).Error("endpoint-failed")
			}
		}()
	}
	return endpoints, nil
}

// ready reports whether new connections are welcome.
func (starter *Starter) ready() bool {
	return !starter.leaving.Load() && starter.tracker.Complete() && starter.messages.joined() &&
		timer.Now()-starter.tracker.AsOf() < staleReadiness && starter.dispatcher.MayServe()
}

func (starter *Starter) readiness(context echo.Context) error {
	if !starter.ready() {
		return context.NoContent(http.StatusServiceUnavailable)
	}
	return context.NoContent(http.StatusOK)
}
