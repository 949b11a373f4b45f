package server

import (
	"fmt"
	"net/http"
	"strings"

	"godwitramp.example/entry/internal/forwarder"
)

// maxHeaderFields limits the number of header fields of a request.
const maxHeaderFields = 200

// validateRequest refuses requests that an upstream could interpret in another way than
// this program does, and requests for features that aren't supported. It returns nil
// for all others.
func (server *Server) validateRequest(request *http.Request) *forwarder.Refusal {
	switch {
	case request.Method == http.MethodConnect || request.Method == http.MethodTrace:
		return newRefusal(http.StatusMethodNotAllowed, "method-not-allowed", "CONNECT and TRACE are not served", 0)
	case len(request.Header["Upgrade"]) > 0:
		return newRefusal(http.StatusNotImplemented, "upgrade-not-served", "the protocol of a connection can't be changed", 0)
	case !isCleanPath(request.URL.Path) || !hasNoEncodedSlash(request.URL.EscapedPath()):
		return newRefusal(http.StatusBadRequest, "path-not-clean",
			"the path has an empty, . or .. part, an encoded slash, or a character that upstreams read differently", 0)
	case len(request.Header) > maxHeaderFields:
		return newRefusal(http.StatusRequestHeaderFieldsTooLarge, "too-many-fields",
			fmt.Sprintf("the header has more than %d fields", maxHeaderFields), 0)
	case request.ContentLength > server.maxBodyBytes():
		return newRefusal(http.StatusRequestEntityTooLarge, "body-too-large",
			fmt.Sprintf("the body has more than %d bytes", server.maxBodyBytes()), 0)
	default:
		return nil
	}
}

// isCleanPath reports whether every upstream interprets the decoded path as this program
// does: it has no empty or dot segments, no characters that some upstreams take for a
// slash or for the end of the path, and no percent-encoding that could be decoded once
// more.
func isCleanPath(path string) bool {
	if !strings.HasPrefix(path, "/") {
		return false
	}
	for i := range len(path) {
		if path[i] < ' ' || path[i] == '\x7f' || path[i] == '\\' {
			return false
		}
		if path[i] == '%' && i+2 < len(path) && isHex(path[i+1]) && isHex(path[i+2]) {
			return false
		}
	}
	rest := path[1:]
	for {
		part, tail, more := strings.Cut(rest, "/")
		name, _, _ := strings.Cut(part, ";") // some upstreams drop the parameters of a segment
		if name == "." || name == ".." || part != "" && name == "" || part == "" && more {
			return false
		}
		if !more {
			return true
		}
		rest = tail
	}
}

// hasNoEncodedSlash reports whether the path, as it was sent, has no encoded slash.
func hasNoEncodedSlash(escaped string) bool {
	for i := strings.IndexByte(escaped, '%'); i >= 0 && i+2 < len(escaped); {
		if escaped[i+1] == '2' && (escaped[i+2] == 'f' || escaped[i+2] == 'F') {
			return false
		}
		next := strings.IndexByte(escaped[i+1:], '%')
		if next < 0 {
			break
		}
		i += 1 + next
	}
	return true
}

func isHex(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}
