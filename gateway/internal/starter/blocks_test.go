package starter_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/platform"
)

// addFragileTarget adds a target that ends all its connections, and accepts none, 70 ms after it has
// received a request.
func (fleet *fleet) addFragileTarget(id string, requests *atomic.Int32) {
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		requests.Add(1)
		time.Sleep(70 * time.Millisecond)
		_ = server.Listener.Close()
		server.CloseClientConnections()
	}))
	fleet.t.Cleanup(server.Close)
	fleet.store.Put(platform.TargetTable, "", id, fmt.Appendf(nil,
		`{"Service":"s","Address":%q,"Zone":"d","Version":"v1","WarmupRemaining":"0ms","Slots":4,"State":"ready","Sequence":1}`, strings.TrimPrefix(server.URL, "http://")))
}

func TestRequestIsSentAgainAfterAllVMsAreGone(t *testing.T) {
	is := is.New(t)
	fleet := start(t, 0)
	fleet.store.Delete(platform.TargetTable, "", "t")
	var requests atomic.Int32
	for i := range 6 {
		fleet.addFragileTarget(fmt.Sprint("fragile-", i), &requests)
	}
	fleet.run("vm-0")
	for range 3 {
		is.True(fleet.vms[0].status(t, "key") >= http.StatusInternalServerError)
	}
	is.Equal(requests.Load(), int32(3))
	fleet.waitUntil("the block is in the store", func() bool { return fleet.row("blocks") != nil })
	fleet.vms[0].stop()
	<-fleet.vms[0].stopped
	fleet.run("vm-1")
	is.Equal(fleet.vms[1].status(t, "key"), http.StatusServiceUnavailable)
	is.Equal(requests.Load(), int32(3))
	// Nobody who reads the row may find the request in it.
	for _, part := range []string{"a.example", "key", "crews"} {
		is.True(!strings.Contains(string(fleet.row("blocks")), part))
	}
}

// A row that can't be read must not keep a VM from starting.
func TestMalformedBlocksInTheStore(t *testing.T) {
	is := is.New(t)
	fleet := start(t, 0)
	for i, row := range []string{"no json", `[{"fingerprint":"zz","until":"9999-01-01T00:00:00Z"}]`, `[{"until":"2000-01-01T00:00:00Z"},{}]`} {
		fleet.store.Put("vms", "", "blocks", []byte(row))
		fleet.run(fmt.Sprint("vm-", i))
		is.Equal(fleet.vms[i].status(t, "key"), http.StatusOK)
	}
}
