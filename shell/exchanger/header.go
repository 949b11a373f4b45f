package exchanger

import (
	"net/http"
	"strings"
)

// hopByHop are the hop-by-hop headers, and Expect, because bodies are read
// before they are forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// RemoveHopByHop removes hop-by-hop headers, including the fields that
// Connection names.
func RemoveHopByHop(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(header, name)
	}
}
