package receiver_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"godwitramp.example/core/indexer"
	"godwitramp.example/gateway/internal/receiver"
	"godwitramp.example/platform/faker"
	"godwitramp.example/shell/trickler"
)

// dialSlow returns a connection that is read slowly.
func dialSlow(t *testing.T, address string) net.Conn {
	t.Helper()
	caller, err := trickler.Dial(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close() })
	return caller
}

// long answers requests below /long with a long body, and all others with their target.
func long(ctx context.Context, call *receiver.Call) receiver.Reply {
	switch {
	case strings.HasPrefix(call.Target, "/long"):
		return receiver.Reply{Status: http.StatusOK, Body: bytes.Repeat([]byte("x"), trickler.LongAnswer)}
	case call.Target == "/abort":
		return receiver.Reply{Abort: true}
	default:
		return echo(ctx, call)
	}
}

// await waits until the condition holds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("waited in vain: ", what)
		}
	}
}

// A caller that reads slowly and sends on must get its whole answer however the connection ends: the system has taken
// the answer long before the caller has it, and drops the rest if the connection is closed and more comes.
func TestAnswerIsCutWhileItsCallerReadsSlowlyAndSendsOn(t *testing.T) {
	stop := func(receiver *receiver.Receiver) {
		receiver.Leave()
		for range 20 {
			receiver.CloseIdle()
			time.Sleep(5 * time.Millisecond)
		}
	}
	for _, test := range []struct {
		name string
		// first is the request with the long answer, and next what the caller sends while it reads that.
		first, next string
		idleTimeout time.Duration
		// end does what ends the connection, once the answer is handed to the system.
		end func(receiver *receiver.Receiver)
		// after is the status of the answer to next, 0 if there is none.
		after int
	}{
		{"planned stop", get("/long"), get("/next"), 0, stop, 200},
		{"idle timeout", get("/long"), get("/next"), 100 * time.Millisecond, func(*receiver.Receiver) { time.Sleep(200 * time.Millisecond) }, 200},
		{"closing answer", "GET /long HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n", get("/next"), 0, func(*receiver.Receiver) { time.Sleep(700 * time.Millisecond) }, 0},
		{"answer to a malformed request", get("/long") + "nonsense\r\n\r\n", get("/next"), 0, func(*receiver.Receiver) { time.Sleep(700 * time.Millisecond) }, 400},
		{"no answer to a later request", get("/long") + get("/abort"), get("/next"), 0, func(*receiver.Receiver) { time.Sleep(100 * time.Millisecond) }, 0},
		{"requests beyond the limit of unanswered ones", strings.Repeat("\r\n", 10) + "GET /long HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n" + strings.Repeat(get("/behind"), 200), get("/next"), 0, func(*receiver.Receiver) { time.Sleep(700 * time.Millisecond) }, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			receiver := &receiver.Receiver{
				Handler: &handler{serve: long}, Limits: func() indexer.Limits { return indexer.Limits{IdleTimeout: test.idleTimeout} }, Log: quiet(),
			}
			caller := dialSlow(t, runOn(t, receiver, func(listener net.Listener) net.Listener { return trickler.Listener{Listener: listener} }))
			send(t, caller, test.first)
			reader := bufio.NewReader(caller)
			response, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			await(t, "the answer is handed to the system", func() bool { return receiver.InFlight() == 0 })
			test.end(receiver)
			_, _ = io.WriteString(caller, test.next) // fails if the connection has ended already
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(len(body), trickler.LongAnswer)
			if test.after != 0 {
				response, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				is.Equal(response.StatusCode, test.after)
			}
		})
	}
}

// stalledListener accepts connections whose callers take nothing of what is written, though it is read by the test.
type stalledListener struct{ net.Listener }

func (listener stalledListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	return stalledConn{conn}, err
}

type stalledConn struct{ net.Conn }

func (stalledConn) Undelivered() int { return 1000 }

// A caller that takes nothing of its answer must not keep its connection open for ever.
func TestCallerThatTakesNothingKeepsItsConnection(t *testing.T) {
	for _, request := range []string{get("/a"), "GET /a HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var lines bytes.Buffer
			log := logrus.New()
			log.SetOutput(&lines)
			receiver := &receiver.Receiver{
				Handler: &handler{serve: echo}, Log: logrus.NewEntry(log),
				Limits: func() indexer.Limits { return indexer.Limits{IdleTimeout: 4 * time.Second} },
			}
			caller := dialVirtual(t, receiver, faker.NewNetwork(), 1_250_000, func(listener net.Listener) net.Listener { return stalledListener{listener} })
			send(t, caller, request)
			read(t, bufio.NewReader(caller))
			time.Sleep(9 * time.Second)
			receiver.CloseIdle() // as in a planned stop
			synctest.Wait()
			is.Equal(receiver.OpenConnections(), 1)
			time.Sleep(10 * time.Second) // 10 s without progress, and the idle timeout
			is.Equal(receiver.OpenConnections(), 0)
			is.True(strings.Contains(lines.String(), "msg=delivery-cut connection=1 leaving=false previous= reason=caller-stalled undelivered=1000"))
		})
	}
}

// Answers of the same length follow each other: that the caller had not got the last one yet, long ago, must not make it
// count as stalled with this one.
func TestEarlierAnswersCountAsStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		receiver := &receiver.Receiver{
			Handler: &handler{serve: echo}, Log: quiet(), Limits: func() indexer.Limits { return indexer.Limits{IdleTimeout: 8 * time.Second} },
		}
		caller := dialVirtual(t, receiver, faker.NewNetwork(), 1_250_000, func(listener net.Listener) net.Listener { return stalledListener{listener} })
		reader := bufio.NewReader(caller)
		for range 3 {
			send(t, caller, get("/a"))
			read(t, reader)
			time.Sleep(6 * time.Second)
			receiver.CloseIdle()
			synctest.Wait()
			is.Equal(receiver.OpenConnections(), 1)
		}
	})
}

// A connection beyond the limit takes a descriptor: it must end soon after its answer, though its caller sends on for ever.
func TestRefusedConnectionKeepsItsDescriptor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := faker.NewNetwork()
		receiver := &receiver.Receiver{
			Handler: &handler{serve: echo}, Log: quiet(), Limits: func() indexer.Limits { return indexer.Limits{} }, MaxConnections: 1,
		}
		dialVirtual(t, receiver, network, 1_250_000, func(listener net.Listener) net.Listener { return listener })
		refused, err := network.Link(1_250_000).Dial(t.Context(), "", "")
		is.NoErr(err)
		defer func() { _ = refused.Close() }()
		go func() {
			for {
				if _, err := io.WriteString(refused, "x"); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
		response, _ := read(t, bufio.NewReader(refused))
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		time.Sleep(1500 * time.Millisecond)
		is.Equal(receiver.OpenConnections(), 1)
	})
}
