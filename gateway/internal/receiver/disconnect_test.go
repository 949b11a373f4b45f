package receiver_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/indexer"
	"godwitramp.example/gateway/internal/receiver"
)

// The end of a caller must be seen also while a request waits that can't be passed on yet:
// otherwise targets go on to work for nobody.
func TestDisconnectIsDetectedWhileARequestWaitsForItsTurn(t *testing.T) {
	for name, waiting := range map[string]string{
		"malformed": "GET * HTTP/1.1\r\n\r\n",
		"late head": "GET /second HTTP/1.1\r\n",
		"expects":   "POST /second HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan struct{})
			handler := &handler{serve: func(ctx context.Context, _ *receiver.Call) receiver.Reply {
				<-ctx.Done()
				close(ended)
				return receiver.Reply{Abort: true}
			}}
			receiver, caller := start(t, handler, indexer.Limits{HeaderTimeout: 20 * time.Millisecond})
			send(t, caller, get("/first")+waiting)
			for len(handler.seen()) < 1 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(100 * time.Millisecond) // until the second request waits
			_ = caller.Close()
			<-ended
			for receiver.OpenConnections() > 0 {
				time.Sleep(time.Millisecond)
			}
			is.Equal(receiver.InFlight(), 0)
		})
	}
}
