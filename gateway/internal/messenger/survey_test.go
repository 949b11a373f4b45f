package messenger

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// surveyed is a VM that takes part in a survey. Its messages are delivered by the test.
type surveyed struct {
	*Messenger
	t     *testing.T
	now   time.Duration
	heard []Claim
}

// newSurveyed returns a VM that has a configuration in force, unless inForce is nil.
func newSurveyed(t *testing.T, name, dataCentre string, inForce *Claim) *surveyed {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	vm := &surveyed{t: t, now: time.Hour}
	vm.Messenger = &Messenger{
		Self: Peer{Name: name, DataCentre: dataCentre, Address: "127.0.0.1:0"}, Key: make([]byte, keyBytes),
		Clock: func() time.Duration { return vm.now }, Log: logrus.NewEntry(log), StoreUnreachable: func() bool { return false },
		OnClaim: func(claim Claim) { vm.heard = append(vm.heard, claim) }, OnEvent: func(Peer, Event) {},
		InForce: func() (Claim, bool) {
			if inForce == nil {
				return Claim{}, false
			}
			return *inForce, true
		},
	}
	if err := vm.Open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = vm.connection.Close() })
	vm.Self.Address = vm.connection.LocalAddr().String()
	return vm
}

// deliver handles the next message to the VM.
func (vm *surveyed) deliver() {
	vm.t.Helper()
	buffer := make([]byte, maxDatagram)
	if err := vm.connection.SetReadDeadline(time.Now().Add(30 * time.Second)); err != nil { // only keeps a failing test from hanging
		vm.t.Fatal(err)
	}
	n, _, err := vm.connection.ReadFrom(buffer)
	if err != nil {
		vm.t.Fatal(err)
	}
	opened, err := vm.sealer.open(buffer[:n])
	if err != nil {
		vm.t.Fatal(err)
	}
	vm.receive(opened)
}

// A VM must hear from another data centre what is in force there, and nothing else of that one's claims: versions and
// times of the store are exchanged within a data centre.
func TestSurveyAsksOtherDataCentres(t *testing.T) {
	is := is.New(t)
	asking := newSurveyed(t, "asking", "d", nil)
	dataCentres, alone := asking.AskFleet(true)
	is.True(dataCentres == 0 && alone)
	telling := newSurveyed(t, "telling", "e", &Claim{
		Table: "t", Era: 2, Version: 7, StoreTime: time.Hour, InForce: 21, InForceEra: 1, KnownAsOf: 59 * time.Minute,
	})
	older := newSurveyed(t, "older", "f", nil) // as earlier versions, it has nothing to tell
	asking.AddPeers([]Peer{telling.Self, older.Self})
	asking.AskFleet(false) // asks none of them
	asking.now, telling.now = asking.now+1, telling.now+1
	dataCentres, alone = asking.AskFleet(true)
	is.True(dataCentres == 2 && !alone)
	telling.deliver()
	asking.deliver()
	is.Equal(asking.heard, []Claim{{
		Table: "t", DataCentre: "e", InForce: 21, InForceEra: 1, KnownAsOf: 59 * time.Minute, AskedAt: time.Hour + 1,
	}})
	older.receive(message{From: "asking", DataCentre: "d", Address: asking.Self.Address, Hello: true}) // reads no survey
	asking.deliver()
	is.Equal(asking.heard[1:], []Claim{{DataCentre: "f"}})
}

// A VM of the same group is asked as well, as there may be no other data centre.
func TestSurveyAsksTheGroup(t *testing.T) {
	is := is.New(t)
	asking := newSurveyed(t, "asking", "d", &Claim{Table: "t", InForce: 20, InForceEra: 1, KnownAsOf: time.Minute})
	telling := newSurveyed(t, "telling", "d", &Claim{Table: "t", InForce: 21, InForceEra: 1})
	asking.AddPeers([]Peer{telling.Self})
	telling.deliver() // a hello, as the VM was unknown
	dataCentres, alone := asking.AskFleet(true)
	is.True(dataCentres == 0 && !alone)
	telling.deliver()
	is.Equal(telling.heard, []Claim{{Table: "t", InForce: 20, InForceEra: 1}})
	for len(asking.heard) == 0 {
		asking.deliver()
	}
	is.Equal(asking.heard, []Claim{{Table: "t", InForce: 21, InForceEra: 1, AskedAt: time.Hour}}) // not known as of when
}

// An answer that lies in the socket while the VM is suspended must not be dated by the time at which it is read.
func TestAnswerThatIsReadLateSaysNothingNewer(t *testing.T) {
	is := is.New(t)
	asking := newSurveyed(t, "asking", "d", nil)
	telling := newSurveyed(t, "telling", "e", &Claim{Table: "t", InForce: 21, InForceEra: 1, KnownAsOf: 50 * time.Minute})
	asking.AddPeers([]Peer{telling.Self})
	asking.AskFleet(true)
	telling.now += time.Second // the question was under way for so long
	telling.deliver()
	asking.now += time.Minute
	asking.deliver()
	is.Equal(asking.heard[0].KnownAsOf, 50*time.Minute-time.Second)
}

// A claim that answers no question of this VM must not be dated.
func TestForgedSurveyIsIgnored(t *testing.T) {
	is := is.New(t)
	vm := newSurveyed(t, "vm", "d", nil)
	for _, survey := range []Claim{
		{Table: surveyTable, StoreTime: 1}, {Table: surveyTable, Version: 1 << 63, StoreTime: 1},
		{Table: surveyTable, Version: uint64(2 * time.Hour), StoreTime: 1}, {Table: surveyTable, Version: 5, StoreTime: -1},
	} {
		vm.receive(message{From: "a", DataCentre: "e", Address: "127.0.0.1:9", Claims: []Claim{{Table: "t", InForce: 21, InForceEra: 1}, survey}})
		is.Equal(vm.heard[len(vm.heard)-1], Claim{Table: "t", DataCentre: "e", InForce: 21, InForceEra: 1})
	}
}
