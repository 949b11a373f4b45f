package exchanger_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/shell/exchanger"
)

func TestRemoveHopByHop(t *testing.T) {
	is := is.New(t)
	header := http.Header{
		"Connection": {"close, X-Named", "X-Other"}, "X-Named": {"1"}, "X-Other": {"1"}, "Keep-Alive": {"timeout=5"},
		"Expect": {"100-continue"}, "Te": {"trailers"}, "Transfer-Encoding": {"chunked"}, "X-Kept": {"1"},
	}
	exchanger.RemoveHopByHop(header)
	is.Equal(header, http.Header{"X-Kept": {"1"}})
}
