package receiver_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"godwitramp.example/core/indexer"
	"godwitramp.example/gateway/internal/receiver"
)

// startUploads runs a receiver that holds at most 1 MiB of bodies, and returns its address.
// Patience is that of all callers.
func startUploads(t *testing.T, handler *handler, patience time.Duration) string {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	return run(t, &receiver.Receiver{
		Handler: handler, Limits: func() indexer.Limits { return indexer.Limits{BodyBytes: 4 << 20} }, MaxBodyBytes: 1 << 20,
		Patience: func(http.Header) time.Duration { return patience }, Log: logrus.NewEntry(log),
	})
}

func upload(target string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n", target, length)
}

// A body larger than the VM holds at once must be refused as soon as that shows, and the
// bytes that it took must be free again.
func TestBodyBeyondTheMemoryIsRefused(t *testing.T) {
	is := is.New(t)
	address := startUploads(t, &handler{serve: echo}, time.Minute)
	for range 3 {
		large := dial(t, address)
		send(t, large, upload("/large", 3<<20))
		go func() { _, _ = io.WriteString(large, strings.Repeat("x", 3<<20)) }()
		response, _ := read(t, bufio.NewReader(large))
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		is.True(response.Close)
		small := dial(t, address)
		send(t, small, upload("/small", 900<<10)+strings.Repeat("y", 900<<10))
		_, body := read(t, bufio.NewReader(small))
		is.Equal(len(body), len("/small ")+900<<10)
	}
}

// Callers that announce long bodies and send little of them must not keep others out.
func TestSlowUploadsLeaveRoomForOthers(t *testing.T) {
	is := is.New(t)
	address := startUploads(t, &handler{serve: echo}, time.Minute)
	for i := range 40 {
		slow := dial(t, address)
		send(t, slow, upload(fmt.Sprint("/slow-", i), 900<<10)+strings.Repeat("x", 24<<10))
	}
	caller := dial(t, address)
	reader := bufio.NewReader(caller)
	for range 20 {
		send(t, caller, upload("/quick", 16<<10)+strings.Repeat("y", 16<<10))
		response, body := read(t, reader)
		is.Equal(response.StatusCode, http.StatusOK)
		is.Equal(len(body), len("/quick ")+16<<10)
	}
}

// An upload that isn't complete when its caller stops waiting must be answered as not run.
func TestUploadThatTakesTooLongIsAnswered(t *testing.T) {
	is := is.New(t)
	handler := &handler{serve: echo}
	address := startUploads(t, handler, 50*time.Millisecond)
	for _, head := range []string{upload("/fixed", 100), "POST /chunked HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n64\r\n"} {
		caller := dial(t, address)
		send(t, caller, head+"some")
		response, _ := read(t, bufio.NewReader(caller))
		is.Equal(response.StatusCode, http.StatusRequestTimeout)
	}
	is.Equal(len(handler.seen()), 0)
}

// An upload whose caller leaves half way must not run, and its bytes must be free again.
func TestUploadOfACallerThatLeavesDoesNotRun(t *testing.T) {
	is := is.New(t)
	var ran atomic.Int32
	address := startUploads(t, &handler{serve: func(ctx context.Context, call *receiver.Call) receiver.Reply {
		if call.Target == "/half" {
			ran.Add(1)
		}
		return echo(ctx, call)
	}}, time.Minute)
	for range 30 {
		caller := dial(t, address)
		send(t, caller, upload("/half", 200<<10)+strings.Repeat("x", 100<<10))
		_ = caller.Close()
	}
	for complete := false; !complete; {
		caller := dial(t, address)
		send(t, caller, upload("/whole", 900<<10)+strings.Repeat("y", 900<<10))
		response, _ := read(t, bufio.NewReader(caller))
		complete = response.StatusCode == http.StatusOK // once all of them are found to have left
	}
	is.Equal(ran.Load(), int32(0))
}

// Bodies count while they arrive: many long uploads at once must not take more than twice
// the memory for bodies.
func TestManyUploadsStayWithinTheMemory(t *testing.T) {
	is := is.New(t)
	address := startUploads(t, &handler{serve: echo}, time.Minute)
	const uploads, sent, length = 10, 600 << 10, 900 << 10
	refused := make(chan int, uploads)
	for i := range uploads {
		caller := dial(t, address)
		send(t, caller, upload(fmt.Sprint("/long-", i), length))
		go func() { _, _ = io.WriteString(caller, strings.Repeat("x", sent)) }()
		go func() {
			response, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err == nil {
				refused <- response.StatusCode
			}
		}()
	}
	for range uploads - 2*(1<<20)/sent { // the others may still be arriving
		is.Equal(<-refused, http.StatusServiceUnavailable)
	}
}

// An answer that closes the connection must reach a caller that is still sending the body of
// its next request: without reading on, the connection would be reset.
func TestClosingAnswerReachesACallerThatUploads(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	address := startUploads(t, &handler{serve: func(ctx context.Context, call *receiver.Call) receiver.Reply {
		<-release
		reply := echo(ctx, call)
		reply.Close = true
		return reply
	}}, time.Minute)
	caller := dial(t, address)
	send(t, caller, get("/first")+upload("/second", 900<<10)+"some")
	time.Sleep(20 * time.Millisecond) // until the body is being read
	close(release)
	reader := bufio.NewReader(caller)
	response, body := read(t, reader)
	is.True(response.Close)
	is.Equal(body, "/first ")
	_, err := reader.ReadByte()
	is.Equal(err, io.EOF)
	for range 3 {
		_, err := io.WriteString(caller, strings.Repeat("x", 1024))
		is.NoErr(err) // not reset
		time.Sleep(2 * time.Millisecond)
	}
}

// Bodies that wait for slow targets stay in memory: many of them, each smaller than the ones before, must not take
// more than the memory for bodies, and short ones must get through all the same.
func TestBodiesAtSlowTargetsExceedTheMemory(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	var held atomic.Int64
	address := startUploads(t, &handler{serve: func(ctx context.Context, call *receiver.Call) receiver.Reply {
		if call.Target != "/short" {
			held.Add(int64(len(call.Body)))
			<-release
		}
		return receiver.Reply{Status: http.StatusOK}
	}}, time.Minute)
	defer close(release)
	const limit = 1 << 20
	for k := 1; k <= 40; k++ {
		caller := dial(t, address)
		length := (limit - 1) / k
		before := held.Load()
		go func() { _, _ = io.WriteString(caller, upload("/slow", length)+strings.Repeat("x", length)) }()
		refused := make(chan struct{})
		go func() {
			defer close(refused)
			_, _ = bufio.NewReader(caller).ReadByte()
		}()
		await(t, "the body is held or refused", func() bool {
			select {
			case <-refused:
				return true
			default:
				return held.Load() > before
			}
		})
	}
	is.True(held.Load() <= limit)
	caller := dial(t, address)
	send(t, caller, upload("/short", 500)+strings.Repeat("x", 500))
	response, _ := read(t, bufio.NewReader(caller))
	is.Equal(response.StatusCode, http.StatusOK)
}
