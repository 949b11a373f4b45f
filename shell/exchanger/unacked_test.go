package exchanger_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/shell/exchanger"
)

// An upstream may acknowledge a long body and read it late, which is no silence.
func TestLongBodyThatIsReadLateIsCutOff(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = connection.Close() }()
		reader := bufio.NewReader(connection)
		for _, delay := range []time.Duration{0, 3 * time.Second, 0} {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			time.Sleep(delay)
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			if _, err := io.WriteString(connection, okAnswer); err != nil {
				return
			}
		}
	}()
	sender := &exchanger.Exchanger{UnackedTimeout: 300 * time.Millisecond}
	defer sender.Close()
	for _, body := range []string{"short", strings.Repeat("long", 4<<20), "short"} {
		answer, err := sender.Do(context.Background(), exchanger.Call{Address: listener.Addr().String(), Request: request(http.MethodPost, body)})
		is.NoErr(err)
		_, err = io.ReadAll(answer.Response.Body)
		is.NoErr(err)
		answer.Close()
	}
}
