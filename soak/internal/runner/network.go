package runner

import (
	"errors"
	"fmt"
	"net"
)

// network assigns loopback addresses. Each soak has an address block of its own, so
// that soaks can run in parallel and outgoing connections don't take a port that a
// listener needs.
type network struct {
	block int
}

const (
	basePort          = 20000
	blockCount        = 250
	addressesPerOctet = 200
)

var errNoBlock = errors.New("every block of loopback addresses is in use")

// open reserves a block by listening on the address of the store in it, and returns
// that listener. The seed determines which block it tries first.
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

// First third octet of each kind of addresses in a block. Each kind has room for
// several hundred addresses.
const (
	storeHosts    = 10 // relayers to the store, one for each VM
	vmHosts       = 20
	endpointHosts = 30 // relayers to the targets
	targetHosts   = 40 // listeners of the targets
)

// address returns the address of a kind with the given index.
func (network *network) address(octet, index, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", network.block, octet+index/addressesPerOctet, 1+index%addressesPerOctet, port)
}
