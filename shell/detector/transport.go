package detector

import (
	"context"
	"fmt"
	"net"
	"net/http"
)

// Transport is an http.Transport whose broken answers are errors: those that Check rejects, and with connections by Dial
// those whose connection didn't end in order.
type Transport struct{ *http.Transport }

// RoundTrip sends a request and returns the answer to it. It drops interim answers unchecked.
func (transport Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := transport.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	err = Check(response)
	if err == nil && response.StatusCode == http.StatusSwitchingProtocols {
		err = ErrUnexpectedUpgrade
	}
	if err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// ErrUnexpectedUpgrade is the ErrMalformed for status 101, which can't be meant for a request that asks for no other
// protocol.
var ErrUnexpectedUpgrade = fmt.Errorf("%w: status 101 without a request for another protocol", ErrMalformed)

// DialFunc opens a connection, as http.Transport.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that opens the same connections as Conns.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: conn}, nil
	}
}
