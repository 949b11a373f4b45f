package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/router"
	"godwitramp.example/entry/internal/forwarder"
	"godwitramp.example/shell/breaker"
)

// repeats is how often a race between the writer and the reader of a connection is played.
const repeats = 20

// serveUpstream starts a VM for callers whose only target is at the address. Its results are those of the fleet.
func (fleet *fleet) serveUpstream(t *testing.T, address string) *httptest.Server {
	fleet.faults = []fault{healthy}
	sender := fleet.forwarder()
	sender.Exchanger.Dial = func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		sender.Forward(writer, request, forwarder.Job{Service: fleet.service(), RequestID: "id"})
	}))
	server.Config.ErrorLog = nil
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// serveWithoutLength starts a target that answers at once with 1,000 bytes without a length and then ends the connection as
// the function does.
func serveWithoutLength(t *testing.T, end func(connection *net.TCPConn, request *http.Request)) string {
	return breaker.Serve(t, func(connection *net.TCPConn, request *http.Request) {
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nGodwitramp-Request-Id: %s\r\n\r\n%s",
			request.Header.Get("Godwitramp-Request-Id"), strings.Repeat("x", 1000))
		end(connection, request)
	})
}

// A target answers a long upload at once without a length and resets the connection in the middle of its body. The caller
// must see that the answer is cut.
func TestPartOfAnAnswerToAnUploadIsTakenForWhole(t *testing.T) {
	for name, end := range map[string]func(connection *net.TCPConn){"reset": breaker.Reset, "close": breaker.CloseUnread} {
		for _, delay := range []time.Duration{0, 5 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " after ", delay), func(t *testing.T) {
				is := is.New(t)
				address := serveWithoutLength(t, func(connection *net.TCPConn, _ *http.Request) {
					time.Sleep(delay)
					end(connection)
				})
				fleet := &fleet{}
				server := fleet.serveUpstream(t, address)
				for range repeats {
					response, err := http.Post(server.URL, "", strings.NewReader(strings.Repeat("u", breaker.LongUpload)))
					if err == nil {
						_, err = io.ReadAll(response.Body)
						_ = response.Body.Close()
					}
					is.True(err != nil || response.StatusCode != http.StatusOK)
				}
				server.Close() // waits for the end of the requests
				is.Equal(len(fleet.results), repeats)
				for _, result := range fleet.results {
					is.Equal(result.Kind, router.Truncated)
				}
			})
		}
	}
}

// The answer is whole if the target has ended its side, however little of the upload it reads.
func TestWholeAnswerToAnUploadIsCut(t *testing.T) {
	for name, end := range map[string]func(request *http.Request){
		"reads the upload": func(request *http.Request) { _, _ = io.Copy(io.Discard, request.Body) },
		"closes":           func(*http.Request) {},
		"closes later":     func(*http.Request) { time.Sleep(5 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := serveWithoutLength(t, func(connection *net.TCPConn, request *http.Request) {
				_ = connection.CloseWrite()
				end(request)
			})
			fleet := &fleet{}
			server := fleet.serveUpstream(t, address)
			for range repeats {
				response, err := http.Post(server.URL, "", strings.NewReader(strings.Repeat("u", breaker.LongUpload)))
				is.NoErr(err)
				body, err := io.ReadAll(response.Body)
				is.NoErr(err)
				_ = response.Body.Close()
				is.Equal(len(body), 1000)
			}
			server.Close() // waits for the end of the requests
			is.Equal(len(fleet.results), repeats)
			for _, result := range fleet.results {
				is.Equal(result.Kind, router.Good)
			}
		})
	}
}
