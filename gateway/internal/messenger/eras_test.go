package messenger

import (
	"bytes"
	"io"
	"math"
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
	claims := []Claim{{Table: "t", Era: 3, Version: 7, Rows: []Row{{Key: "k"}}}, {Table: "u", Version: 8}, {Table: "w", Version: 8, ServedSince: 5 * time.Second}, {Table: "v", InForce: 21, InForceEra: 2}, {Table: "x", InForce: 21, InForceEra: 2, KnownAgo: 40 * time.Millisecond}}
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

// What was known longer ago proves less: an age must not be rounded down, nor overflow.
func TestKnownAgoIsRoundedUp(t *testing.T) {
	is := is.New(t)
	for sent, received := range map[time.Duration]time.Duration{
		1: time.Millisecond, time.Second: time.Second, time.Second + 1: time.Second + time.Millisecond, 0: 0,
	} {
		claims := joinEras(splitEras([]Claim{{Table: "t", InForce: 21, InForceEra: 2, KnownAgo: sent}}))
		is.Equal(claims[0].KnownAgo, received)
	}
	forged := []Claim{{Table: "t"}, {Table: erasPrefix + "t", Rows: []Row{{Version: 2}, {Version: math.MaxUint64}}}}
	is.True(joinEras(forged)[0].KnownAgo > time.Hour)
}

// A VM must hear from another data centre what is in force there, and nothing else of that one's claims: versions and
// times of the store are exchanged within a data centre.
func TestInForceIsToldToOtherDataCentres(t *testing.T) {
	is := is.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	open := func(name, dataCentre string, inForce func() (Claim, bool)) (*Messenger, *[]Claim) {
		var heard []Claim
		messenger := &Messenger{
			Self: Peer{Name: name, DataCentre: dataCentre, Address: "127.0.0.1:0"}, Key: make([]byte, keyBytes),
			Clock: func() time.Duration { return 0 }, Log: logrus.NewEntry(log), StoreUnreachable: func() bool { return false },
			OnClaim: func(claim Claim) { heard = append(heard, claim) }, InForce: inForce,
		}
		is.NoErr(messenger.Open())
		t.Cleanup(func() { _ = messenger.connection.Close() })
		messenger.Self.Address = messenger.connection.LocalAddr().String()
		return messenger, &heard
	}
	deliver := func(to *Messenger) {
		buffer := make([]byte, maxDatagram)
		is.NoErr(to.connection.SetReadDeadline(time.Now().Add(30 * time.Second))) // only keeps a failing test from hanging
		n, _, err := to.connection.ReadFrom(buffer)
		is.NoErr(err)
		opened, err := to.sealer.open(buffer[:n])
		is.NoErr(err)
		to.receive(opened)
	}
	asking, heard := open("asking", "d", nil)
	asked, alone := asking.AskFleet()
	is.True(asked == 0 && alone)
	own := Claim{Table: "t", Era: 2, Version: 7, StoreTime: time.Hour, InForce: 21, InForceEra: 1, KnownAgo: time.Second}
	telling, _ := open("telling", "e", func() (Claim, bool) { return own, true })
	older, _ := open("older", "f", nil)
	for _, other := range []*Messenger{telling, older} {
		asking.AddPeers([]Peer{other.Self})
	}
	asked, alone = asking.AskFleet()
	is.True(asked == 2 && !alone)
	deliver(telling)
	deliver(asking)
	is.Equal(*heard, []Claim{{Table: "t", DataCentre: "e", InForce: 21, InForceEra: 1, KnownAgo: time.Second}})
	deliver(older)
	deliver(asking)
	is.Equal((*heard)[1:], []Claim{{DataCentre: "f"}}) // can't say
}
