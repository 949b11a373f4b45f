// Package watcher knows the VMs of the fleet and which of them are alive.
//
// # Usage
//
//	for _, peer := range members.Live() {
//		// Call peer.Address.
//	}
package watcher

// Peer is a VM of the fleet as other VMs know it.
type Peer struct {
	// Name is unique in the fleet.
	Name       string
	Region     string
	DataCentre string
	// Address is where the VM answers the calls of other VMs.
	Address string
	// Incarnation rises with each start of the VM's process.
	Incarnation uint64
	// BesideStore is true for VMs in the data centre of the table service.
	BesideStore bool
}

// Members gives the VMs that can be called.
type Members interface {
	// Self returns this VM.
	Self() Peer
	// Live returns the other VMs that have been heard lately and have lately
	// confirmed that they hear this one, sorted by name.
	Live() []Peer
}
