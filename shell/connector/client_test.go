package connector_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/shell/breaker"
	"godwitramp.example/shell/connector"
)

// The platform resets the connection in the middle of an object and of its answer, which has no length. The object may not
// be there.
func TestObjectThatIsResetCountsAsStored(t *testing.T) {
	for name, end := range map[string]func(connection *net.TCPConn){"reset": breaker.Reset, "close with unread bytes": breaker.CloseUnread} {
		for _, delay := range []time.Duration{0, 5 * time.Millisecond} {
			t.Run(name+" after "+delay.String(), func(t *testing.T) {
				address := breaker.Serve(t, func(connection *net.TCPConn, _ *http.Request) {
					_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\npart")
					time.Sleep(delay)
					end(connection)
				})
				client := &connector.Client{Base: "http://" + address}
				stored := 0
				for range 20 {
					err := client.PutObject(context.Background(), "name", make([]byte, breaker.LongUpload))
					var lost *connector.LostAnswerError
					if err == nil {
						stored++
					} else if !errors.As(err, &lost) {
						t.Errorf("another error: %v", err)
					}
				}
				if stored > 0 {
					t.Errorf("%d of 20 objects count as stored", stored)
				}
			})
		}
	}
}

// An answer without a length that ends in order is one.
func TestAnswerWithoutLengthIsLost(t *testing.T) {
	is := is.New(t)
	address := breaker.Serve(t, func(connection *net.TCPConn, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\nwhole")
	})
	client := &connector.Client{Base: "http://" + address}
	is.NoErr(client.PutObject(context.Background(), "name", make([]byte, breaker.LongUpload)))
	data, err := client.Object(context.Background(), "name")
	is.NoErr(err)
	is.Equal(string(data), "whole")
}
