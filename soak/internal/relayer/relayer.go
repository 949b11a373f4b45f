// Package relayer carries TCP connections on loopback and spoils them on demand.
//
// # Usage
//
//	relayer := &relayer.Relayer{Listener: listener, To: "127.0.0.1:7000"}
//	go relayer.Run(ctx)
//	relayer.Set(relayer.Trouble{Delay: 100 * time.Millisecond})
package relayer

import (
	"context"
	"net"
	"sync"
	"time"
)

// Trouble is what happens to the connections of a relayer. The zero value
// carries them as they are.
type Trouble struct {
	// Delay holds each piece of data back, in both directions.
	Delay time.Duration
	// Reset ends open connections at once, and new ones after they were accepted.
	Reset bool
	// CutRequests and CutAnswers hold back what goes in one direction until they
	// end, as lost packets that are sent again are.
	CutRequests, CutAnswers bool
}

// Relayer carries connections. Exported fields are set before Run.
type Relayer struct {
	Listener net.Listener
	To       string

	mutex   sync.Mutex
	trouble Trouble
	open    map[net.Conn]bool
}

const (
	dialTimeout = time.Second
	pieceBytes  = 32 << 10
	// cutPoll is the time between looks at whether a cut has ended.
	cutPoll = 10 * time.Millisecond
)

// Run carries connections until the context ends.
func (relayer *Relayer) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, func() {
		_ = relayer.Listener.Close()
		relayer.Set(Trouble{Reset: true})
	})()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		connection, err := relayer.Listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		group.Go(func() { relayer.carry(connection) })
	}
}

// Set changes what happens to connections, the open ones included.
func (relayer *Relayer) Set(trouble Trouble) {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	relayer.trouble = trouble
	if trouble.Reset {
		for connection := range relayer.open {
			abort(connection)
		}
	}
}

// abort closes a connection with a reset.
func abort(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

func (relayer *Relayer) now() Trouble {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	return relayer.trouble
}

// keep notes open connections. It reports false if they are to be reset.
func (relayer *Relayer) keep(connections ...net.Conn) bool {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	if relayer.open == nil {
		relayer.open = make(map[net.Conn]bool)
	}
	for _, connection := range connections {
		relayer.open[connection] = true
	}
	return !relayer.trouble.Reset
}

func (relayer *Relayer) drop(connections ...net.Conn) {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	for _, connection := range connections {
		delete(relayer.open, connection)
		_ = connection.Close()
	}
}

func (relayer *Relayer) carry(near net.Conn) {
	far, err := net.DialTimeout("tcp", relayer.To, dialTimeout)
	if err != nil {
		abort(near) // as if nobody listened
		return
	}
	defer relayer.drop(near, far)
	if !relayer.keep(near, far) {
		abort(near)
		return
	}
	var group sync.WaitGroup
	group.Go(func() { relayer.copy(far, near, func(trouble Trouble) bool { return trouble.CutRequests }) })
	group.Go(func() { relayer.copy(near, far, func(trouble Trouble) bool { return trouble.CutAnswers }) })
	group.Wait()
}

// copy carries one direction, and its end.
func (relayer *Relayer) copy(to, from net.Conn, cut func(Trouble) bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	piece := make([]byte, pieceBytes)
	for {
		length, err := from.Read(piece)
		time.Sleep(relayer.now().Delay)
		for trouble := relayer.now(); cut(trouble) && !trouble.Reset; trouble = relayer.now() {
			time.Sleep(cutPoll)
		}
		if _, writeErr := to.Write(piece[:length]); err != nil || writeErr != nil {
			return
		}
	}
}
