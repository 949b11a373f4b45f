package receiver_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/indexer"
	"godwitramp.example/gateway/internal/receiver"
	"godwitramp.example/platform/faker"
	"godwitramp.example/shell/trickler"
)

// slowHandler answers after random times, and records the requests by their connection.
type slowHandler struct {
	millisecond time.Duration
	// longest is the length of the longest body, which one answer in four may have. Others have up to 3000 bytes.
	longest int

	mutex   sync.Mutex
	random  *rand.Rand
	handled map[string][]string
}

func (handler *slowHandler) Serve(ctx context.Context, call *receiver.Call) receiver.Reply {
	connection, request, _ := strings.Cut(call.Target[1:], "/")
	handler.mutex.Lock()
	handler.handled[connection] = append(handler.handled[connection], request)
	delay := time.Duration(handler.random.IntN(4)*handler.random.IntN(300)) * handler.millisecond
	unordered := handler.random.IntN(4) > 0
	reply := receiver.Reply{Status: http.StatusOK, Body: make([]byte, handler.random.IntN(3000))}
	if handler.longest > 0 && handler.random.IntN(4) == 0 {
		reply.Body = make([]byte, handler.random.IntN(handler.longest))
	}
	handler.mutex.Unlock()
	reply.Header = http.Header{"Request": {request}}
	if !unordered {
		select {
		case <-call.Turn:
		case <-ctx.Done():
		}
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
	switch context.Cause(ctx) {
	case context.Canceled:
		return receiver.Reply{Abort: true}
	case receiver.ErrGivenUp:
		reply.Status = http.StatusBadGateway
	}
	return reply
}

func (handler *slowHandler) Refuse(status int, _ string) receiver.Reply {
	return receiver.Reply{Status: status}
}

// hastyCaller sends requests without waiting for answers.
type hastyCaller struct {
	network network
	name    string
	conn    net.Conn
	// leaves is true if the caller may disconnect before it has all answers, and slow if it reads slowly and sends its last
	// request while it does.
	leaves, slow bool

	// sent is the number of requests that the receiver has read as a whole.
	sent     int
	answered []string
	// closed is true once an answer has closed the connection.
	closed bool
	err    error
}

// requestText returns a request in one of the forms that callers use.
func requestText(random *rand.Rand, name string, i int) string {
	head := fmt.Sprintf("/%s/%d HTTP/1.1\r\nHost: a.example\r\n", name, i)
	if random.IntN(30) == 0 {
		head += "Connection: close\r\n"
	}
	switch random.IntN(10) {
	case 0:
		return "POST " + head + "Content-Length: 5\r\n\r\nhello"
	case 1:
		return "POST " + head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	case 2:
		return "POST " + head + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\nhello"
	default:
		return "GET " + head + "\r\n"
	}
}

func (caller *hastyCaller) send(random *rand.Rand) {
	requests := 1 + random.IntN(30)
	for i := range requests {
		if caller.slow && i == requests-1 { // while earlier answers are read
			time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		}
		text := requestText(random, caller.name, i)
		cut := random.IntN(len(text))
		if random.IntN(3) > 0 {
			cut = 0
		}
		for _, part := range []string{text[:cut], text[cut:]} {
			if _, err := io.WriteString(caller.conn, part); err != nil {
				return
			}
			if cut > 0 || random.IntN(4) == 0 {
				time.Sleep(time.Duration(random.IntN(300)) * caller.network.millisecond)
			}
		}
		caller.sent++
	}
	if caller.leaves {
		_ = caller.conn.Close()
	}
}

// receive reads answers until the connection ends.
func (caller *hastyCaller) receive() {
	defer func() { _ = caller.conn.Close() }()
	reader := bufio.NewReader(caller.conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			caller.err = err
			return
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			caller.err = fmt.Errorf("head of an answer: %w", err)
			return
		}
		if response.StatusCode == http.StatusContinue {
			continue
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			caller.err = fmt.Errorf("body of an answer: %w", err)
			return
		}
		if caller.closed {
			caller.err = errors.New("answer after the closing answer")
			return
		}
		caller.answered = append(caller.answered, response.Header.Get("Request"))
		caller.closed = response.Close
	}
}

// check checks what a caller got against what the handler was given.
func (caller *hastyCaller) check(t *testing.T, handled []string) {
	t.Helper()
	for i, request := range caller.answered {
		if request != fmt.Sprint(i) {
			t.Errorf("%s: answers out of order: %v", caller.name, caller.answered)
			return
		}
	}
	if caller.leaves {
		return
	}
	reset := errors.Is(caller.err, syscall.ECONNRESET) && caller.network.crossing && !caller.closed
	if caller.err != io.EOF && !reset {
		t.Errorf("%s: connection ended with %v", caller.name, caller.err)
	}
	if len(handled) != len(caller.answered) {
		t.Errorf("%s: handled %v, answered %v", caller.name, handled, caller.answered)
	}
	for _, request := range handled {
		if !slices.Contains(caller.answered, request) {
			t.Errorf("%s: %s was handled, but not answered", caller.name, request)
		}
	}
	if !caller.closed && !caller.network.crossing && len(caller.answered) < caller.sent {
		t.Errorf("%s: %d requests read, %d answered, no closing answer", caller.name, caller.sent, len(caller.answered))
	}
}

// network connects callers to the receiver.
type network struct {
	net.Listener
	dial func() (net.Conn, error)
	// millisecond is the unit of all random times.
	millisecond time.Duration
	// crossing is true if bytes can be on their way when the receiver closes a connection.
	crossing bool
	// longest is the length of the longest answers, which callers read slowly. Zero means that there are none.
	longest int
}

// playStop plays a planned stop with callers that send ahead.
func playStop(t *testing.T, network network, seed uint64) {
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	log := logrus.New()
	log.SetOutput(io.Discard)
	handler := &slowHandler{millisecond: network.millisecond, longest: network.longest, random: rand.New(rand.NewPCG(seed, 1)), handled: make(map[string][]string)}
	receiver := &receiver.Receiver{
		Handler: handler, Limits: func() indexer.Limits { return indexer.Limits{} }, MaxBodyBytes: 1 << 20, Log: logrus.NewEntry(log),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running, callersRunning sync.WaitGroup
	running.Go(func() { _ = receiver.Run(ctx, network) })
	var callers []*hastyCaller
	for i := range 6 {
		conn, err := network.dial()
		if err != nil {
			t.Fatal(err)
		}
		caller := &hastyCaller{network: network, name: fmt.Sprint(i), conn: conn, leaves: random.IntN(5) == 0, slow: network.longest > 0}
		callers = append(callers, caller)
		sender := rand.New(rand.NewPCG(seed, uint64(2+i)))
		callersRunning.Go(func() { caller.send(sender) })
		callersRunning.Go(caller.receive)
	}
	time.Sleep(time.Duration(random.IntN(2000)) * network.millisecond)
	receiver.Leave()
	time.Sleep(time.Duration(random.IntN(500)) * network.millisecond)
	giveUp := time.AfterFunc(time.Duration(random.IntN(1000))*time.Millisecond, receiver.GiveUp)
	defer giveUp.Stop()
	for receiver.OpenConnections() > 0 {
		receiver.CloseIdle()
		time.Sleep(time.Duration(random.IntN(100)) * network.millisecond)
	}
	callersRunning.Wait()
	if receiver.InFlight() != 0 {
		t.Errorf("%d requests in flight after the end of all connections", receiver.InFlight())
	}
	cancel()
	running.Wait()
	for _, caller := range callers {
		caller.check(t, handler.handled[caller.name])
	}
}

// Whatever callers send ahead while a VM stops: each request that is passed on gets its
// answer, in order, and each connection ends.
func TestStopKeepsPromisesToCallersThatSendAhead(t *testing.T) {
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			listener := faker.NewNetwork()
			dial := func() (net.Conn, error) { return listener.Link(1_250_000).Dial(t.Context(), "", "") }
			playStop(t, network{Listener: listener, dial: dial, millisecond: time.Millisecond}, seed)
		})
	}
}

// The same holds over sockets, where callers and the receiver run in parallel.
func TestStopKeepsPromisesOverSockets(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			dial := func() (net.Conn, error) { return net.Dial("tcp", listener.Addr().String()) }
			playStop(t, network{Listener: listener, dial: dial, millisecond: time.Millisecond / 10, crossing: true}, seed)
		})
	}
}

// The same holds for long answers that wait in the buffers of the system, as callers read them slowly.
func TestStopKeepsPromisesToCallersThatReadSlowly(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			dial := func() (net.Conn, error) { return dialSlow(t, listener.Addr().String()), nil }
			playStop(t, network{
				Listener: trickler.Listener{Listener: listener}, dial: dial, millisecond: time.Millisecond / 10, crossing: true, longest: trickler.LongAnswer,
			}, seed)
		})
	}
}
