package follower_test

import "testing"

func BenchmarkExchange(b *testing.B) {
	fleet := newFleet(40, 6, 3)
	fleet.recordChange()
	for i := range fleet.vms {
		fleet.register(i)
		fleet.readStore(i)
	}
	for b.Loop() {
		fleet.exchange(0, 1)
	}
}

func BenchmarkTrust(b *testing.B) {
	fleet := newFleet(2, 2, 1)
	fleet.recordChange()
	fleet.readStore(0)
	now := fleet.reading()
	for b.Loop() {
		fleet.vms[0].KeysKnown(now)
	}
}
