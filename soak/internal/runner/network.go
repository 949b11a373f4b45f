package runner

import (
	"errors"
	"fmt"
	"net"
)

// network hands out addresses of loopback. Each soak has a block of its own, so
// that soaks can run beside each other and no outgoing connection takes a port.
type network struct {
	block int
}

const (
	basePort          = 20000
	blockCount        = 250
	addressesPerOctet = 200
)

var errNoBlock = errors.New("every block of loopback addresses is in use")

// open takes a block and returns the listener of the store in it.
func (network *network) open(seed uint64) (net.Listener, error) {
	for i := range blockCount {
		network.block = 1 + int((seed+uint64(i))%blockCount)
		listener, err := net.Listen("tcp", network.address(0, 0, basePort))
		if err == nil {
			return listener, nil
		}
	}
	return nil, errNoBlock
}

// Kinds of addresses in a block, each of several hundred.
const (
	storeHosts    = 10 // what VMs call for the store
	vmHosts       = 20
	endpointHosts = 30 // what VMs call for a target
	targetHosts   = 40 // where the target listens
)

// address returns an address of a kind by its number.
func (network *network) address(firstOctet, index, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", network.block, firstOctet+index/addressesPerOctet, 1+index%addressesPerOctet, port)
}
