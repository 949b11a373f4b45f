package receiver_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"godwitramp.example/core/indexer"
	"godwitramp.example/gateway/internal/receiver"
)

// A head that only the newest limit allows must be read on a connection that is older than
// that limit.
func TestLongerHeadsAreReadOnOlderConnections(t *testing.T) {
	is := is.New(t)
	var headerBytes atomic.Int64
	headerBytes.Store(128)
	log := logrus.New()
	log.SetOutput(io.Discard)
	caller := dial(t, run(t, &receiver.Receiver{
		Handler: &handler{serve: echo}, Log: logrus.NewEntry(log),
		Limits: func() indexer.Limits { return indexer.Limits{HeaderBytes: int(headerBytes.Load())} },
	}))
	reader := bufio.NewReader(caller)
	send(t, caller, get("/a"))
	read(t, reader)
	headerBytes.Store(1024)
	long := "GET /b HTTP/1.1\r\nHost: a.example\r\nX: " + strings.Repeat("y", 600) + "\r\n\r\n"
	send(t, caller, long+get("/c"))
	for _, want := range []string{"/b ", "/c "} {
		response, body := read(t, reader)
		is.Equal(response.StatusCode, http.StatusOK)
		is.Equal(body, want)
	}
}
