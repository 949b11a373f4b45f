package exchanger

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that concern one connection only, and Expect, since
// bodies are read before they are sent on.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// RemoveHopByHop takes out of a header what concerns one connection only, the
// fields that Connection names included.
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
