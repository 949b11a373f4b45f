package receiver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"godwitramp.example/core/indexer"
	"godwitramp.example/gateway/internal/receiver"
	"godwitramp.example/platform/faker"
)

// hooks are called before what the receiver does with its connections.
type hooks struct {
	write           func()
	setReadDeadline func(deadline time.Time)
}

// hookedListener accepts connections with hooks.
type hookedListener struct {
	net.Listener
	hooks hooks
}

func (listener *hookedListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hookedConn{TCPConn: conn.(*net.TCPConn), hooks: listener.hooks}, nil
}

type hookedConn struct {
	*net.TCPConn
	hooks hooks
}

func (conn *hookedConn) Write(data []byte) (int, error) {
	if conn.hooks.write != nil {
		conn.hooks.write()
	}
	return conn.TCPConn.Write(data)
}

func (conn *hookedConn) SetReadDeadline(deadline time.Time) error {
	if conn.hooks.setReadDeadline != nil {
		conn.hooks.setReadDeadline(deadline)
	}
	return conn.TCPConn.SetReadDeadline(deadline)
}

// startHooked runs a receiver on connections with hooks until the end of the test, and
// returns it with a connection to it.
func startHooked(t *testing.T, handler *handler, hooks hooks) (*receiver.Receiver, net.Conn) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	receiver := &receiver.Receiver{
		Handler: handler, Limits: func() indexer.Limits { return indexer.Limits{} }, MaxBodyBytes: 1 << 20, Log: logrus.NewEntry(log),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = receiver.Run(ctx, &hookedListener{Listener: listener, hooks: hooks}) })
	t.Cleanup(group.Wait)
	t.Cleanup(cancel)
	return receiver, dial(t, listener.Addr().String())
}

// A request with a body that is dropped during a stop must not deadlock with the closing of
// idle connections: the VM would hang until it is killed.
func TestDroppedBodyDuringAStopDoesNotDeadlock(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	handler := &handler{serve: func(ctx context.Context, call *receiver.Call) receiver.Reply {
		<-release
		return echo(ctx, call)
	}}
	var receiver *receiver.Receiver
	var ended sync.WaitGroup
	leaving := make(chan struct{})
	receiver, caller := startHooked(t, handler, hooks{setReadDeadline: func(deadline time.Time) {
		select {
		case <-leaving:
		default:
			return
		}
		if deadline.IsZero() {
			ended.Go(receiver.CloseIdle)
			time.Sleep(20 * time.Millisecond) // until it waits for the connection
		}
	}})
	send(t, caller, get("/first"))
	for len(handler.seen()) < 1 {
		time.Sleep(time.Millisecond)
	}
	receiver.Leave()
	close(leaving)
	send(t, caller, "POST /second HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\n\r\nxyz")
	time.Sleep(100 * time.Millisecond) // until it is read
	close(release)
	_, body := read(t, bufio.NewReader(caller))
	is.Equal(body, "/first ")
	ended.Wait()
	is.Equal(receiver.OpenConnections(), 1)
}

// What a caller sends while the closing answer is being written must not cut that answer.
func TestClosingAnswerIsWholeWhileTheCallerSendsOn(t *testing.T) {
	is := is.New(t)
	for _, next := range []string{"G", get("/second"), ""} {
		writing, release := make(chan struct{}), make(chan struct{})
		receiver, caller := startHooked(t, &handler{serve: echo}, hooks{write: func() {
			close(writing)
			<-release
		}})
		receiver.Leave()
		send(t, caller, get("/first"))
		<-writing
		send(t, caller, next)
		if next == "" {
			is.NoErr(caller.(*net.TCPConn).CloseWrite())
		}
		time.Sleep(50 * time.Millisecond) // until it is read
		close(release)
		reader := bufio.NewReader(caller)
		response, body := read(t, reader)
		is.Equal(body, "/first ")
		is.True(response.Close)
		_, err := reader.ReadByte()
		is.Equal(err, io.EOF)
	}
}

// A request behind an answer that leaves the connection open must not be dropped because the
// stop begins while that answer is being written.
func TestRequestBehindAnOpenAnswerIsNotDropped(t *testing.T) {
	is := is.New(t)
	writing, release := make(chan struct{}, 2), make(chan struct{})
	handler := &handler{serve: echo}
	receiver, caller := startHooked(t, handler, hooks{write: func() {
		writing <- struct{}{}
		<-release
	}})
	send(t, caller, get("/first"))
	<-writing
	receiver.Leave()
	send(t, caller, get("/second"))
	time.Sleep(50 * time.Millisecond) // until it is read
	close(release)
	reader := bufio.NewReader(caller)
	response, body := read(t, reader)
	is.Equal(body, "/first ")
	is.True(!response.Close)
	response, body = read(t, reader)
	is.Equal(body, "/second ")
	is.True(response.Close)
}

// Closing idle connections must not end the lingering of one that is closing: bytes that are
// unread or still arrive would reset it, and the rest of the last answer would be lost.
func TestCloseIdleDoesNotEndLingering(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		receiver := &receiver.Receiver{
			Handler: &handler{serve: echo}, Limits: func() indexer.Limits { return indexer.Limits{} }, Log: logrus.NewEntry(log),
		}
		network := faker.NewNetwork()
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { _ = receiver.Run(ctx, network) })
		defer running.Wait()
		defer cancel()
		caller, err := network.Link(1_250_000).Dial(ctx, "", "")
		is.NoErr(err)
		defer func() { _ = caller.Close() }()
		receiver.Leave()
		send(t, caller, get("/first"))
		reader := bufio.NewReader(caller)
		_, body := read(t, reader)
		is.Equal(body, "/first ")
		synctest.Wait()
		receiver.CloseIdle()
		synctest.Wait()
		is.Equal(receiver.OpenConnections(), 1)
		send(t, caller, get("/second"))
		_, err = reader.ReadByte()
		is.Equal(err, io.EOF)
	})
}
