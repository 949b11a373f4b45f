package messenger

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
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
	claims := []Claim{{Table: "t", Era: 3, Version: 7, Rows: []Row{{Key: "k"}}}, {Table: "u", Version: 8}, {Table: "w", Version: 8, ServedSince: 5 * time.Second}, {Table: "v", InForce: 21, InForceEra: 2}, {Table: "x", Era: 2, Version: 9, InForce: 21, InForceEra: 2, Settled: true}}
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

// A VM that starts from an older copy of the store must not serve by it until the next heartbeat.
func TestVMThatJoinsHearsClaimsAtOnce(t *testing.T) {
	is := is.New(t)
	joining, err := net.ListenPacket("udp4", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = joining.Close() })
	log := logrus.New()
	log.SetOutput(io.Discard)
	messenger := &Messenger{ // doesn't run, so that there are no heartbeats
		Self: Peer{Name: "self", DataCentre: "d", Address: "127.0.0.1:0"}, Key: make([]byte, keyBytes),
		Clock: func() time.Duration { return 0 }, Log: logrus.NewEntry(log), StoreUnreachable: func() bool { return false },
		Claims: func() []Claim { return []Claim{{Table: "t", InForce: 21, InForceEra: 1}} },
	}
	is.NoErr(messenger.Open())
	t.Cleanup(func() { _ = messenger.connection.Close() })
	messenger.receive(message{From: "joining", DataCentre: "d", Address: joining.LocalAddr().String(), Hello: true})
	opener, err := newSealer(0, messenger.Key)
	is.NoErr(err)
	is.NoErr(joining.SetReadDeadline(time.Now().Add(30 * time.Second))) // only keeps a failing test from hanging
	buffer := make([]byte, maxDatagram)
	for heard := false; !heard; {
		n, _, err := joining.ReadFrom(buffer)
		is.NoErr(err)
		opened, err := opener.open(buffer[:n])
		is.NoErr(err)
		heard = len(opened.Claims) == 1 && opened.Claims[0].InForce == 21
	}
}

// A hello must not make its receiver write to its whole group: when all VMs of a group start,
// each would send as many messages as there are pairs.
func TestHelloIsAnsweredToItsSenderOnly(t *testing.T) {
	is := is.New(t)
	sockets := make([]net.PacketConn, 2)
	for i := range sockets {
		socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
		is.NoErr(err)
		t.Cleanup(func() { _ = socket.Close() })
		is.NoErr(socket.SetReadDeadline(time.Now().Add(30 * time.Second))) // only keeps a failing test from hanging
		sockets[i] = socket
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	messenger := &Messenger{
		Self: Peer{Name: "self", DataCentre: "d", Address: "127.0.0.1:0"}, Key: make([]byte, keyBytes),
		Clock: func() time.Duration { return 0 }, Log: logrus.NewEntry(log), StoreUnreachable: func() bool { return false },
		Claims: func() []Claim { return []Claim{{Table: "t", InForce: 21, InForceEra: 1}} },
	}
	is.NoErr(messenger.Open())
	t.Cleanup(func() { _ = messenger.connection.Close() })
	messenger.addHeard(Peer{Name: "other", DataCentre: "d", Address: sockets[0].LocalAddr().String()})
	messenger.receive(message{From: "joining", DataCentre: "d", Address: sockets[1].LocalAddr().String(), Hello: true})
	messenger.SendToGroup(Event{Kind: AttemptStarted, Name: "t"})
	opener, err := newSealer(0, messenger.Key)
	is.NoErr(err)
	for i, claims := range []int{0, 1} {
		buffer := make([]byte, maxDatagram)
		n, _, err := sockets[i].ReadFrom(buffer)
		is.NoErr(err)
		opened, err := opener.open(buffer[:n])
		is.NoErr(err)
		is.Equal(len(opened.Claims), claims) // of the first message
	}
}

// What is known of the keys of VMs that have left must not pile up.
func TestKeyOfAVMThatLeavesIsForgotten(t *testing.T) {
	is := is.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	messenger := &Messenger{
		Self: Peer{Name: "self", DataCentre: "d", Address: "127.0.0.1:0"}, Key: make([]byte, keyBytes),
		Clock: func() time.Duration { return 0 }, Log: logrus.NewEntry(log),
	}
	is.NoErr(messenger.Open())
	t.Cleanup(func() { _ = messenger.connection.Close() })
	messenger.addHeard(Peer{Name: "other", DataCentre: "d", Address: "127.0.0.1:9"})
	messenger.ConfirmKey(2, append(make([]byte, keyBytes-1), 1))
	is.Equal(len(messenger.behind), 1)
	messenger.receive(message{From: "other", DataCentre: "d", Address: "127.0.0.1:9", Leaving: true})
	is.Equal(len(messenger.behind), 0)
}
