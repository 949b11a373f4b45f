package forwarder

import "net"

// SetListen sets the function that Run listens with.
func (forwarder *Forwarder) SetListen(listen func(network, address string) (net.Listener, error)) {
	forwarder.listen = listen
}
