package starter

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"godwitramp.example/core/explainer"
	"godwitramp.example/platform"
	"godwitramp.example/shell/timer"
)

const readHeaderTimeout = 5 * time.Second

// maxReadyAge is the age of the configuration from which the VM reports that it isn't
// ready. It is below the age from which the VM rejects keys, so that the balancer uses
// other VMs before that.
const maxReadyAge = 4 * time.Second

// endpoints are the HTTP servers for the balancer's checks and for operators.
type endpoints struct {
	servers []*http.Server
}

func (endpoints *endpoints) close() {
	for _, server := range endpoints.servers {
		_ = server.Close()
	}
}

func (starter *Starter) startEndpoints() (*endpoints, error) {
	balancer, operators := echo.New(), echo.New()
	for _, router := range []*echo.Echo{balancer, operators} {
		router.GET(platform.ReadinessPath, starter.readiness)
	}
	operators.GET("/metrics", func(context echo.Context) error {
		metrics.WritePrometheus(context.Response(), true)
		return nil
	})
	operators.GET(explainer.Path, starter.explain)
	endpoints := &endpoints{}
	for _, endpoint := range []struct {
		address string
		router  *echo.Echo
	}{{starter.Settings.Readiness, balancer}, {starter.Settings.Operators, operators}} {
		listener, err := net.Listen("tcp", endpoint.address)
		if err != nil {
			endpoints.close()
			return nil, fmt.Errorf("listen for readiness checks and operators: %w", err)
		}
		server := &http.Server{Handler: endpoint.router, ReadHeaderTimeout: readHeaderTimeout}
		endpoints.servers = append(endpoints.servers, server)
		go func() {
			if err := server.Serve(listener); err != http.ErrServerClosed {
				starter.Log.WithError(err).Error("endpoint-failed")
			}
		}()
	}
	return endpoints, nil
}

// ready reports whether the balancer should send new connections to this VM.
func (starter *Starter) ready() bool {
	return !starter.leaving.Load() && starter.tracker.Complete() && starter.messages.joined() &&
		timer.Now()-starter.tracker.AsOf() < maxReadyAge && starter.dispatcher.MayServe()
}

func (starter *Starter) readiness(context echo.Context) error {
	if !starter.ready() {
		return context.NoContent(http.StatusServiceUnavailable)
	}
	return context.NoContent(http.StatusOK)
}

// explainParameters are those of a request for an explanation.
var explainParameters = []string{"host", "path", "method", "organisation"}

// explain answers where a request would go now. Anything but the known parameters is refused: a key must not
// appear in an address, which logs and process lists show.
func (starter *Starter) explain(context echo.Context) error {
	parameters := context.QueryParams()
	for name, values := range parameters {
		if !slices.Contains(explainParameters, name) || len(values) != 1 {
			return context.String(http.StatusBadRequest, "unknown or repeated parameter; allowed: "+strings.Join(explainParameters, ", ")+"\n")
		}
	}
	query := explainer.Query{
		Host: parameters.Get("host"), Path: parameters.Get("path"), Method: parameters.Get("method"), Organisation: parameters.Get("organisation"),
	}
	if err := query.Check(); err != nil {
		return context.String(http.StatusBadRequest, err.Error()+"\n")
	}
	explanation := starter.dispatcher.Explain(query)
	explanation.VM = starter.Settings.Name
	return context.JSON(http.StatusOK, explanation)
}
