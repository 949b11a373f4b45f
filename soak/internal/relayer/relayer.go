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
type Faults struct {
	// Delay holds each piece of data back, in both directions.
	Delay time.Duration
	// Reset ends open connections at once, and new ones after they were accepted.
	Reset bool
	// CutRequests and CutAnswers hold back what goes in one direction until they
	// end, as lost packets that are sent again are.
	BlockRequests, BlockAnswers bool
}

// Relayer carries connections. Exported fields are set before Run.
type Relayer struct {
	Listener net.Listener
	To       string

	mutex       sync.Mutex
	faults      Faults
	connections map[net.Conn]bool
}

const (
	dialTimeout = time.Second
	bufferBytes = 32 << 10
	// cutPoll is the time between looks at whether a cut has ended.
	blockPollPeriod = 10 * time.Millisecond
)

// Run carries connections until the context ends.
func (relayer *Relayer) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, func() {
		_ = relayer.Listener.Close()
		relayer.SetFaults(Faults{Reset: true})
	})()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		connection, err := relayer.Listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		group.Go(func() { relayer.relay(connection) })
	}
}

// Set changes what happens to connections, the open ones included.
func (relayer *Relayer) SetFaults(faults Faults) {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	relayer.faults = faults
	if faults.Reset {
		for connection := range relayer.connections {
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

func (relayer *Relayer) currentFaults() Faults {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	return relayer.faults
}

// keep notes open connections. It reports false if they are to be reset.
func (relayer *Relayer) track(connections ...net.Conn) bool {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	if relayer.connections == nil {
		relayer.connections = make(map[net.Conn]bool)
	}
	for _, connection := range connections {
		relayer.connections[connection] = true
	}
	return !relayer.faults.Reset
}

func (relayer *Relayer) closeAll(connections ...net.Conn) {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	for _, connection := range connections {
		delete(relayer.connections, connection)
		_ = connection.Close()
	}
}

func (relayer *Relayer) relay(client net.Conn) {
	server, err := net.DialTimeout("tcp", relayer.To, dialTimeout)
	if err != nil {
		abort(client) // as if nobody listened
		return
	}
	defer relayer.closeAll(client, server)
	if !relayer.track(client, server) {
		abort(client)
		return
	}
	var group sync.WaitGroup
	group.Go(func() { relayer.copy(server, client, func(faults Faults) bool { return faults.BlockRequests }) })
	group.Go(func() { relayer.copy(client, server, func(faults Faults) bool { return faults.BlockAnswers }) })
	group.Wait()
}

// copy carries one direction, and its end.
func (relayer *Relayer) copy(to, from net.Conn, blocked func(Faults) bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, bufferBytes)
	for {
		length, err := from.Read(buffer)
		time.Sleep(relayer.currentFaults().Delay)
		for faults := relayer.currentFaults(); blocked(faults) && !faults.Reset; faults = relayer.currentFaults() {
			time.Sleep(blockPollPeriod)
		}
		if _, writeErr := to.Write(buffer[:length]); err != nil || writeErr != nil {
			return
		}
	}
}
