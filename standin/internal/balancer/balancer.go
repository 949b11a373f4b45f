// Package balancer simulates the balancer of the platform. It forwards the TCP
// connections of callers to ready VMs in rotation. Readiness comes from periodic health
// checks, so a VM that becomes unready gets connections until its next check.
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

// VM is a VM that may receive connections.
type VM struct {
	// CallersAddress is the address that connections are forwarded to.
	CallersAddress string
	// OperatorsAddress is the address at which the VM answers health checks.
	OperatorsAddress string
}

// Balancer forwards connections to ready VMs in rotation.
type Balancer struct {
	Listener net.Listener
	VMs      []VM
	// HealthPath is the path of the health check; /ready unless set.
	HealthPath string
	// CheckPeriod is the time between two health checks of a VM; 1 s unless set.
	CheckPeriod time.Duration

	ready []atomic.Bool
	next  atomic.Uint64
	group sync.WaitGroup
}

const (
	defaultCheckPeriod = time.Second
	checkTimeout       = time.Second
)

// Run forwards connections until the context ends.
func (balancer *Balancer) Run(ctx context.Context) error {
	if balancer.CheckPeriod == 0 {
		balancer.CheckPeriod = defaultCheckPeriod
	}
	if balancer.HealthPath == "" {
		balancer.HealthPath = "/ready"
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
			return fmt.Errorf("accept connection of a caller: %w", err)
		}
		balancer.group.Go(func() { balancer.forward(ctx, connection) })
	}
}

// checkHealth updates the readiness of a VM until the context ends.
func (balancer *Balancer) checkHealth(ctx context.Context, i int) {
	client := &http.Client{Timeout: checkTimeout}
	for ctx.Err() == nil {
		response, err := client.Get("http://" + balancer.VMs[i].OperatorsAddress + balancer.HealthPath)
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

// pickVM returns the next ready VM, or false if none is ready.
func (balancer *Balancer) pickVM() (VM, bool) {
	for range balancer.VMs {
		i := int(balancer.next.Add(1) % uint64(len(balancer.VMs)))
		if balancer.ready[i].Load() {
			return balancer.VMs[i], true
		}
	}
	return VM{}, false
}

// forward forwards one connection to a ready VM. It closes the connection if there is
// none.
func (balancer *Balancer) forward(ctx context.Context, caller net.Conn) {
	defer func() { _ = caller.Close() }()
	vm, ok := balancer.pickVM()
	if !ok {
		return
	}
	server, err := net.Dial("tcp", vm.CallersAddress)
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

// copyDirection copies one direction of a connection, and forwards its end as a
// half-close.
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
