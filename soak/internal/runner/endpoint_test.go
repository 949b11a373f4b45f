package runner

import (
	"net"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/soak/internal/relayer"
)

// A target that ends before its server has begun to serve must free its address.
func TestTargetThatEndsAtOnceFreesItsAddress(t *testing.T) {
	is := is.New(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(listener.Close())
	endpoint := &endpoint{runner: &Runner{}, link: &relayer.Relayer{To: listener.Addr().String()}}
	for range 100 {
		is.NoErr(endpoint.start(t.Context(), "lists"))
		endpoint.close()
	}
}
