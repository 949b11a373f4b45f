package prober_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/router"
	"godwitramp.example/core/watcher"
	"godwitramp.example/entry/internal/prober"
	"godwitramp.example/shell/breaker"
	"godwitramp.example/shell/timer"
)

// firstReport is a Steward that sends on the first report, whatever it is.
type firstReport chan string

func (reports firstReport) ReportLeaving(configurator.Path, string) { reports.add("leaves") }
func (reports firstReport) ReportUnhealthy(configurator.Path)       { reports.add("sick") }

func (reports firstReport) add(state string) {
	select {
	case reports <- state:
	default:
	}
}

// A target in trouble answers probes with a head that violates HTTP, which was read as a healthy or leaving target's.
func TestBrokenAnswerToAProbeIsBelieved(t *testing.T) {
	for answer, state := range map[string]string{
		"HTTP/1.1 200 OK\r\nX Foo: 1\r\n\r\nload 1 of 4\n":                  "sick",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nload 1 of 4\n":        "sick",
		"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nload 1 of 4\n":        "sick",
		"HTTP/1.1 000 X\r\nContent-Length: 12\r\n\r\nload 1 of 4\n":         "sick",
		"HTTP/1.1 503 X\r\nX-Foo : 1\r\nContent-Length: 8\r\n\r\nleaving\n": "sick",
		"HTTP/1.1 503 X\r\nContent-Length: 8\r\n\r\nleaving\n":              "leaves",
		"HTTP/1.1 503 X\r\n\r\nleaving\n":                                   "leaves",
	} {
		t.Run(answer, func(t *testing.T) {
			is := is.New(t)
			address := breaker.Serve(t, func(connection *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(connection, answer) })
			configuration := configurator.NewState()
			is.NoErr(configuration.Apply(configurator.Change{Revision: 1, Team: "a", Puts: []configurator.Entry{
				{Path: "/a/services/s"},
				{Path: "/a/services/s/targets/t", Fields: []configurator.Field{
					{Name: "address", Value: address}, {Name: "data-centre", Value: "r-1"}, {Name: "region", Value: "r"},
				}},
			}}))
			tables := &targets{}
			tables.table, _ = configurator.Compile(configuration.All())
			reports := make(firstReport, 1)
			prober := &prober.Prober{
				Members: members{0, []watcher.Peer{{Name: "vm", Region: "r"}}}, Tables: tables, Router: &router.Router{}, Steward: reports, Now: timer.Now,
			}
			ctx, stop := context.WithCancel(t.Context())
			ended := make(chan error)
			go func() { ended <- prober.Run(ctx) }()
			select {
			case report := <-reports:
				is.Equal(report, state)
			case <-time.After(5 * time.Second): // five probes
				t.Error("taken for healthy")
			}
			stop()
			is.NoErr(<-ended)
		})
	}
}
