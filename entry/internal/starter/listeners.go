package starter

import (
	"fmt"
	"net"

	"godwitramp.example/entry/internal/loader"
)

// listeners are the listening sockets of a VM.
type listeners struct {
	callers, peers, operators net.Listener
}

func (listeners *listeners) open(settings loader.Settings) error {
	for _, socket := range []struct {
		listener *net.Listener
		name     string
		address  string
	}{
		{&listeners.callers, "callers", settings.Callers},
		{&listeners.peers, "peers", settings.Peers},
		{&listeners.operators, "operators", settings.Operators},
	} {
		opened, err := net.Listen("tcp", socket.address)
		if err != nil {
			return fmt.Errorf("listen for %s: %w", socket.name, err)
		}
		*socket.listener = opened
	}
	return nil
}
