// Package relayer forwards TCP connections on loopback and injects network faults on
// demand: delay, resets, and traffic blocked in one or both directions.
//
// # Usage
//
//	relayer := &relayer.Relayer{Listener: listener, To: "127.0.0.1:7000"}
//	go relayer.Run(ctx)
//	relayer.SetFaults(relayer.Faults{Delay: 100 * time.Millisecond})
package relayer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// Faults are the faults of all connections of a relayer. The zero value forwards
// data unchanged.
type Faults struct {
	// Delay delays each chunk of data, in both directions.
	Delay time.Duration
	// Reset resets open connections at once, and new ones after they were accepted.
	Reset bool
	// BlockRequests and BlockAnswers hold back the data of one direction until they
	// are cleared, which looks like packet loss followed by retransmission.
	BlockRequests, BlockAnswers bool
}

// Relayer forwards connections from Listener to the address To. Exported fields are
// set before Run; SetFaults may be called while Run is in progress.
type Relayer struct {
	Listener net.Listener
	To       string

	mutex sync.Mutex
	// listener is Listener, or the one after the relayer was down.
	listener net.Listener
	down     bool
	silent   bool
	// queued are connections that fill the queue of the listener while the relayer is silent.
	queued          []net.Conn
	faults          Faults
	openConnections map[net.Conn]bool
}

const (
	dialTimeout = time.Second
	bufferBytes = 32 << 10
	// blockPollPeriod is the time between checks whether a direction is still blocked.
	blockPollPeriod = 10 * time.Millisecond
	// silentLength is the length of the queue of new connections of a silent relayer. fullTime is the time after which
	// a connection that isn't opened shows that it is full.
	silentLength = 1
	fullTime     = 20 * time.Millisecond
)

// Run forwards connections until the context ends.
func (relayer *Relayer) Run(ctx context.Context) {
	relayer.mutex.Lock()
	relayer.listener = relayer.Listener
	relayer.mutex.Unlock()
	defer context.AfterFunc(ctx, func() {
		relayer.closeListener()
		relayer.SetFaults(Faults{Reset: true})
	})()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		connection, err := relayer.currentListener().Accept()
		if err != nil && !relayer.awaitUp(ctx) {
			return // the listener is closed
		}
		if err != nil {
			continue
		}
		if relayer.hold(connection) {
			relayer.awaitAudible(ctx)
			continue
		}
		group.Go(func() { relayer.relay(connection) })
	}
}

// SetSilent makes new connections hang and open ones carry nothing, as if the host were gone. When that
// ends, all of them are reset, and the relayer listens anew.
func (relayer *Relayer) SetSilent(silent bool) error {
	relayer.mutex.Lock()
	wasSilent, listener := relayer.silent, relayer.listener
	relayer.silent = relayer.silent || silent
	relayer.mutex.Unlock()
	if !silent && !wasSilent {
		return nil
	}
	if !silent {
		relayer.endSilence(listener)
		return nil
	}
	relayer.SetFaults(Faults{BlockRequests: true, BlockAnswers: true})
	if err := setQueue(listener, silentLength); err != nil {
		return err
	}
	for range 2 * (silentLength + 2) { // one is accepted, and the queue holds one more than its length
		connection, err := net.DialTimeout("tcp", listener.Addr().String(), fullTime)
		if err != nil {
			return nil
		}
		relayer.mutex.Lock()
		relayer.queued = append(relayer.queued, connection)
		relayer.mutex.Unlock()
	}
	return errors.New("connections to a silent relayer don't hang")
}

// endSilence resets all connections, also those in the queue of the listener: what was written to them while the host
// was gone must not reach the next one.
func (relayer *Relayer) endSilence(listener net.Listener) {
	_ = listener.Close()
	relayer.mutex.Lock()
	queued := relayer.queued
	relayer.silent, relayer.queued = false, nil
	relayer.mutex.Unlock()
	for _, connection := range queued {
		abort(connection)
	}
	relayer.SetFaults(Faults{Reset: true})
	relayer.SetFaults(Faults{})
	for end := time.Now().Add(dialTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		relayer.mutex.Lock()
		ready := relayer.down || relayer.listener != listener
		relayer.mutex.Unlock()
		if ready {
			return
		}
	} // the relayer has ended
}

// setQueue sets the length of the queue of new connections of a listener.
func setQueue(listener net.Listener, length int) error {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return fmt.Errorf("listener is a %T, must be of TCP", listener)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return fmt.Errorf("get socket of the listener: %w", err)
	}
	var failure error
	if err := raw.Control(func(descriptor uintptr) { failure = syscall.Listen(int(descriptor), length) }); err != nil {
		return fmt.Errorf("set queue of the listener: %w", err)
	}
	if failure != nil {
		return fmt.Errorf("set queue of the listener: %w", failure)
	}
	return nil
}

// hold keeps a connection that was accepted while the relayer is silent, and reports whether it did.
func (relayer *Relayer) hold(connection net.Conn) bool {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	if relayer.silent {
		relayer.queued = append(relayer.queued, connection)
	}
	return relayer.silent
}

// awaitAudible waits until the relayer isn't silent any more.
func (relayer *Relayer) awaitAudible(ctx context.Context) {
	for ctx.Err() == nil {
		relayer.mutex.Lock()
		silent := relayer.silent
		relayer.mutex.Unlock()
		if !silent {
			return
		}
		time.Sleep(blockPollPeriod)
	}
}

// SetDown makes the relayer refuse connections, or accept them again.
func (relayer *Relayer) SetDown(down bool) {
	relayer.mutex.Lock()
	relayer.down = down
	relayer.mutex.Unlock()
	if down {
		relayer.closeListener()
	}
}

func (relayer *Relayer) currentListener() net.Listener {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	return relayer.listener
}

func (relayer *Relayer) closeListener() {
	if listener := relayer.currentListener(); listener != nil {
		_ = listener.Close()
	}
}

// awaitUp waits until the relayer isn't down any more, and listens again. It returns false if the
// context ends first or the address can't be listened on.
func (relayer *Relayer) awaitUp(ctx context.Context) bool {
	for ctx.Err() == nil {
		relayer.mutex.Lock()
		if !relayer.down {
			listener, err := net.Listen("tcp", relayer.Listener.Addr().String())
			if err == nil {
				relayer.listener = listener
			}
			relayer.mutex.Unlock()
			if ctx.Err() != nil && err == nil {
				_ = listener.Close()
			}
			return err == nil
		}
		relayer.mutex.Unlock()
		time.Sleep(blockPollPeriod)
	}
	return false
}

// SetFaults replaces the faults, also those of open connections.
func (relayer *Relayer) SetFaults(faults Faults) {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	relayer.faults = faults
	if faults.Reset {
		for connection := range relayer.openConnections {
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

// track records open connections. It reports false if they must be reset.
func (relayer *Relayer) track(connections ...net.Conn) bool {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	if relayer.openConnections == nil {
		relayer.openConnections = make(map[net.Conn]bool)
	}
	for _, connection := range connections {
		relayer.openConnections[connection] = true
	}
	return !relayer.faults.Reset
}

// closeAll closes the connections and stops tracking them.
func (relayer *Relayer) closeAll(connections ...net.Conn) {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	for _, connection := range connections {
		delete(relayer.openConnections, connection)
		_ = connection.Close()
	}
}

// relay forwards both directions of one connection until it ends.
func (relayer *Relayer) relay(client net.Conn) {
	server, err := net.DialTimeout("tcp", relayer.To, dialTimeout)
	if err != nil {
		abort(client) // as if nothing listened on the port
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

// copy forwards one direction. When it ends, it closes both connections.
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
