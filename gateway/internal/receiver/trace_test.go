package receiver_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"godwitramp.example/core/indexer"
	"godwitramp.example/gateway/internal/receiver"
	"godwitramp.example/platform/faker"
)

// inMemory is a receiver on connections in memory, with its lines.
type inMemory struct {
	*receiver.Receiver
	link  *faker.Link
	lines bytes.Buffer
}

// startInMemory runs a receiver in a bubble of synctest. It holds 64 KB of bodies, and callers wait for 2 s.
func startInMemory(t *testing.T, handler *handler) *inMemory {
	t.Helper()
	vm := &inMemory{}
	log := logrus.New()
	log.SetOutput(&vm.lines)
	vm.Receiver = &receiver.Receiver{
		Handler: handler, Limits: func() indexer.Limits { return indexer.Limits{HeaderTimeout: time.Second} }, MaxBodyBytes: 64 << 10,
		Patience:  func(http.Header) time.Duration { return 2 * time.Second },
		RequestID: func(header http.Header) string { return header.Get("Id") }, Log: logrus.NewEntry(log),
	}
	network := faker.NewNetwork()
	vm.link = network.Link(10_000_000)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = vm.Run(ctx, network)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return vm
}

// dial opens a connection on which the caller sends without waiting for the VM to read.
func (vm *inMemory) dial(t *testing.T, text string) net.Conn {
	t.Helper()
	caller, err := vm.link.Dial(context.Background(), "", "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close() })
	go func() { _, _ = io.WriteString(caller, text) }()
	return caller
}

// statuses returns those of all answers until the connection ends, and "cut" if that is not between two.
func statuses(caller io.Reader) string {
	var statuses []string
	for reader := bufio.NewReader(caller); ; {
		if _, err := reader.Peek(1); err != nil {
			return strings.Join(statuses, " ")
		}
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err != nil {
			return strings.Join(append(statuses, "cut"), " ")
		}
		statuses = append(statuses, fmt.Sprint(response.StatusCode))
	}
}

const booking = "POST /first?secret=1 HTTP/1.1\r\nHost: a.example\r\nId: b1\r\nContent-Length: 2\r\n\r\nok"

// refused are requests behind a booking that the VM refuses, with the status.
var refused = map[string]struct {
	text, status, reason string
}{
	"late head":         {"POST /second HTTP/1.1\r\nHost: a.exa", "408", "header-timeout"},
	"late body":         {"POST /second?secret=1 HTTP/1.1\r\nHost: a.example\r\nId: b2\r\nContent-Length: 9\r\n\r\nhalf", "408", "body-timeout"},
	"late chunk":        {"POST /second?secret=1 HTTP/1.1\r\nHost: a.example\r\nId: b2\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf", "408", "body-timeout"},
	"bodies too large":  {"POST /second?secret=1 HTTP/1.1\r\nHost: a.example\r\nId: b2\r\nContent-Length: 90000\r\n\r\n" + strings.Repeat("x", 90000), "503", "bodies-too-large"},
	"malformed":         {"GET * HTTP/1.1\r\n\r\n", "400", "target-malformed"},
	"late body, asked":  {"POST /second?secret=1 HTTP/1.1\r\nHost: a.example\r\nId: b2\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n", "100 408", "body-timeout"},
	"late third":        {"POST /second HTTP/1.1\r\nHost: a.example\r\nId: b2\r\nContent-Length: 0\r\n\r\nGET /thi", "200 408", "header-timeout"},
	"nothing but lines": {"\r\n\r\n\r\n", "", ""},
}

// From its line alone a refusal must be told from the answer to another request of the connection.
func TestLineOfARefusalDoesNotNameTheRequest(t *testing.T) {
	for kind, behind := range refused {
		if behind.reason == "" {
			continue
		}
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				vm := startInMemory(t, &handler{serve: func(ctx context.Context, call *receiver.Call) receiver.Reply {
					time.Sleep(20 * time.Second)
					return echo(ctx, call)
				}})
				statuses(vm.dial(t, booking+behind.text))
				line := "request-malformed ahead=1 connection=1 "
				switch {
				case kind == "late third":
					line = "request-malformed ahead=2 connection=1 previous=b2 "
				case kind == "late body, asked": // after the answer ahead
					line = "request-malformed ahead=0 connection=1 path=/second previous=b1 .*request=b2 "
				case strings.Contains(behind.text, "Id: b2"):
					line += "path=/second previous=b1 .*request=b2 "
				default:
					line += "previous=b1 "
				}
				is.True(regexp.MustCompile(line).MatchString(vm.lines.String()))
				is.True(strings.Contains(vm.lines.String(), "reason="+behind.reason))
				is.True(!strings.Contains(vm.lines.String(), "secret"))
			})
		})
	}
	t.Run("undelivered", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			vm := startInMemory(t, &handler{serve: func(ctx context.Context, call *receiver.Call) receiver.Reply {
				if call.Target == "/second?secret=1" {
					return echo(ctx, call)
				}
				time.Sleep(time.Second)
				return receiver.Reply{Abort: true}
			}})
			id := strings.Repeat("i", 1000)
			statuses(vm.dial(t, booking+"GET /second?secret=1 HTTP/1.1\r\nHost: a.example\r\nId: "+id+"\r\n\r\n"))
			synctest.Wait()
			is.True(regexp.MustCompile(`answer-undelivered ahead=1 connection=1 .*path=/second ready-for=1s request=i{256} status=200`).MatchString(vm.lines.String()))
			is.True(!strings.Contains(vm.lines.String(), "secret"))
		})
	})
	t.Run("panicked", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			vm := startInMemory(t, &handler{serve: func(context.Context, *receiver.Call) receiver.Reply { panic("booking") }})
			is.Equal(statuses(vm.dial(t, booking)), "")
			is.True(regexp.MustCompile(`panic-recovered connection=1 path=/first .*request=b1`).MatchString(vm.lines.String()))
		})
	})
	t.Run("too many connections", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			vm := startInMemory(t, &handler{serve: echo})
			vm.MaxConnections = 1
			vm.dial(t, "")
			is.Equal(statuses(vm.dial(t, booking)), "503")
			is.True(strings.Contains(vm.lines.String(), "connection-refused connection=2 reason=too-many-connections status=503"))
		})
	})
}
