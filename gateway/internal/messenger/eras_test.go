package messenger

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
)

// VMs of the first version refuse claims with more fields than they know.
func TestErasOfClaimsAreRelayedByVMsThatDoNotKnowThem(t *testing.T) {
	is := is.New(t)
	encode := func(value any) []byte {
		var plain bytes.Buffer
		encoder := msgpack.NewEncoder(&plain)
		encoder.UseArrayEncodedStructs(true)
		is.NoErr(encoder.Encode(value))
		return plain.Bytes()
	}
	claims := []Claim{{Table: "t", Era: 3, Version: 7, Rows: []Row{{Key: "k"}}}, {Table: "u", Version: 8}}
	var first struct {
		From, DataCentre, Address string
		Hello, Leaving, Relay     bool
		Events                    []Event
		Claims                    []Claim
		StoreUnreachable          bool
	}
	is.NoErr(msgpack.Unmarshal(encode(&message{From: "a", Claims: claims}), &first))
	is.Equal(first.Claims[0].Version, uint64(7))
	var decoded message
	is.NoErr(msgpack.Unmarshal(encode(&first), &decoded))
	is.Equal(decoded.Claims, claims)
}
