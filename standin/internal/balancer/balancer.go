// Package balancer plays the platform's balancer: it gives each connection of
// a caller to the next VM that says that it is ready, and moves on some time
// after a VM stops saying so.
//
// # Usage
//
//	balancer := &balancer.Balancer{Listener: listener, VMs: vms}
//	err := balancer.Run(ctx)
package balancer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// VM is a VM that connections may be given to.
type VM struct {
	// Callers is where connections go.
	Callers string
	// Operators is where the VM answers health checks.
	Operators string
}

// Balancer gives connections to VMs in turn.
type Balancer struct {
	Listener net.Listener
	VMs      []VM
	// Path is where VMs say whether they take connections; /ready unless set.
	Path string
	// CheckPeriod is the time between two health checks of a VM; 1 s unless
	// set.
	CheckPeriod time.Duration

	ready []atomic.Bool
	next  atomic.Uint64
	group sync.WaitGroup
}

const (
	defaultCheckPeriod = time.Second
	checkTimeout       = time.Second
)

// Run serves until the context ends.
func (balancer *Balancer) Run(ctx context.Context) error {
	if balancer.CheckPeriod == 0 {
		balancer.CheckPeriod = defaultCheckPeriod
	}
	if balancer.Path == "" {
		balancer.Path = "/ready"
	}
	balancer.ready = make([]atomic.Bool, len(balancer.VMs))
	for i := range balancer.VMs {
		balancer.group.Go(func() { balancer.checkHealth(ctx, i) })
	}
	context.AfterFunc(ctx, func() { _ = balancer.Listener.Close() })
	defer balancer.group.Wait()
	for {
		connection, err := balancer.Listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept caller: %w", err)
		}
		balancer.group.Go(func() { balancer.forward(ctx, connection) })
	}
}

func (balancer *Balancer) checkHealth(ctx context.Context, i int) {
	client := &http.Client{Timeout: checkTimeout}
	for ctx.Err() == nil {
		response, err := client.Get("http://" + balancer.VMs[i].Operators + balancer.Path)
		balancer.ready[i].Store(err == nil && response.StatusCode == http.StatusOK)
		if err == nil {
			_ = response.Body.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(balancer.CheckPeriod):
		}
	}
}

// pick returns the next ready VM.
func (balancer *Balancer) pickVM() (VM, bool) {
	for range balancer.VMs {
		i := int(balancer.next.Add(1) % uint64(len(balancer.VMs)))
		if balancer.ready[i].Load() {
			return balancer.VMs[i], true
		}
	}
	return VM{}, false
}

func (balancer *Balancer) forward(ctx context.Context, caller net.Conn) {
	defer func() { _ = caller.Close() }()
	vm, ok := balancer.pickVM()
	if !ok {
		return
	}
	server, err := net.Dial("tcp", vm.Callers)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	stop := context.AfterFunc(ctx, func() {
		_ = caller.Close()
		_ = server.Close()
	})
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { copyDirection(server, caller) })
	group.Go(func() { copyDirection(caller, server) })
	group.Wait()
}

// copyHalf copies one direction and passes its end on.
func copyDirection(to, from net.Conn) {
	_, err := io.Copy(to, from)
	if err != nil {
		_ = to.Close()
		return
	}
	if half, ok := to.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
}
