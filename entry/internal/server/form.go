package server

import (
	"fmt"
	"net/http"
	"strings"

	"godwitramp.example/entry/internal/forwarder"
)

// maxFields bounds the fields of a request's header.
const maxFields = 200

// checkForm refuses requests that upstreams might read in another way than
// this program, and those that ask for what it doesn't do.
func (server *Server) checkForm(request *http.Request) *forwarder.Refusal {
	switch {
	case request.Method == http.MethodConnect || request.Method == http.MethodTrace:
		return refuse(http.StatusMethodNotAllowed, "method-not-allowed", "CONNECT and TRACE are not served", 0)
	case len(request.Header["Upgrade"]) > 0:
		return refuse(http.StatusNotImplemented, "upgrade-not-served", "the protocol of a connection can't be changed", 0)
	case !cleanPath(request.URL.Path) || !cleanEncoding(request.URL.EscapedPath()):
		return refuse(http.StatusBadRequest, "path-not-clean",
			"the path has an empty, . or .. part, an encoded slash, or a character that upstreams read differently", 0)
	case len(request.Header) > maxFields:
		return refuse(http.StatusRequestHeaderFieldsTooLarge, "too-many-fields",
			fmt.Sprintf("the header has more than %d fields", maxFields), 0)
	case request.ContentLength > server.maxBodyBytes():
		return refuse(http.StatusRequestEntityTooLarge, "body-too-large",
			fmt.Sprintf("the body has more than %d bytes", server.maxBodyBytes()), 0)
	default:
		return nil
	}
}

// cleanPath reports whether every upstream would read the decoded path as this
// program does: without empty and dot parts, without characters that some take
// for a slash or an end, and without what would decode once more.
func cleanPath(path string) bool {
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
		name, _, _ := strings.Cut(part, ";") // some upstreams drop parameters of a part
		if name == "." || name == ".." || part != "" && name == "" || part == "" && more {
			return false
		}
		if !more {
			return true
		}
		rest = tail
	}
}

// cleanEncoding reports whether the path as it was sent has no encoded slash.
func cleanEncoding(escaped string) bool {
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
