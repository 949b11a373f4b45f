package starter

import (
	"context"
	"net"

	"godwitramp.example/gateway/internal/messenger"
)

// Share returns the state of the VM's group.
func (starter *Starter) Share() messenger.Share { return starter.messages.share() }

// SetDial replaces how connections to targets are opened. It must be called before Run.
func (starter *Starter) SetDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	starter.dispatcher.Exchanger.Dial = dial
}
