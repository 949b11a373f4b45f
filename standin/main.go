// Command standin simulates the environment of a fleet: the platform, its balancer,
// the upstream targets, and callers that check or load the fleet. It is meant for tests
// and sample fleets only.
//
// # Usage
//
//	standin platform --listen 127.0.0.1:6000 --vms vms.json
//	standin upstream --listen 127.0.0.1:7001 --name bookings-t01 --slots 4
//	standin balancer --listen 127.0.0.1:8000 --vm 127.0.0.1:8001,127.0.0.1:8101
//	standin store --listen 127.0.0.2:16000
//	standin target --listen 127.0.0.2:17001 --store 127.0.0.2:16000 --id i-1 --service bookings --data-centre rajkot-a
//	standin visit --balancer 127.0.0.2:18000 --target 127.0.0.2:17001
//	standin certify --directory certificates --name vm-01 --name operator
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"godwitramp.example/shell/certifier"
	"godwitramp.example/shell/connector"
	"godwitramp.example/shell/faker"
	"godwitramp.example/standin/internal/balancer"
	"godwitramp.example/standin/internal/platform"
	"godwitramp.example/standin/internal/prober"
	"godwitramp.example/standin/internal/upstream"
)

type options struct {
	Platform platformCommand `command:"platform" description:"play the table service, the object store and the list of VMs"`
	Upstream upstreamCommand `command:"upstream" description:"play one target of a service"`
	Balancer balancerCommand `command:"balancer" description:"play the balancer"`
	Probe    probeCommand    `command:"probe" description:"send a few requests through a sample fleet and check the answers"`
	Load     loadCommand     `command:"load" description:"send requests and print how each ended"`
	Audit    auditCommand    `command:"audit" description:"compare what a load was told with what the targets have run"`
	Store    storeCommand    `command:"store" description:"play the store of the users' platform with a sample configuration"`
	Target   targetCommand   `command:"target" description:"play one target of the users' platform"`
	Visit    visitCommand    `command:"visit" description:"send a few requests through a sample fleet of the users' platform"`
	Certify  certifyCommand  `command:"certify" description:"make an authority and certificates for a sample fleet"`
}

func main() {
	var options options
	if _, err := flags.Parse(&options); err != nil {
		var help *flags.Error
		if errors.As(err, &help) && help.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
}

// serve serves HTTP until SIGTERM or SIGINT.
func serve(address string, handler http.Handler) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

type platformCommand struct {
	Listen string `long:"listen" required:"yes" description:"address to listen on"`
	VMs    string `long:"vms" description:"file with the list of VMs in JSON"`
}

// Execute serves the simulated platform.
func (command *platformCommand) Execute([]string) error {
	fake := faker.New()
	if command.VMs != "" {
		data, err := os.ReadFile(command.VMs)
		if err != nil {
			return fmt.Errorf("read list of VMs: %w", err)
		}
		var vms []connector.VM
		if err := json.Unmarshal(data, &vms); err != nil {
			return fmt.Errorf("decode list of VMs %q: %w", command.VMs, err)
		}
		fake.SetVMs(vms)
	}
	return serve(command.Listen, platform.Handler(fake))
}

type upstreamCommand struct {
	Listen      string        `long:"listen" required:"yes" description:"address to listen on"`
	Name        string        `long:"name" required:"yes" description:"name of the target"`
	Slots       int           `long:"slots" default:"4" description:"requests that run at a time"`
	ServiceTime time.Duration `long:"work" default:"5ms" description:"duration of a request"`
	ColdFor     time.Duration `long:"cold-for" default:"0s" description:"how long the target is slow after its start"`
}

// Execute serves the simulated target.
func (command *upstreamCommand) Execute([]string) error {
	target := &upstream.Upstream{Name: command.Name, Slots: command.Slots, ServiceTime: command.ServiceTime, ColdFor: command.ColdFor}
	return serve(command.Listen, target.Handler())
}

type balancerCommand struct {
	Listen string   `long:"listen" required:"yes" description:"address to listen on"`
	VMs    []string `long:"vm" required:"yes" description:"callers' and operators' address of a VM, separated by a comma"`
	Path   string   `long:"path" description:"where VMs say whether they take connections; /ready unless set"`
}

// Execute forwards connections to the VMs.
func (command *balancerCommand) Execute([]string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	var vms []balancer.VM
	for _, pair := range command.VMs {
		callers, operators, ok := strings.Cut(pair, ",")
		if !ok {
			return fmt.Errorf("vm %q has no operators' address; allowed: two addresses separated by a comma", pair)
		}
		vms = append(vms, balancer.VM{CallersAddress: callers, OperatorsAddress: operators})
	}
	listener, err := net.Listen("tcp", command.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return (&balancer.Balancer{Listener: listener, VMs: vms, HealthPath: command.Path}).Run(ctx)
}

type probeCommand struct {
	Balancer string   `long:"balancer" required:"yes" description:"URL of the balancer"`
	Targets  []string `long:"target" description:"address of a target that books"`
	Key      string   `long:"key" required:"yes" description:"a caller's key"`
	Read     string   `long:"read" required:"yes" description:"path of an idempotent service"`
	Book     string   `long:"book" required:"yes" description:"path of a non-idempotent service"`
}

// Execute sends the requests and checks the answers.
func (command *probeCommand) Execute([]string) error {
	prober := &prober.Prober{
		Balancer: command.Balancer, Targets: command.Targets, Key: command.Key,
		ReadPath: command.Read, BookPath: command.Book, Out: os.Stdout,
	}
	return prober.Run(context.Background())
}

type certifyCommand struct {
	Directory string   `long:"directory" required:"yes" description:"where to write the files"`
	Names     []string `long:"name" required:"yes" description:"name on a certificate"`
}

const (
	fileMode      = 0o600
	directoryMode = 0o700
)

// Execute writes the certificate of a new authority, and a certificate with its key
// for each name.
func (command *certifyCommand) Execute([]string) error {
	if err := os.MkdirAll(command.Directory, directoryMode); err != nil {
		return fmt.Errorf("make directory: %w", err)
	}
	authority, err := certifier.NewAuthority("godwitramp sample fleet")
	if err != nil {
		return fmt.Errorf("generate certificate authority: %w", err)
	}
	if err := command.write("authority.pem", authority.PEM()); err != nil {
		return err
	}
	for _, name := range command.Names {
		certificate, key, err := authority.Issue(name, net.IPv4(127, 0, 0, 1))
		if err != nil {
			return fmt.Errorf("issue certificate: %w", err)
		}
		if err := command.write(name+".pem", certificate); err != nil {
			return err
		}
		if err := command.write(name+".key", key); err != nil {
			return err
		}
	}
	return nil
}

func (command *certifyCommand) write(name string, data []byte) error {
	if err := os.WriteFile(filepath.Join(command.Directory, name), data, fileMode); err != nil {
		return fmt.Errorf("write certificate: %w", err)
	}
	return nil
}
