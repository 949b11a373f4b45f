package detector

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is the error for an answer that violates HTTP. Neither it nor what follows on the connection has a meaning.
var ErrMalformed = errors.New("the answer is malformed")

// Check returns an ErrMalformed if the head of an answer violates HTTP in a way that net/http lets pass. If the trailer
// does, the body of the answer ends with one in place of io.EOF.
func Check(response *http.Response) error {
	if !validStatus(response.Status) {
		return fmt.Errorf("%w: status %q, must be three digits from 100 to 599", ErrMalformed, response.Status)
	}
	if err := CheckNames(response.Header); err != nil {
		return err
	}
	if response.Body != http.NoBody {
		response.Body = &body{ReadCloser: response.Body, response: response}
	}
	return nil
}

// CheckNames returns an ErrMalformed if the name of a field isn't a token of RFC 9110, section 5.6.2. net/http lets blanks
// pass, so that Content-Length with a blank behind it has no effect here, but may have at the next recipient.
func CheckNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %q, must be a token", ErrMalformed, name)
		}
	}
	return nil
}

// body is the body of an answer, whose trailer is known at its end.
type body struct {
	io.ReadCloser
	response *http.Response
}

// Read reads from the body.
func (body *body) Read(data []byte) (int, error) {
	n, err := body.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		if malformed := CheckNames(body.response.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}

// validStatus reports whether the status is three digits from 100 to 599. net/http accepts any number of three
// characters, and lets a body follow one below 100.
func validStatus(status string) bool {
	code, _, _ := strings.Cut(status, " ")
	return len(code) == 3 && '1' <= code[0] && code[0] <= '5' && isDigit(code[1]) && isDigit(code[2])
}

func isDigit(char byte) bool { return '0' <= char && char <= '9' }
