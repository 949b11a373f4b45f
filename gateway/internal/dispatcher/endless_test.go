package dispatcher_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/placer"
	"godwitramp.example/gateway/internal/messenger"
)

// most is less than half of the memory of a VM on the platform, as request bodies and connections need the rest.
const most = 128 << 20

// endless are the ways of a target to send bytes that never become an answer: what it sends first, and what it
// repeats until the connection ends.
var endless = []struct{ name, first, repeated string }{
	{"status line", "HTTP/1.1 200 ", "x"},
	{"no HTTP", "", "\x00\xff"},
	{"one header", "HTTP/1.1 200 OK\r\nX: ", "x"},
	{"many headers", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
	{"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
	{"interim answers with headers", "", "HTTP/1.1 102 Processing\r\nX: " + strings.Repeat("x", 200<<10) + "\r\n\r\n"},
	{"body without length", "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\n\r\n", "x"},
	{"body of 9 GB", "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\nContent-Length: 9000000000\r\n\r\n", "x"},
	{"chunks", "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
	{"chunks of one byte", "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	{"extension of a chunk", "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	{"trailers", "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	{"answers to others", "", "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n"},
	{"answer to another without end", "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
}

// Bytes without end at many requests at once must take bounded memory, and must not keep a VM from other
// requests.
func TestEndlessBytesAtManyRequestsAtOnce(t *testing.T) {
	const (
		callers = 400
		answers = 8 << 20
	)
	for _, kind := range endless {
		t.Run(kind.name, func(t *testing.T) {
			is := is.New(t)
			vm := start(t)
			vm.MaxAnswerBytes = answers
			vm.Open()
			vm.SetShare(messenger.Share{Group: 1, Reachable: 1, VMs: 1})
			unlimited := configuration(1, "key")
			unlimited.Organisations[0].Rate = 0
			vm.configure(unlimited)
			var sent, open atomic.Int64
			vm.Exchanger.Dial = func(_ context.Context, _, address string) (net.Conn, error) {
				near, far := net.Pipe()
				open.Add(1)
				go func() {
					defer open.Add(-1)
					defer func() { _ = far.Close() }()
					if address == "proper:1" {
						serveProperly(far)
						return
					}
					if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
						return
					}
					piece := []byte(strings.Repeat(kind.repeated, max(1, 16<<10/len(kind.repeated))))
					_, err := io.WriteString(far, kind.first)
					for err == nil {
						var n int
						n, err = far.Write(piece)
						sent.Add(int64(n))
					}
				}()
				return near, nil
			}
			vm.SetTargets([]placer.Target{{ID: "endless", Service: "s", Address: "endless:1", DataCentre: "d", Slots: 2 * callers}})
			peak, stop := watchMemory()
			var group sync.WaitGroup
			for range callers {
				group.Go(func() {
					if status := vm.book().Status; status < http.StatusInternalServerError {
						t.Errorf("bytes without end were answered %d", status)
					}
				})
			}
			group.Wait()
			stop()
			vm.SetTargets([]placer.Target{{ID: "proper", Service: "s", Address: "proper:1", DataCentre: "d", Slots: 2 * callers}})
			vm.configure(unlimited) // its age would refuse the key on a busy machine
			is.Equal(vm.book().Status, http.StatusOK)
			t.Logf("%d requests took %d bytes in all, and %d of memory at a time", callers, sent.Load(), peak.Load())
			is.True(peak.Load() <= most)
			vm.Exchanger.Close()
			for end := time.Now().Add(30 * time.Second); open.Load() > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%d connections are still open", open.Load())
				}
			}
		})
	}
}

// watchMemory measures the most memory that is in use beyond what there was, until stop is called.
func watchMemory() (peak *atomic.Int64, stop func()) {
	runtime.GC()
	inUse := func() int64 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	before := inUse()
	limit := debug.SetMemoryLimit(before + most/2) // as the program does, so that garbage counts little
	peak = &atomic.Int64{}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			peak.Store(max(peak.Load(), inUse()-before))
			time.Sleep(time.Millisecond)
		}
	}()
	return peak, func() {
		cancel()
		<-done
		debug.SetMemoryLimit(limit)
	}
}

// serveProperly answers the requests of a connection.
func serveProperly(connection net.Conn) {
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\nContent-Length: 0\r\n\r\n", request.Header.Get("X-Attempt-Id"))
		if _, err := io.WriteString(connection, answer); err != nil {
			return
		}
	}
}
