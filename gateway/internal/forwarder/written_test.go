package forwarder

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"godwitramp.example/gateway/internal/receiver"
	"godwitramp.example/shell/exchanger"
)

// served is a handler that counts requests and serves them with a function.
type served struct {
	count atomic.Int64
	serve func(ctx context.Context, call *receiver.Call) receiver.Reply
}

func (served *served) Serve(ctx context.Context, call *receiver.Call) receiver.Reply {
	served.count.Add(1)
	return served.serve(ctx, call)
}

func (*served) Refuse(status int, _ string) receiver.Reply { return receiver.Reply{Status: status} }

// startPair runs a VM and returns another one that passes requests on to it. Both write their lines to lines.
func startPair(t *testing.T, handler receiver.Handler, lines io.Writer) (from, to *Forwarder) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(lines)
	vm := func(name string) *Forwarder {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		_ = listener.Close()
		vm := &Forwarder{
			Name: name, Address: listener.Addr().String(), Key: func() []byte { return []byte("key") }, Handler: handler, Log: logrus.NewEntry(log),
		}
		vm.Open()
		return vm
	}
	from, to = vm("from"), vm("to")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- to.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		from.peers.Close()
	})
	for { // until it listens
		if connection, err := net.Dial("tcp", to.Address); err == nil {
			_ = connection.Close()
			return from, to
		}
		time.Sleep(time.Millisecond)
	}
}

func booking(id string) *receiver.Call {
	request := httptest.NewRequest(http.MethodPost, "http://a.example/book/1", nil)
	request.Header = http.Header{"X-Attempt-Id": {id}}
	return &receiver.Call{Request: request, Target: "/book/1", Body: make([]byte, 6<<10), Received: time.Now()}
}

var errReset = errors.New("connection reset")

// shortConn is a TCP connection that takes a number of bytes once it is armed, then fails and can't send more.
// What it took is read by the other side before it is closed.
type shortConn struct {
	*net.TCPConn
	mutex sync.Mutex
	armed bool
	left  int
	wrote int
}

func (conn *shortConn) arm(left int) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.armed, conn.left, conn.wrote = true, left, 0
}

func (conn *shortConn) Write(data []byte) (int, error) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if !conn.armed {
		return conn.TCPConn.Write(data)
	}
	n, err := conn.TCPConn.Write(data[:min(conn.left, len(data))])
	conn.left -= n
	conn.wrote += n
	if n < len(data) && err == nil {
		err = errReset
		_ = conn.TCPConn.CloseWrite()
	}
	return n, err
}

func (conn *shortConn) Close() error {
	conn.mutex.Lock()
	armed := conn.armed
	conn.mutex.Unlock()
	if armed {
		_ = conn.TCPConn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn.TCPConn)
	}
	return conn.TCPConn.Close()
}

// A write between VMs that fails after any number of bytes must not count as not written if the other VM got the
// request: a booking would be refused or passed on again, and run.
func TestWriteBetweenVMsThatFailsCountsAsNotWritten(t *testing.T) {
	is := is.New(t)
	handler := &served{serve: func(context.Context, *receiver.Call) receiver.Reply {
		return receiver.Reply{Status: http.StatusOK, FromTarget: true}
	}}
	from, to := startPair(t, handler, io.Discard)
	var conn *shortConn
	from.peers.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		config, err := from.tlsConfig()
		if err != nil {
			return nil, err
		}
		raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn = &shortConn{TCPConn: raw.(*net.TCPConn)}
		return tls.Client(conn, config), nil
	}
	forward := func() error {
		_, err := from.Forward(context.Background(), to.Address, booking("b"), Conditions{Targets: 1, Remaining: time.Minute})
		return err
	}
	is.NoErr(forward())
	conn.arm(1 << 20)
	is.NoErr(forward())
	whole, unwritten := conn.wrote, 0
	for left := 0; left <= whole; left += 1 + left/16 {
		from.peers.CloseIdle(to.Address)
		is.NoErr(forward()) // over a connection that is then kept
		before := handler.count.Load()
		conn.arm(left)
		var failure *exchanger.Error
		if err := forward(); errors.As(err, &failure) && !failure.Written {
			unwritten++
			is.Equal(handler.count.Load(), before)
		}
	}
	is.True(unwritten > 30) // a record that was not taken whole can't be read
}

// startPeer runs a VM that serves each connection with a function, and returns another one that passes requests
// on to it. The function is called with the number of connections before it.
func startPeer(t *testing.T, serve func(before int, conn net.Conn, reader *bufio.Reader)) (from *Forwarder, address string) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	from = &Forwarder{Name: "from", Key: func() []byte { return []byte("key") }, Log: logrus.NewEntry(log)}
	from.Open()
	config, err := from.tlsConfig()
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	group.Go(func() {
		for before := 0; ; before++ {
			raw, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				conn := tls.Server(raw, config)
				defer func() { _ = raw.Close() }()
				serve(before, conn, bufio.NewReader(conn))
			})
		}
	})
	t.Cleanup(func() {
		from.peers.Close()
		_ = listener.Close()
		group.Wait()
	})
	return from, listener.Addr().String()
}

// readBooking reads a request of another VM, and returns it without its envelope.
func readBooking(reader *bufio.Reader) (request, bool) {
	var received request
	outer, err := http.ReadRequest(reader)
	if err != nil {
		return received, false
	}
	body, err := io.ReadAll(outer.Body)
	return received, err == nil && msgpack.Unmarshal(body, &received) == nil
}

// answerOf returns the bytes of an answer.
func answerOf(answer reply) string {
	encoded, err := msgpack.Marshal(&answer)
	if err != nil {
		panic(err)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(encoded), encoded)
}

// reset ends a connection so that the other side gets a reset.
func reset(conn net.Conn) {
	raw := conn.(*tls.Conn).NetConn().(*net.TCPConn)
	_ = raw.SetLinger(0)
	_ = raw.Close()
}

// A booking that another VM got must not count as not written when the connection to it is lost.
func TestConnectionBetweenVMsThatIsLostCountsAsNotWritten(t *testing.T) {
	refusal := reply{Status: http.StatusServiceUnavailable, NotRun: true}
	for name, end := range map[string]func(conn net.Conn){
		"closed":              func(net.Conn) {},
		"reset":               reset,
		"answer cut":          func(conn net.Conn) { _, _ = io.WriteString(conn, answerOf(refusal)[:60]) },
		"answer cut by reset": func(conn net.Conn) { _, _ = io.WriteString(conn, answerOf(refusal)[:60]); reset(conn) },
		"other bytes":         func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc") },
		"interim and cut":     func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n") },
		"misdirected":         func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n") },
		"unavailable":         func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n") },
	} {
		for _, kept := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				var ran atomic.Int64
				from, address := startPeer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
					if kept {
						readBooking(reader)
						_, _ = io.WriteString(conn, answerOf(reply{Status: http.StatusOK, FromTarget: true}))
					}
					if _, ok := readBooking(reader); ok {
						ran.Add(1)
					}
					end(conn)
				})
				forward := func() (receiver.Reply, error) {
					return from.Forward(context.Background(), address, booking("b"), Conditions{Targets: 1, Remaining: time.Minute})
				}
				if kept {
					_, err := forward()
					is.NoErr(err)
				}
				_, err := forward()
				var failure *exchanger.Error
				is.True(errors.As(err, &failure) && failure.Written)
				is.Equal(ran.Load(), int64(1))
			})
		}
	}
}

// A late copy of an answer to an earlier request of the connection must not be taken for that to a booking which
// runs.
func TestAnswerToAnEarlierRequestOfAVMIsTakenForTheBookings(t *testing.T) {
	is := is.New(t)
	from, address := startPeer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		first, _ := readBooking(reader)
		refusal := answerOf(reply{ID: first.ID, Status: http.StatusServiceUnavailable, NotRun: true})
		_, _ = io.WriteString(conn, refusal)
		if second, ok := readBooking(reader); ok {
			_, _ = io.WriteString(conn, refusal+answerOf(reply{ID: second.ID, Status: http.StatusOK, FromTarget: true}))
		}
	})
	forward := func() (receiver.Reply, error) {
		return from.Forward(context.Background(), address, booking("b"), Conditions{Targets: 1, Remaining: time.Minute})
	}
	reply, err := forward()
	is.NoErr(err)
	is.True(reply.NotRun)
	_, err = forward()
	var failure *exchanger.Error
	is.True(errors.As(err, &failure) && failure.Written)
}
